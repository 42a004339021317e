package dispatch

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/submission"
)

const (
	// maxOpenTasks bounds the tasks in the occurrences of a submission that are due and not done, as far as a plan considers them. Later
	// occurrences follow as the earlier ones are done. One occurrence is considered whatever its size.
	maxOpenTasks = 4096
	// maxPlannedTasks bounds, in the same way, the tasks in occurrences that wait, of all submissions with several occurrences. Each of these
	// has the same share.
	maxPlannedTasks = 4 * maxOpenTasks
)

// openOccurrences are the occurrences of a submission that plans consider. A plan must not walk all that are due: a submission may have
// billions, due at the same time.
type openOccurrences struct {
	// next is the lowest number that has not been considered yet.
	next uint32
	open []uint32
}

// update drops the occurrences that are done, adds those that are due, as far as the bounds allow, and returns those with waiting tasks.
// sharing is the number of submissions that share the plan.
func (o *openOccurrences) update(sub *submission.Submission, unixMs int64, sharing int) []uint32 {
	isDone := func(number uint32) bool {
		o := sub.Occurrences[number]
		return o != nil && o.Done
	}
	tasks := 0
	for _, step := range sub.Spec.GetSteps() {
		tasks += int(step.GetCount())
	}
	limit := max(1, maxOpenTasks/max(1, tasks))
	share := min(limit, max(1, maxPlannedTasks/max(1, tasks*sharing)))
	o.open = slices.DeleteFunc(o.open, isDone)
	var waiting []uint32
	for _, number := range o.open {
		if len(waiting) < share && waits(sub.Occurrences[number]) {
			waiting = append(waiting, number)
		}
	}
	for ; o.next < sub.OccurrenceCount() && len(o.open) < limit && len(waiting) < share && sub.DueUnixMs(o.next) <= unixMs; o.next++ {
		if !isDone(o.next) {
			o.open, waiting = append(o.open, o.next), append(waiting, o.next)
		}
	}
	return waiting
}

// waits reports whether an occurrence, which is nil before its first start, has waiting tasks.
func waits(o *submission.Occurrence) bool {
	return o == nil || slices.ContainsFunc(o.Steps, func(s submission.Step) bool { return s.Waiting() > 0 })
}

// recurringSubmissions returns the number of active submissions with several occurrences.
func recurringSubmissions(state *submission.State) int {
	n := 0
	for _, sub := range state.Active() {
		if sub.OccurrenceCount() > 1 {
			n++
		}
	}
	return n
}

// dueOccurrences returns the numbers of the occurrences of a submission that are due and have waiting tasks, in order, as far as
// maxOpenTasks and maxPlannedTasks allow. sharing is the number of submissions that share the plan.
func (l *Leader) dueOccurrences(sub *submission.Submission, sharing int, unixMs int64) []uint32 {
	id := sub.Spec.GetId()
	o := l.occurrences[id]
	if o == nil {
		o = &openOccurrences{}
		l.occurrences[id] = o
	}
	return o.update(sub, unixMs, sharing)
}
