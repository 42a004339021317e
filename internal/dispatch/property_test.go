package dispatch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// disturbance is one event of a generated sequence. A restart leaves the worker down, then mute (its holds get no answer) and last cut off.
type disturbance struct {
	after, lasts, late, down, mute, cut time.Duration
	worker                              string
	kind                                string
	dark, submits                       bool
}

var disturbedWorkers = []string{"a", "b", "c"}

// disturbances are the kinds of events, except restarts and changes of the leader, and what they do to a worker while they last.
var disturbances = map[string]func(f *fakeWorker, on bool, d disturbance){
	"cut":             func(f *fakeWorker, on bool, _ disturbance) { f.unreachable = on },
	"answers lost":    func(f *fakeWorker, on bool, _ disturbance) { f.dropAnswers = on },
	"starts reset":    func(f *fakeWorker, on bool, _ disturbance) { f.startsReset = on },
	"stops lost":      func(f *fakeWorker, on bool, _ disturbance) { f.stopUnanswered = on },
	"started, sick":   func(f *fakeWorker, on bool, _ disturbance) { f.refuseAfterStart = on },
	"starts late":     func(f *fakeWorker, on bool, d disturbance) { f.startDelay = d.lateIf(on) },
	"holds late":      func(f *fakeWorker, on bool, d disturbance) { f.holdLate = d.lateIf(on) },
	"hold answers":    func(f *fakeWorker, on bool, d disturbance) { f.holdDelay = d.lateIf(on) / 2 },
	"fails its tasks": func(f *fakeWorker, on bool, _ disturbance) { f.failing = on },
}

func (d disturbance) lateIf(on bool) time.Duration {
	if on {
		return d.late
	}
	return 0
}

func drawDisturbance(t *rapid.T) disturbance {
	kinds := []string{"restart", "restart", "restart", "restart", "restart", "restart", "lead", "lead", "restore", "slow log", "log unknown"}
	for kind := range disturbances {
		kinds = append(kinds, kind)
	}
	ms := func(name string, values ...int) time.Duration {
		return time.Duration(rapid.SampledFrom(values).Draw(t, name)) * time.Millisecond
	}
	slices.Sort(kinds)
	return disturbance{after: ms("after", 0, 20, 100, 300, 700, 1500), lasts: ms("lasts", 200, 1000, 3000, 15000), late: ms("late", 100, 300, 700),
		down: ms("down", 120, 200, 600, 1500), mute: ms("mute", 0, 300, 1500, 3000), cut: ms("cut", 0, 3000, 15000, 25000),
		worker: rapid.SampledFrom(disturbedWorkers).Draw(t, "worker"), kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		dark: rapid.Bool().Draw(t, "dark"), submits: rapid.Bool().Draw(t, "submits")}
}

// Guards against tasks that run twice, or again after they were done, and against tasks that never run, whatever sequence of restarts, cuts,
// changes of the leader and calls that are up to callTimeout late comes.
func TestNoTaskRunsTwiceUnderDisturbances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		work := time.Duration(rapid.SampledFrom([]int{500, 3000, 12000}).Draw(rt, "work")) * time.Millisecond
		sequence := rapid.SliceOfN(rapid.Custom(drawDisturbance), 1, 25).Draw(rt, "disturbances")
		if violations := runDisturbances(t, work, sequence); len(violations) > 0 {
			rt.Fatal(violations)
		}
	})
}

// runDisturbances runs a sequence of events and returns the rules that were broken.
func runDisturbances(t *testing.T, work time.Duration, sequence []disturbance) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		r, cancel := reportingHarness(t, work)
		defer cancel()
		time.Sleep(6 * time.Second)
		var ids []string
		for i, d := range sequence {
			if d.submits {
				ids = append(ids, fmt.Sprint("s", i))
				r.submitUntilStored(ids[len(ids)-1])
			}
			r.disturb(uint64(6+i), d)
			time.Sleep(d.after)
		}
		time.Sleep(25 * time.Second) // the longest cut ends, and each lease is over
		for _, id := range ids {
			if !r.awaitEnd(id) {
				violations = append(violations, id+" is "+r.describe(id))
			}
		}
		cancel()
		violations = append(violations, r.closeAndCheck()...)
	})
	return violations
}

// reportingHarness returns a harness whose leader leads and whose workers report until cancel is called.
func reportingHarness(t *testing.T, work time.Duration) (r *harness, cancel func()) {
	r = newHarness(t, work, disturbedWorkers...)
	r.workers.doneOnceNoted = true
	r.lead(5)
	synctest.Wait()
	ctx, cancel := context.WithCancel(context.Background())
	for _, id := range disturbedWorkers {
		r.report(id, 1)
		go r.keepReporting(ctx, id)
	}
	return r, cancel
}

// closeAndCheck closes the leader and returns the rules that were broken.
func (r *harness) closeAndCheck() (violations []string) {
	r.leader.Close()
	time.Sleep(commitTimeout)
	r.workers.update(func() { violations = r.workers.violations })
	return violations
}

// changeFor applies a change to a worker and takes it back after a while, also if another incarnation runs by then.
func (r *harness) changeFor(id string, lasts time.Duration, change func(f *fakeWorker, on bool)) {
	var f *fakeWorker
	r.workers.update(func() {
		f = r.workers.byID[id]
		change(f, true)
	})
	time.AfterFunc(lasts, func() { r.workers.update(func() { change(f, false) }) })
}

// restartLater starts the next incarnation of a worker under its id after a while.
func (r *harness) restartLater(id string, down time.Duration, change func(*fakeWorker), then func(*fakeWorker)) {
	time.AfterFunc(down, func() {
		born := int64(0)
		r.workers.update(func() { born = max(time.Now().UnixMilli(), r.workers.byID[id].incarnation.BornUnixMs+1) })
		then(r.restart(id, born, change))
	})
}

func (r *harness) disturb(term uint64, d disturbance) {
	switch d.kind {
	case "restart":
		r.restartCutOff(d)
	case "lead":
		r.lead(term)
	case "restore":
		r.restoreAndLead(term)
	case "slow log":
		r.disturbLog(min(d.lasts, time.Second), func(f *fakeLog, on bool) { f.delay = 4 * d.lateIf(on) / 7 })
	case "log unknown":
		r.disturbLog(min(d.lasts, time.Second), func(f *fakeLog, on bool) { f.unknown = on })
	default:
		r.changeFor(d.worker, d.lasts, func(f *fakeWorker, on bool) { disturbances[d.kind](f, on, d) })
	}
}

func (r *harness) disturbLog(lasts time.Duration, change func(f *fakeLog, on bool)) {
	r.log.update(func(f *fakeLog) { change(f, true) })
	time.AfterFunc(lasts, func() { r.log.update(func(f *fakeLog) { change(f, false) }) })
}

// restartCutOff crashes a worker, which has received no starts for a moment, and starts it again under its id, with a clock that is slow or ahead.
func (r *harness) restartCutOff(d disturbance) {
	r.workers.update(func() { r.workers.byID[d.worker].startsReset = true })
	time.Sleep(d.late)
	r.workers.update(func() {
		f := r.workers.byID[d.worker]
		clear(f.running)
		f.unreachable, f.refusing, f.closes = true, !d.dark, !d.dark
	})
	r.restartLater(d.worker, d.down, func(f *fakeWorker) {
		f.holdUnanswered, f.slow, f.born = d.mute > 0, d.dark, f.born.Add(-d.cut*1000)
	}, func(f *fakeWorker) {
		time.AfterFunc(d.mute, func() { r.workers.update(func() { f.holdUnanswered = false }) })
		time.AfterFunc(d.mute+d.after, func() { r.workers.update(func() { f.unreachable = d.cut > 0 }) })
		time.AfterFunc(d.mute+d.after+d.cut, func() { r.workers.update(func() { f.unreachable = false }) })
	})
}

// restoreAndLead makes a VM lead that has just restored a snapshot.
func (r *harness) restoreAndLead(term uint64) {
	r.leader.Close()
	time.Sleep(previousLeaderTimeout)
	r.log.update(func(*fakeLog) {
		data, err := r.state.Snapshot()
		if err == nil {
			err = r.state.Restore(data)
		}
		if err != nil {
			r.t.Error(err)
		}
		r.workers.update(r.newLeader)
	})
	r.lead(term)
}

// keepReporting reports a worker while it can be reached, until ctx ends.
func (r *harness) keepReporting(ctx context.Context, id string) {
	for sequence := uint64(2); ctx.Err() == nil; sequence++ {
		time.Sleep(400 * time.Millisecond)
		var leader *Leader
		r.workers.update(func() {
			if leader = r.leader; r.workers.byID[id].unreachable || r.workers.byID[id].holdUnanswered {
				leader = nil
			}
		})
		if leader != nil {
			_ = leader.Report(ctx, r.reportOf(id, sequence, 4000)) // one that stops answers with an error
		}
	}
}

// awaitEnd waits until a submission has ended, for two minutes at most, and reports whether it has.
func (r *harness) awaitEnd(id string) bool {
	for range 120 {
		if state := r.describe(id); state == "done" || state == "failed" {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// submitUntilStored hands in a submission until it is known to be stored.
func (r *harness) submitUntilStored(id string) {
	step := &pb.Step{Count: 4, Size: &pb.Resources{Millicores: 1000, MemoryBytes: 1}, EstimateMs: 1000}
	accept := &pb.SubmissionChange{Change: &pb.SubmissionChange_Accept{Accept: &pb.AcceptSubmission{Queue: "h /",
		Spec: &pb.SubmissionSpec{Id: id, Payload: "payload", Steps: []*pb.Step{step}}}}}
	for {
		if _, err := Commit(context.Background(), r.log, accept); err == nil {
			r.leader.Wake()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}
