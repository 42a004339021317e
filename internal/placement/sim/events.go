package sim

import (
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
)

// dueEvent completes the start or the eviction of an attempt at a given time.
type dueEvent struct {
	at      time.Time
	task    string
	attempt uint32
}

// lateSample is a usage sample that is delivered at a given time.
type lateSample struct {
	at     time.Time
	worker string
	sample *pb.UsageSample
}

type dueHeap []dueEvent

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].task < h[j].task
}
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueEvent)) }

// Pop implements heap.Interface.
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

type sampleHeap []lateSample

func (h sampleHeap) Len() int { return len(h) }
func (h sampleHeap) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sample.GetTask() < h[j].sample.GetTask()
}
func (h sampleHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *sampleHeap) Push(x any) { *h = append(*h, x.(lateSample)) }

// Pop implements heap.Interface.
func (h *sampleHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = lateSample{}
	*h = (*h)[:last]
	return s
}

// countLimiting counts the throttles that limit the speed of a task.
func countLimiting(list []placement.Throttle) int {
	n := 0
	for _, t := range list {
		if t.Share < 1 {
			n++
		}
	}
	return n
}
