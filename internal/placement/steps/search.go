package steps

import (
	"container/heap"
	"slices"

	"github.com/lentilyard/lentilyard/internal/resources"
)

// candidate is a worker that takes a task of a request.
type candidate struct {
	worker *Worker
	// position in the snapshot decides between equal scores.
	position int
	score    float64
}

// search holds the workers that take tasks of one request, best first. All tasks of a request are alike but for the
// workers that they avoid, so the workers are rated once for a request; each start changes the rating of one worker.
type search struct {
	candidates candidates
	// obstacles counts the workers that do not take the request, by reason.
	obstacles [obstacles]int
}

// search rates the workers for a request, those in a rack if one is given.
func (p *planning) search(r *Request, rack string) *search {
	found := &search{}
	for i, w := range p.Workers {
		if rack == "" || w.Rack == rack {
			p.rate(found, r, w, i)
		}
	}
	heap.Init(&found.candidates)
	return found
}

// rate adds a worker to a search, unordered.
func (p *planning) rate(found *search, r *Request, w *Worker, position int) bool {
	if o := p.admits(w, r); o != noObstacle {
		found.obstacles[o]++
		return false
	}
	found.candidates = append(found.candidates, candidate{w, position, p.score(w, r)})
	return true
}

// offer puts a worker back that was taken, if it takes another task.
func (p *planning) offer(found *search, r *Request, w *Worker, position int) {
	if p.rate(found, r, w, position) {
		heap.Fix(&found.candidates, len(found.candidates)-1)
	}
}

// considered returns the number of workers that took the task taken last.
func (s *search) considered() int { return len(s.candidates) + 1 }

// take removes the best worker that a task does not avoid.
func (s *search) take(t WaitingTask) (candidate, bool) {
	var passed []candidate
	defer func() {
		for _, c := range passed {
			heap.Push(&s.candidates, c)
		}
	}()
	for len(s.candidates) > 0 {
		c := heap.Pop(&s.candidates).(candidate)
		if !slices.Contains(t.AvoidWorkers, c.worker.Life.ID) {
			return c, true
		}
		passed = append(passed, c)
	}
	s.obstacles[avoided] += len(passed)
	return candidate{}, false
}

// candidates is a heap by score.
type candidates []candidate

func (c candidates) Len() int { return len(c) }
func (c candidates) Less(i, j int) bool {
	if c[i].score != c[j].score {
		return c[i].score < c[j].score
	}
	return c[i].position < c[j].position
}
func (c candidates) Swap(i, j int) { c[i], c[j] = c[j], c[i] }
func (c *candidates) Push(x any)   { *c = append(*c, x.(candidate)) }
func (c *candidates) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// fullness remembers which sizes found no place in this plan. Places only become fewer while a plan is made, so that a
// request which asks for as much of the same need not look at all workers. It answers a backlog of hundreds of steps on
// hundreds of workers.
type fullness map[fullKey][]noPlace

type fullKey struct {
	pool, label string
	// image is that of filling tasks; others press on nobody.
	image string
}

// noPlace is a size for which no worker had a place.
type noPlace struct {
	size resources.Vector
	risk float64
	why  string
}

func (r *Request) fullKey() fullKey {
	key := fullKey{pool: r.Pool, label: r.Spec.GetLabel()}
	if r.Spec.GetFills() {
		key.image = r.Spec.GetImage()
	}
	return key
}

// note remembers that a task found no place. It does not count if the request keeps away from workers that others may use.
func (f fullness) note(p *planning, r *Request, t WaitingTask, found *search) {
	if len(t.AvoidWorkers) > 0 || r.Advised || r.Spec.GetMaxPerWorker() > 0 {
		return
	}
	n := noPlace{resources.FromProto(r.Spec.GetSize()), p.riskOf(r), describe(found.obstacles)}
	f[r.fullKey()] = append(f[r.fullKey()], n)
}

// covers reports whether a request certainly finds no place, and why.
func (f fullness) covers(p *planning, r *Request) (string, bool) {
	if p.goesAhead(r) {
		return "", false
	}
	size := resources.FromProto(r.Spec.GetSize())
	for _, n := range f[r.fullKey()] {
		if n.size.Fits(size) && (!r.Spec.GetFills() || p.riskOf(r) <= n.risk) {
			return n.why, true
		}
	}
	return "", false
}
