package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// gangRun is one run of a gang: the members that were started with the same attempt and carry the same checkpoint. Members that
// carry different values would start from different points and do not work together.
type gangRun struct {
	mu      sync.Mutex
	size    int
	members map[string]bool
	began   time.Time // when all members were present
	broken  time.Time // when a member ended before the work was done
}

// joinGang adds a member to its run.
func (f *fleet) joinGang(w *worker, r *taskRun) {
	key := fmt.Sprintf("%s/%d/%s", r.task[:strings.LastIndex(r.task, ".")], r.attempt, r.value)
	f.mu.Lock()
	g := f.gangs[key]
	if g == nil {
		g = &gangRun{size: r.phase.Count, members: map[string]bool{}}
		f.gangs[key] = g
	}
	f.mu.Unlock()
	g.mu.Lock()
	g.members[r.task] = true
	if len(g.members) == g.size && g.began.IsZero() {
		g.began = time.Now()
		f.rec.log("gang %s is complete and works", key)
	}
	g.mu.Unlock()
	w.mu.Lock()
	r.gang = g
	w.mu.Unlock()
}

func (g *gangRun) complete(*taskRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.began.IsZero()
}

func (g *gangRun) beganAt() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.began
}

// breakDelay is how long the other members take to notice that one has ended.
const breakDelay = 100 * time.Millisecond

func (g *gangRun) brokenFor(*taskRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.broken.IsZero() && time.Since(g.broken) > breakDelay
}

// memberEnded records the end of a member. The others end as broken, unless all of them are done.
func (g *gangRun) memberEnded(r *taskRun, how string) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.members, r.task)
	if how != "done" && g.broken.IsZero() && !g.began.IsZero() {
		g.broken = time.Now()
	}
}
