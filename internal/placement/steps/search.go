package steps

import (
	"container/heap"

	"github.com/lentilyard/lentilyard/internal/resources"
)

// candidate is a worker that can take a task of a request.
type candidate struct {
	worker *Worker
	// position is the index in the snapshot. It decides between equal scores.
	position int
	score    float64
}

// searchResult holds the workers that can take tasks of one request, best first. The tasks of a request differ only in
// the workers that they avoid, so the workers are scored once per request; each start changes the score of one worker.
type searchResult struct {
	candidates candidates
	// obstacles counts the workers that cannot take a task of the request, by reason.
	obstacles [numObstacles]int
}

// search scores all workers for a request, or those of one rack if rack is not empty.
func (p *planner) search(r *Request, rack string) *searchResult {
	found := &searchResult{}
	for i, w := range p.Workers {
		if rack == "" || w.Rack == rack {
			p.addCandidate(found, r, w, i)
		}
	}
	heap.Init(&found.candidates)
	return found
}

// addCandidate appends a worker to the candidates, without restoring the heap order, if it can take a task of r.
func (p *planner) addCandidate(found *searchResult, r *Request, w *Worker, position int) bool {
	if o := p.obstacleFor(w, r); o != noObstacle {
		found.obstacles[o]++
		return false
	}
	found.candidates = append(found.candidates, candidate{w, position, p.score(w, r)})
	return true
}

// putBack adds a worker that was taken to the candidates again if it can take another task of r.
func (p *planner) putBack(found *searchResult, r *Request, w *Worker, position int) {
	if p.addCandidate(found, r, w, position) {
		heap.Fix(&found.candidates, len(found.candidates)-1)
	}
}

// considered returns the number of candidates before the last call of take, if that found one.
func (s *searchResult) considered() int { return len(s.candidates) + 1 }

// obstacleOn returns why this task of a request may not start on a worker that could take a task of the request when the search was
// made, or noObstacle.
func (p *planner) obstacleOn(w *Worker, r *Request, t WaitingTask) obstacle {
	switch {
	case !p.leavesFiniteRoom(w, r):
		return keptForFinite
	case !t.mayStartOn(w.Incarnation.ID):
		return avoidedWorker
	case t.Isolated && w.youngBeside(r.Submission) > 0:
		return otherStarting
	}
	return noObstacle
}

// take removes and returns the best worker on which a task may start.
func (s *searchResult) take(p *planner, r *Request, t WaitingTask) (candidate, bool) {
	var skipped []candidate
	var reasons [numObstacles]int
	defer func() {
		for _, c := range skipped {
			heap.Push(&s.candidates, c)
		}
	}()
	for len(s.candidates) > 0 {
		c := heap.Pop(&s.candidates).(candidate)
		o := p.obstacleOn(c.worker, r, t)
		if o == noObstacle {
			return c, true
		}
		reasons[o]++
		skipped = append(skipped, c)
	}
	for o, n := range reasons {
		s.obstacles[o] += n
	}
	return candidate{}, false
}

// candidates is a heap ordered by score. It implements heap.Interface.
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

// unplacedSizes records the sizes that no worker could take in this plan. Room only shrinks while a plan is made, so that
// later requests of the same kind that ask for at least as much need no search. It is meant for a backlog of hundreds of
// steps on hundreds of workers.
type unplacedSizes map[unplacedKey][]unplacedSize

type unplacedKey struct {
	pool, label string
	fills       bool
	// endless is set because endless tasks leave room that finite ones may use.
	endless bool
	// image is set for filling tasks only: where they fit depends on which services they slow down.
	image string
}

// unplacedSize is a size that no worker could take.
type unplacedSize struct {
	size             resources.Vector
	utilizationLimit float64
	// overdue is true if the task could also have started on all reserved workers.
	overdue bool
	why     string // obstacles, as in Wait
}

func (r *Request) unplacedKey() unplacedKey {
	key := unplacedKey{pool: r.Pool, label: r.Spec.GetLabel(), fills: r.Spec.GetFills(), endless: r.Spec.GetEndless()}
	if key.fills {
		key.image = r.Spec.GetImage()
	}
	return key
}

// record adds the size of a task that no worker could take. It ignores tasks that may not run on all workers with room,
// since another task of that size may find one.
func (u unplacedSizes) record(p *planner, r *Request, t WaitingTask, found *searchResult) {
	if len(t.AvoidWorkers) > 0 || t.OnlyWorker != "" || t.Isolated || r.Advice != nil || r.Spec.GetMaxPerWorker() > 0 {
		return
	}
	n := unplacedSize{resources.FromProto(r.Spec.GetSize()), p.utilizationLimitFor(r), r.overdue(p.NowUnixMs), formatObstacles(found.obstacles)}
	u[r.unplacedKey()] = append(u[r.unplacedKey()], n)
}

// rulesOut reports whether a recorded size shows that no worker can take a task of r, and returns the obstacles found then.
func (u unplacedSizes) rulesOut(p *planner, r *Request) (string, bool) {
	if p.bypassesPressure(r) {
		return "", false
	}
	size := resources.FromProto(r.Spec.GetSize())
	for _, n := range u[r.unplacedKey()] {
		if n.size.Fits(size) && (n.overdue || !p.mayUseReserved(r)) && (!r.Spec.GetFills() || p.utilizationLimitFor(r) <= n.utilizationLimit) {
			return n.why, true
		}
	}
	return "", false
}
