package steps

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// servingLoad is the share of its declared processor time that an endless task is expected to use.
	servingLoad = 0.6
	// fillLimit is the share of a worker's processor time up to which filling tasks are added.
	fillLimit = 1.0
	// farWeight is the cost of a place far from the data of a step, in shares of a worker's processor time.
	farWeight = 2.0
	// servingWeight is the cost of a filling task beside an endless one.
	servingWeight = 0.05
	// penaltyWeight multiplies the penalty of a worker.
	penaltyWeight = 4.0
)

// planning is the state of one plan.
type planning struct {
	*Snapshot
	racks map[string][]*Worker
	plan  Plan
}

func (w *Worker) prepare() {
	w.used, w.load, w.serving, w.perStep = Size{}, 0, 0, map[stepKey]int{}
	for i := range w.Residents {
		w.count(&w.Residents[i], 1)
	}
}

// counted is what a task takes of the capacity of a worker.
func counted(step *pb.Step) Size {
	size := SizeOf(step.GetSize())
	if step.GetFills() {
		size.Millicores = 0
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
		w.used = w.used.plus(size)
	} else {
		w.used = w.used.minus(size)
	}
	w.load += float64(sign) * expectedLoad(r.Step)
	if r.Step.GetTailLimitMs() > 0 {
		w.serving += sign
	}
	w.perStep[keyOf(r.Task)] += sign
}

// place proposes starts for the waiting tasks of a request, all or none of a gang.
func (p *planning) place(r *Request) {
	if r.Spec.GetGang() {
		p.placeGang(r)
		return
	}
	for _, t := range r.Waiting {
		if len(p.plan.Starts) >= p.MaxStarts || !p.placeTask(r, t, "") {
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
	for _, w := range p.Workers {
		if rack != "" && w.Rack != rack || !w.admits(r, ref, t) {
			continue
		}
		considered++
		if score := w.score(r); best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil {
		return false
	}
	resident := Resident{Task: ref, Attempt: t.Attempt, Step: r.Spec, Priority: r.Priority, UsedMillicores: -1}
	best.Residents = append(best.Residents, resident)
	best.count(&resident, 1)
	p.plan.Starts = append(p.plan.Starts, Start{Task: ref, Attempt: t.Attempt, On: best.Life, Considered: considered})
	return true
}

// admits reports whether a task may start on w now.
func (w *Worker) admits(r *Request, ref submission.Ref, t WaitingTask) bool {
	spec := r.Spec
	switch {
	case !w.Usable || w.Pool != r.Pool:
		return false
	case !counted(spec).fits(w.Capacity.minus(w.used)):
		return false
	case spec.GetLabel() != "" && !slices.Contains(w.Labels, spec.GetLabel()):
		return false
	case spec.GetMaxPerWorker() > 0 && w.perStep[keyOf(ref)] >= int(spec.GetMaxPerWorker()):
		return false
	case slices.Contains(t.AvoidWorkers, w.Life.ID):
		return false
	case spec.GetFills() && w.load+expectedLoad(spec) > fillLimit*float64(w.Capacity.Millicores):
		return false
	}
	return true
}

// score rates a worker with room; lower is better. The terms are shares of the worker's processor time.
func (w *Worker) score(r *Request) float64 {
	spec := r.Spec
	capacity := float64(max(1, w.Capacity.Millicores))
	score := (w.load + expectedLoad(spec)) / capacity
	if spec.GetDataRack() != "" && spec.GetDataRack() != w.Rack {
		score += farWeight
	}
	if spec.GetFills() {
		score += servingWeight * float64(w.serving)
	}
	return score + penaltyWeight*w.Penalty
}
