package steps

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/resources"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// servingLoad is the share of its declared processor time that an endless task is expected to use.
	servingLoad = 0.5
	// fillLimit is the share of a worker's processor time up to which filling tasks are added.
	fillLimit = 1.0
	// farWeight is the cost of a place far from the data of a step, in shares of a worker's processor time.
	farWeight = 2.0
	// pressureLimit is the predicted busy share up to which filling tasks are added beside an endless one. At 0.8 its
	// tail reaches the limit.
	pressureLimit = 0.78
	// riskRate is how much pressureLimit rises with each second that a task has waited longer than patience, in seconds.
	riskRate = 0.05
	patience = 3.0
	// idlePatience is the wait, in seconds, after which one task of a submission of which nothing runs starts whatever it
	// presses on. Relief slows it then.
	idlePatience = 1.5
	// riskLimit bounds that rise.
	riskLimit = 0.85
	// strainLimit is the reading of a tail above which a worker gets no filling task that presses on it.
	strainLimit = 0.85
	// harmlessWeight is the weight of a pair that does not matter: a tenth of the worker adds less than its own load swings.
	harmlessWeight = 1.0
	// pressureWeight is the cost of what a filling task adds to the busy share of an endless one.
	pressureWeight = 1.0
	// mixWeight is the cost of an endless task beside those of other images. Workers with one image leave room for
	// filling tasks that press on others only.
	mixWeight = 0.5
	// penaltyWeight multiplies the penalty of a worker.
	penaltyWeight = 4.0
)

// planning is the state of one plan.
type planning struct {
	*Snapshot
	plan Plan
}

func (w *Worker) prepare() {
	w.used, w.load = resources.Vector{}, 0
	w.serving, w.fill, w.perStep = map[string]int{}, Fill{}, map[stepKey]int{}
	for i := range w.Residents {
		w.count(&w.Residents[i], 1)
	}
}

// counted is what a task takes of the capacity of a worker.
func counted(step *pb.Step) resources.Vector {
	size := resources.FromProto(step.GetSize())
	if step.GetFills() {
		size.Cores = 0
	}
	return size
}

// expectedLoad is the processor time that a task is expected to use, in millicores.
func expectedLoad(step *pb.Step) float64 {
	load := float64(step.GetSize().GetMillicores())
	if step.GetEndless() {
		return servingLoad * load
	}
	return load
}

func (w *Worker) count(r *Resident, sign int) {
	size := counted(r.Step)
	if sign > 0 {
		w.used = w.used.Plus(size)
	} else {
		w.used = w.used.Minus(size)
	}
	w.load += float64(sign) * expectedLoad(r.Step)
	if r.Step.GetTailLimitMs() > 0 {
		w.serving[r.Step.GetImage()] += sign
	}
	if r.Step.GetFills() {
		w.fill[r.Step.GetImage()] += float64(sign) * w.share(r.Step)
	}
	w.perStep[keyOf(r.Task)] += sign
}

// share is the part of the worker's processor time that a task uses at full speed.
func (w *Worker) share(step *pb.Step) float64 {
	return float64(step.GetSize().GetMillicores()) / float64(max(1, w.Capacity.Cores))
}

// place proposes starts for the waiting tasks of a request, all or none of a gang.
func (p *planning) place(r *Request) {
	if r.Spec.GetGang() {
		p.placeGang(r)
		return
	}
	for _, t := range r.Waiting {
		if len(p.plan.Starts) >= p.MaxStarts {
			return
		}
		if !p.placeTask(r, t, "") {
			p.makeRoom(r, t)
			return
		}
	}
}

// placeGang places all members or none. If distance between racks slows the gang, it tries to keep it in one rack.
func (p *planning) placeGang(r *Request) {
	if len(r.Waiting) < int(r.Spec.GetCount()) {
		return // members of the last attempt have not ended yet
	}
	racks := []string{""}
	if r.Spec.GetSameRack() {
		racks = append(p.rackNames(), "")
	}
	for _, rack := range racks {
		before := len(p.plan.Starts)
		placed := 0
		for _, t := range r.Waiting {
			if !p.placeTask(r, t, rack) {
				break
			}
			placed++
		}
		if placed == len(r.Waiting) {
			return
		}
		p.withdraw(before)
	}
}

func (p *planning) rackNames() []string {
	var names []string
	for _, w := range p.Workers {
		if !slices.Contains(names, w.Rack) {
			names = append(names, w.Rack)
		}
	}
	slices.Sort(names)
	return names
}

// withdraw takes back the proposals after the first n.
func (p *planning) withdraw(n int) {
	for _, s := range p.plan.Starts[n:] {
		i := slices.IndexFunc(p.Workers, func(w *Worker) bool { return w.Life == s.On })
		w := p.Workers[i]
		last := len(w.Residents) - 1
		w.count(&w.Residents[last], -1)
		w.Residents = w.Residents[:last]
	}
	p.plan.Starts = p.plan.Starts[:n]
}

// placeTask proposes a start of one task, in a rack if one is given. It returns false if no worker has room.
func (p *planning) placeTask(r *Request, t WaitingTask, rack string) bool {
	ref := submission.Ref{Submission: r.Submission, Occurrence: r.Occurrence, Step: r.Step, Index: t.Index}
	var best *Worker
	bestScore, considered := 0.0, 0
	var found [obstacles]int
	for _, w := range p.Workers {
		if rack != "" && w.Rack != rack {
			continue
		}
		if o := p.admits(w, r, ref, t); o != noObstacle {
			found[o]++
			continue
		}
		considered++
		if score := p.score(w, r); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		p.plan.Waiting = append(p.plan.Waiting, Wait{Task: ref, Priority: r.Priority, Tasks: len(r.Waiting), Obstacles: describe(found)})
		return false
	}
	resident := Resident{Task: ref, Attempt: t.Attempt, Step: r.Spec, Priority: r.Priority, TailRatio: -1}
	best.Residents = append(best.Residents, resident)
	best.count(&resident, 1)
	p.plan.Starts = append(p.plan.Starts, Start{Task: ref, Attempt: t.Attempt, On: best.Life, Considered: considered})
	return true
}

// obstacle is why a worker does not take a task.
type obstacle int

const (
	noObstacle obstacle = iota
	notUsable
	noRoom
	wrongLabel
	tooManyOfStep
	avoided
	notAllowed
	busy
	strained
	pressed
	obstacles // number of obstacles
)

var obstacleNames = [obstacles]string{"", "not-usable", "no-room", "label", "max-per-worker", "avoided", "policy", "busy", "service-over-limit", "presses-on-service"}

// admits returns why a task may not start on w now.
func (p *planning) admits(w *Worker, r *Request, ref submission.Ref, t WaitingTask) obstacle {
	spec := r.Spec
	switch {
	case !w.Usable || w.Pool != r.Pool:
		return notUsable
	case !counted(spec).Fits(w.Capacity.Minus(w.used)):
		return noRoom
	case spec.GetLabel() != "" && !slices.Contains(w.Labels, spec.GetLabel()):
		return wrongLabel
	case spec.GetMaxPerWorker() > 0 && w.perStep[keyOf(ref)] >= int(spec.GetMaxPerWorker()):
		return tooManyOfStep
	case slices.Contains(t.AvoidWorkers, w.Life.ID):
		return avoided
	case r.Advised && !r.Allowed[w.Life.ID]:
		return notAllowed
	case !spec.GetFills():
		return noObstacle
	case w.load+expectedLoad(spec) > fillLimit*float64(w.Capacity.Cores):
		return busy
	}
	return p.bears(w, r)
}

// bears returns why the endless tasks on w may not stay within their limits beside one more filling task. The longer a
// task waits, the more is risked: relief slows it if it presses, which is better than not starting it at all.
func (p *planning) bears(w *Worker, r *Request) obstacle {
	waited := float64(p.NowUnixMs-r.ReadyUnixMs) / 1000
	if r.Idle && waited >= idlePatience && !p.startsFor(r) {
		return noObstacle
	}
	limit := min(riskLimit, pressureLimit+riskRate*max(0, waited-patience))
	for i := range w.Residents {
		resident := &w.Residents[i]
		if resident.Step.GetTailLimitMs() == 0 {
			continue
		}
		if resident.TailRatio >= 1 {
			return strained
		}
		serving := resident.Step.GetImage()
		weight := p.Pressure.Weight(serving, r.Spec.GetImage())
		if weight <= harmlessWeight {
			continue
		}
		if resident.TailRatio > strainLimit || p.Pressure.Predict(resident.Task, serving, w.fill)+usualBase*weight*w.share(r.Spec) > limit {
			return pressed
		}
	}
	return noObstacle
}

// startsFor reports whether the plan starts a task of the request's submission already.
func (p *planning) startsFor(r *Request) bool {
	return slices.ContainsFunc(p.plan.Starts, func(s Start) bool { return s.Task.Submission == r.Submission })
}

// mix returns the number of images of endless tasks on w other than image.
func (w *Worker) mix(image string) int {
	n := 0
	for other, count := range w.serving {
		if count > 0 && other != image {
			n++
		}
	}
	return n
}

// score rates a worker with room; lower is better. The terms are shares of the worker's processor time.
func (p *planning) score(w *Worker, r *Request) float64 {
	spec := r.Spec
	capacity := float64(max(1, w.Capacity.Cores))
	score := (w.load + expectedLoad(spec)) / capacity
	if spec.GetDataRack() != "" && spec.GetDataRack() != w.Rack {
		score += farWeight
	}
	if spec.GetTailLimitMs() > 0 {
		// Fullest first, so that other workers stay free of endless tasks.
		score = mixWeight*float64(w.mix(spec.GetImage())) - score
	}
	if spec.GetFills() {
		for serving, n := range w.serving {
			score += pressureWeight * float64(n) * p.Pressure.Weight(serving, spec.GetImage()) * w.share(spec)
		}
	}
	return score + penaltyWeight*w.Penalty
}

// describe names the obstacles that were found and the number of workers with each.
func describe(found [obstacles]int) string {
	var parts []string
	for o, n := range found {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s:%d", obstacleNames[o], n))
		}
	}
	return strings.Join(parts, ",")
}
