package dispatch

import (
	"slices"

	"github.com/lentilyard/lentilyard/internal/submission"
)

// maxOpenTasks bounds the tasks in the occurrences of a submission that are due and not done, as far as a plan considers them. Later
// occurrences follow as the earlier ones are done. One occurrence is considered whatever its size.
const maxOpenTasks = 4096

// openOccurrences are the occurrences of a submission that plans consider. A plan must not walk all that are due: a submission may have
// billions, due at the same time.
type openOccurrences struct {
	// next is the lowest number that has not been considered yet.
	next uint32
	open []uint32
}

// update drops the occurrences that are done and adds those that are due, as far as the bound allows.
func (o *openOccurrences) update(sub *submission.Submission, unixMs int64) {
	isDone := func(number uint32) bool {
		o := sub.Occurrences[number]
		return o != nil && o.Done
	}
	tasks := 0
	for _, step := range sub.Spec.GetSteps() {
		tasks += int(step.GetCount())
	}
	limit := max(1, maxOpenTasks/max(1, tasks))
	o.open = slices.DeleteFunc(o.open, isDone)
	for ; o.next < sub.OccurrenceCount() && len(o.open) < limit && sub.DueUnixMs(o.next) <= unixMs; o.next++ {
		if !isDone(o.next) {
			o.open = append(o.open, o.next)
		}
	}
}

// dueOccurrences returns the numbers of the occurrences of a submission that are due and not done, in order, as far as maxOpenTasks
// allows.
func (l *Leader) dueOccurrences(sub *submission.Submission, unixMs int64) []uint32 {
	id := sub.Spec.GetId()
	o := l.occurrences[id]
	if o == nil {
		o = &openOccurrences{}
		l.occurrences[id] = o
	}
	o.update(sub, unixMs)
	return o.open
}
