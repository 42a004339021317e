package steps

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// interferenceSimulation is the load under which the rules about filling tasks are compared: workers full of services whose
// load swings, all tasks of a service in step, and a stream of filling submissions with a burst from 15 s to 25 s. Half of the
// pairs of images interfere strongly, the others a little. Readings cover the last half second, arrive every 0.6 s and are
// rough; throttles take effect 0.1 s later.
type interferenceSimulation struct {
	rng      *rand.Rand
	workers  []*simulatedWorker
	queue    []*Request
	weights  map[[2]string]float64 // true weights by images of service and filling task
	pressure *Pressure
	// firstFit places filling tasks by arrival on the first worker with idle CPU time and throttles none. It is the baseline.
	firstFit bool
	// informed gives the model the true weights and loads, which bounds what better estimates could add.
	informed bool

	left                          map[string]int // unfinished tasks of each filling submission
	due                           map[string]int64
	serviceSeconds, overSeconds   float64
	fillingWorth, maxFillingWorth float64
}

type simulatedWorker struct {
	*Worker
	filling  []*simulatedFilling
	averages CPUShares
	tails    map[submission.Ref][]float64 // utilizations of the last half second
	readAt   int64
}

type simulatedFilling struct {
	FillingTask
	leftMs      float64
	effective   int // speed at which the task works now, in percent
	effectiveAt int64
}

const (
	simulatedSeconds   = 40
	serviceValue       = 0.03 // of one task for one second
	overLimitFactor    = 4    // by which a second over the limit is charged
	fillingValue       = 1.5  // of a submission that is in time
	fillingTaskCount   = 8
	fillingTaskMs      = 2200
	fillingAllowanceMs = 2*fillingTaskMs + 1000
)

func (s *interferenceSimulation) load(submission string, nowMs int64) float64 {
	var number int
	_, _ = fmt.Sscanf(submission, "s%d", &number)
	return 0.48 * (1 + 0.5*math.Sin(2*math.Pi*(float64(nowMs)/float64(18_000+700*number)+0.37*float64(number))))
}

func newInterferenceSimulation(seed uint64) *interferenceSimulation {
	s := &interferenceSimulation{rng: rand.New(rand.NewPCG(seed, 7)), weights: map[[2]string]float64{}, pressure: NewPressure(), left: map[string]int{}, due: map[string]int64{}}
	for serving := range 3 {
		for filling := range 6 {
			weight := 0.4 * s.rng.Float64()
			if s.rng.IntN(2) == 0 {
				weight = 2 + 4*s.rng.Float64()
			}
			s.weights[[2]string{fmt.Sprint("i", serving), fmt.Sprint("f", filling)}] = weight
		}
	}
	for i := range 12 {
		w := &simulatedWorker{Worker: newWorker(fmt.Sprintf("w%02d", i), 64), averages: CPUShares{}, tails: map[submission.Ref][]float64{}, readAt: int64(s.rng.IntN(600))}
		for slot := range 4 {
			number := (i/2 + slot/2) % 6 // two tasks of each of two submissions
			step := newStep(13, func(step *pb.Step) { step.Endless, step.TailLimitMs, step.Image = true, 150, fmt.Sprint("i", number%3) })
			w.Residents = append(w.Residents, Resident{Task: submission.Ref{Submission: fmt.Sprint("s", number), Index: uint32(4*i + slot)}, Attempt: 1, Step: step, TailRatio: noReading})
		}
		s.workers = append(s.workers, w)
	}
	return s
}

// utilization returns the true utilization of a service on a worker.
func (s *interferenceSimulation) utilization(w *simulatedWorker, r *Resident, nowMs int64) (alone, actual float64) {
	alone = s.load(r.Task.Submission, nowMs)
	factor := 1.0
	for _, f := range w.filling {
		factor += s.weights[[2]string{r.Step.GetImage(), f.Step.GetImage()}] * f.Declared * float64(f.effective) / 100
	}
	return alone, alone * factor
}

func (s *interferenceSimulation) run() float64 {
	for now := int64(0); now < simulatedSeconds*1000; now += stepMs {
		s.arrive(now)
		s.place(now)
		for _, w := range s.workers {
			s.work(w, now)
			if now >= w.readAt {
				w.readAt += 600
				s.read(w, now)
			}
		}
	}
	earned := math.Max(0, s.serviceSeconds-overLimitFactor*s.overSeconds)*serviceValue + s.fillingWorth
	return earned / (s.serviceSeconds*serviceValue + s.maxFillingWorth)
}

func (s *interferenceSimulation) arrive(now int64) {
	gap := 1100.0
	if now >= 15_000 && now < 25_000 {
		gap /= 1.5
	}
	if s.rng.Float64() >= stepMs/gap {
		return
	}
	id := fmt.Sprint("f", len(s.left))
	step := newStep(7, func(step *pb.Step) {
		step.Fills, step.Checkpoints, step.Image, step.EstimateMs = true, true, fmt.Sprint("f", s.rng.IntN(6)), fillingTaskMs
	})
	r := newRequest(id, fillingTaskCount, step)
	r.AcceptedUnixMs, r.ReadyUnixMs, r.CriticalPathMs, r.ObjectiveUnixMs, r.WorthlessUnixMs = now, now, fillingTaskMs, now+fillingAllowanceMs, now+3*fillingAllowanceMs
	s.queue, s.left[id], s.due[id] = append(s.queue, r), fillingTaskCount, now+fillingAllowanceMs
	if s.due[id] < simulatedSeconds*1000 {
		s.maxFillingWorth += fillingValue
	}
}

// place starts the tasks that the rules, or the baseline, place now.
func (s *interferenceSimulation) place(now int64) {
	s.tellTruth(now)
	snapshot := &Snapshot{NowUnixMs: now, Requests: s.queue, MaxStarts: 1000, Pressure: s.pressure}
	for _, w := range s.workers {
		w.Residents = w.Residents[:4]
		for _, f := range w.filling {
			w.Residents = append(w.Residents, Resident{Task: f.Task, Attempt: 1, Step: f.Step, TailRatio: noReading, ThrottledBy: 1 - float64(f.Percent)/100})
		}
		snapshot.Workers = append(snapshot.Workers, w.Worker)
	}
	var starts []Start
	if s.firstFit {
		starts = s.placeFirstFit()
	} else {
		starts = MakePlan(snapshot).Starts
	}
	for _, start := range starts {
		s.start(start, now)
	}
}

func (s *interferenceSimulation) placeFirstFit() []Start {
	var starts []Start
	for _, r := range s.queue {
		for _, t := range r.Waiting {
			for _, w := range s.workers {
				w.prepare(s.pressure)
				if w.load+expectedLoad(r.Spec) <= float64(w.Capacity.Cores) {
					starts = append(starts, Start{Task: r.ref(t), Attempt: 1, On: w.Incarnation})
					w.Residents = append(w.Residents, Resident{Task: r.ref(t), Attempt: 1, Step: r.Spec, TailRatio: noReading})
					break
				}
			}
		}
	}
	return starts
}

func (s *interferenceSimulation) start(start Start, now int64) {
	w := s.workers[slices.IndexFunc(s.workers, func(w *simulatedWorker) bool { return w.Incarnation == start.On })]
	for i, r := range s.queue {
		if r.Submission != start.Task.Submission {
			continue
		}
		w.filling = append(w.filling, &simulatedFilling{FillingTask: FillingTask{Task: start.Task, Attempt: 1, Step: r.Spec, Declared: w.cpuShare(r.Spec), Percent: 100},
			leftMs: fillingTaskMs * (0.5 + s.rng.Float64()), effective: 100})
		r.Waiting = slices.DeleteFunc(r.Waiting, func(t WaitingTask) bool { return t.Index == start.Task.Index })
		if len(r.Waiting) == 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
		break
	}
	s.throttle(w, s.readings(w, now, 0), now, 0)
}

// work advances the tasks of a worker by one step and adds up what they earn.
func (s *interferenceSimulation) work(w *simulatedWorker, now int64) {
	for i := range w.Residents[:4] {
		r := &w.Residents[i]
		alone, actual := s.utilization(w, r, now)
		s.serviceSeconds += stepMs / 1000.0
		if actual >= 0.8 && alone < 0.8 {
			s.overSeconds += stepMs / 1000.0
		}
		w.tails[r.Task] = append(w.tails[r.Task], idleTailRatio/(1-math.Min(0.97, actual)))
	}
	w.filling = slices.DeleteFunc(w.filling, func(f *simulatedFilling) bool {
		if now >= f.effectiveAt {
			f.effective = f.Percent
		}
		if f.leftMs -= stepMs * float64(f.effective) / 100; f.leftMs > 0 {
			return false
		}
		id := f.Task.Submission
		if s.left[id]--; s.left[id] == 0 && s.due[id] < simulatedSeconds*1000 {
			s.fillingWorth += fillingValue * s.earnedShare(id, now)
		}
		return true
	})
}

func (s *interferenceSimulation) earnedShare(id string, now int64) float64 {
	switch {
	case now <= s.due[id]:
		return 1
	case now <= s.due[id]+2*fillingAllowanceMs:
		return lateFactor
	}
	return 0
}

func (s *interferenceSimulation) readings(w *simulatedWorker, now int64, noise float64) []ServiceReading {
	var list []ServiceReading
	for i := range w.Residents[:4] {
		r := &w.Residents[i]
		recent := w.tails[r.Task][max(0, len(w.tails[r.Task])-500/stepMs):]
		sum := 0.0
		for _, tail := range recent {
			sum += tail
		}
		if len(recent) > 0 {
			r.TailRatio = sum / float64(len(recent)) * (1 + noise*s.rng.NormFloat64())
			list = append(list, ServiceReading{Task: r.Task, Image: r.Step.GetImage(), Ratio: r.TailRatio, At: time.Duration(now) * time.Millisecond})
		}
	}
	return list
}

// read passes the readings of a worker to the model, as the leader does with each answer to a hold.
func (s *interferenceSimulation) read(w *simulatedWorker, now int64) {
	shares := CPUShares{}
	for _, f := range w.filling {
		f.Share = f.Declared * float64(f.effective) / 100
		shares[f.Step.GetImage()] += f.Share
	}
	w.averages.Update(shares, 600*time.Millisecond)
	readings := s.readings(w, now, 0.1)
	for _, r := range readings {
		s.pressure.Observe(r, w.averages)
	}
	s.throttle(w, readings, now, 0)
}

func (s *interferenceSimulation) throttle(w *simulatedWorker, readings []ServiceReading, now int64, overFor time.Duration) {
	if s.firstFit {
		return
	}
	s.tellTruth(now)
	var filling []FillingTask
	for _, f := range w.filling {
		filling = append(filling, f.FillingTask)
	}
	for _, t := range ComputeThrottles(s.pressure, readings, filling, overFor, time.Second) {
		for _, f := range w.filling {
			if f.Task == t.Task {
				f.Percent, f.effectiveAt = t.Percent, now+100
			}
		}
	}
}

// tellTruth overwrites what the model has learnt if the simulation is an informed one.
func (s *interferenceSimulation) tellTruth(now int64) {
	if !s.informed {
		return
	}
	for pair, weight := range s.weights {
		e := s.pressure.estimatesFor(pair[0])
		e.mean[e.slot(pair[1])] = weight
	}
	for number := range 6 {
		id := fmt.Sprint("s", number)
		level := s.load(id, now)
		*s.pressure.trendOf(submission.Ref{Submission: id}) = loadTrend{level: level, slope: s.load(id, now+1000) - level, at: time.Duration(now) * time.Millisecond, known: true}
	}
}

// Guards against filling tasks that put services over their tail limit, and against rules that protect services by leaving
// the filling tasks undone: both earn less than first come first served with first fit, or far less than the same rules with
// full knowledge of weights and loads.
func TestFillingBesideSwingingServices(t *testing.T) {
	earned := map[string]float64{}
	const seeds = 4
	for seed := range uint64(seeds) {
		for name, set := range map[string]func(*interferenceSimulation){
			"rules": func(*interferenceSimulation) {}, "first fit": func(s *interferenceSimulation) { s.firstFit = true }, "informed": func(s *interferenceSimulation) { s.informed = true },
		} {
			s := newInterferenceSimulation(seed + 1)
			set(s)
			share := s.run()
			earned[name] += share / seeds
			t.Logf("seed %d %-9s earned %.3f, services over their limit %.3f of the time, filling submissions %.3f", seed+1, name, share, s.overSeconds/s.serviceSeconds, s.fillingWorth/s.maxFillingWorth)
		}
	}
	t.Logf("earned on average: %v", earned)
	if earned["rules"] <= earned["first fit"] {
		t.Errorf("the rules earn %.3f, first fit %.3f", earned["rules"], earned["first fit"])
	}
	if gain, possible := earned["rules"]-earned["first fit"], earned["informed"]-earned["first fit"]; gain < possible/2 {
		t.Errorf("the rules gain %.3f over first fit, less than half of the %.3f that full knowledge gains", gain, possible)
	}
}
