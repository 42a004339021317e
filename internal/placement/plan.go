package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// planning is the state of one call to Plan. Its proposals are counted in the cache until undo, so that later decisions
// of the same plan take them into account.
type planning struct {
	*Planner
	now           time.Time
	nowMs         int64
	maxPlacements int
	rng           *rand.Rand
	plan          Plan
	// counted lists the tasks that this plan has counted against a worker, to place them now or to keep room for them.
	counted []*task
	victims []*task
	// awaitingQuota lists the urgent tasks that wait for evictions within their quota.
	awaitingQuota []*task
	// tries is the number of tasks that the plan tries to place in each class.
	tries int
}

// outcome is the result of trying to place a task.
type outcome int

const (
	// blocked: the task cannot start now, and neither can the others of its bucket.
	blocked outcome = iota
	// waiting: the task can start once evictions in progress or in this plan have ended.
	waiting
	// delayed: the task is not tried in this plan, but others of its bucket may be.
	delayed
	// placed: the plan holds a placement of the task.
	placed
)

// minTries is the number of tasks of a class that a plan tries at least, even if it may place few.
const minTries = 256

// Plan proposes placements and the evictions, throttles and state changes that they and the limits require. It proposes
// at most maxPlacements placements, or more if the last one is of a gang. The next call may repeat a proposal unless
// its result has been upserted by then. Throttles and reservations persist between calls, since they are not part of
// the replicated state.
func (p *Planner) Plan(now time.Time, maxPlacements int) Plan {
	s := &planning{Planner: p, now: now, nowMs: now.UnixMilli(), maxPlacements: maxPlacements, tries: 2*maxPlacements + minTries}
	s.rng = rand.New(rand.NewPCG(p.config.Seed, uint64(now.UnixNano())))
	p.cache.expireUsage(s.nowMs)
	s.proposeWorkerStates()
	s.checkFeasibility()
	s.enforceLimits()
	s.drainWorkers()
	s.relieveSlowTasks()
	s.raiseShares()
	s.dropReservations()
	s.placeAll()
	s.undo()
	return s.plan
}

// placeAll places urgent tasks, then starving ones, then the other service and batch tasks.
func (s *planning) placeAll() {
	s.placeClass(0)
	s.placeStarving()
	s.placeClass(1)
	s.placeClass(2)
	s.round++
}

const (
	// Every starvingRounds-th plan places starving tasks ahead of the fair order of classes and members.
	starvingRounds = 8
	// starvingDivisor bounds them to 1/8 of the placements of the plan, or one if this is more.
	starvingDivisor = 8
)

// placeStarving tries to place the starving service and batch tasks, oldest first, and reserves workers for those that
// fit nowhere. Buckets with reservations are tried in every plan.
func (s *planning) placeStarving() {
	it := newQueueIterator(s.cache.queue.flows[1], s.cache.queue.flows[2])
	it.byAge = true
	limit := len(s.plan.Placements)
	if s.round%starvingRounds == 0 {
		limit += max(1, s.maxPlacements/starvingDivisor)
	}
	for tries := 0; tries < starvingTries; tries++ {
		flow := it.next()
		if flow == nil {
			return
		}
		t := flow.take()
		if !s.starving(t) {
			continue
		}
		if len(s.plan.Placements) >= limit && t.bucket.reservations == 0 {
			continue
		}
		if s.place(t) == blocked && s.lacksOnlyRoom(t) {
			s.reserveFor(t.bucket)
		}
	}
}

// starvingTries bounds the buckets that one plan examines for starving tasks.
const starvingTries = 256

// lacksOnlyRoom reports whether t, or its gang, could start now if there were room on the workers.
func (s *planning) lacksOnlyRoom(t *task) bool {
	return t.bucket.infeasible == "" && t.notBefore <= s.nowMs && t.contract.allows(t.size, t.class) &&
		(t.gang == "" || gangComplete(t.bucket))
}

// placeClass places tasks of the class with the given rank in fair order. Every second plan resumes where the last such
// plan ran out of tries, by skipping as many blocked tasks. Otherwise many tasks that do not fit would keep those
// queued behind them from ever being tried.
func (s *planning) placeClass(rank int) {
	it := newQueueIterator(s.cache.queue.flows[rank])
	skip := 0
	resuming := s.round%2 == 1
	if resuming {
		skip = s.resumeAfter[rank]
	}
	tries, failed := s.tries, 0
	for len(s.plan.Placements) < s.maxPlacements && tries > 0 {
		flow := it.next()
		if flow == nil {
			s.resumeAfter[rank] = 0
			return
		}
		t := flow.take()
		if s.cannotPlace(t) {
			continue
		}
		if failed < skip {
			failed++
			continue
		}
		tries--
		if s.place(t) == blocked {
			failed++
		} else {
			flow.keepBucket()
		}
	}
	if tries == 0 && resuming {
		s.resumeAfter[rank] = failed
	}
}

// cannotPlace reports whether cheap checks show that t cannot be placed now. Tasks that are rejected here don't count
// as tries.
func (s *planning) cannotPlace(t *task) bool {
	if t.bucket.infeasible != "" {
		return true
	}
	return !t.urgent() && t.gang == "" && t.bucket.reservations == 0 &&
		(!t.contract.allows(t.size, t.class) || !s.cache.free.mayFit(t.size))
}

// place tries to place t, or its whole gang if it has one.
func (s *planning) place(t *task) outcome {
	switch {
	case t.allocation != nil:
		return delayed // counted against a worker earlier in this plan
	case t.bucket.infeasible != "":
		return blocked
	case t.gang != "":
		s.placeGang(t.bucket)
		return blocked // the bucket holds only this gang
	}
	return s.placeOne(t)
}

// placeOne tries to place a single task. For urgent tasks it evicts batch tasks if necessary.
func (s *planning) placeOne(t *task) outcome {
	if t.notBefore > s.nowMs {
		return delayed
	}
	if len(t.failedOn) > 0 || t.failures > 0 {
		if reason := s.cache.repeatedFailureReason(t); reason != "" {
			s.reportUnschedulable(t, reason)
			return delayed
		}
	}
	if !t.contract.allows(t.size, t.class) {
		if t.urgent() {
			return s.makeQuotaRoom(t)
		}
		return blocked
	}
	if w, considered := s.choose(t); w != nil {
		s.placeOn(t, w, considered)
		return placed
	}
	if t.urgent() {
		return s.makeRoom(t)
	}
	return blocked
}

// placeGang places all tasks of a gang or none. If some of them wait for evictions, none is placed now but room is kept
// for all.
func (s *planning) placeGang(b *bucket) {
	if !gangComplete(b) {
		return
	}
	before := s.savepoint()
	waits := false
	for t := b.head; t != nil; t = t.next {
		switch s.placeOne(t) {
		case placed:
		case waiting:
			waits = true
		default:
			s.rollback(before)
			return
		}
	}
	if waits {
		s.plan.Placements = s.plan.Placements[:before.placements]
	}
}

// gangComplete reports whether all tasks of the gang that have to be placed are queued. Once the gang has started, only
// tasks that have to start again are queued.
func gangComplete(b *bucket) bool {
	return b.head.attempt > 0 || b.tail.attempt > 0 || b.count >= int(b.head.gangSize)
}

// placeOn proposes to place t on w and counts it there for the rest of the plan.
func (s *planning) placeOn(t *task, w *worker, considered int) {
	s.keepRoom(t, w)
	s.plan.Placements = append(s.plan.Placements,
		&pb.Placement{Task: t.id, Attempt: t.attempt + 1, Worker: w.id, WorkerEpoch: w.epoch})
	s.addDecision(t.id, w.id, "placed", considered)
}

// keepRoom counts t on w for the rest of the plan without proposing a placement.
func (s *planning) keepRoom(t *task, w *worker) {
	s.cache.occupy(t, w)
	s.counted = append(s.counted, t)
}

// addDecision adds a decision to the plan.
func (s *planning) addDecision(task, worker, reason string, considered int) {
	s.plan.Decisions = append(s.plan.Decisions,
		Decision{Task: task, Worker: worker, Reason: reason, Considered: considered})
}

// savepoint records the lengths of a plan's lists, to roll back to.
type savepoint struct {
	counted, victims, awaitingQuota, placements, evictions, unschedulable, decisions int
}

// savepoint returns the current state of the plan's lists.
func (s *planning) savepoint() savepoint {
	return savepoint{len(s.counted), len(s.victims), len(s.awaitingQuota), len(s.plan.Placements), len(s.plan.Evictions),
		len(s.plan.Unschedulable), len(s.plan.Decisions)}
}

// rollback removes the proposals made since m from the plan and from the cache.
func (s *planning) rollback(m savepoint) {
	s.uncount(m)
	s.plan.Placements = s.plan.Placements[:m.placements]
	s.plan.Evictions = s.plan.Evictions[:m.evictions]
	s.plan.Unschedulable = s.plan.Unschedulable[:m.unschedulable]
	s.plan.Decisions = s.plan.Decisions[:m.decisions]
}

// uncount removes the proposals made since m from the cache, last first.
func (s *planning) uncount(m savepoint) {
	for i := len(s.awaitingQuota) - 1; i >= m.awaitingQuota; i-- {
		s.awaitingQuota[i].contract.countReleasing(s.awaitingQuota[i], 1)
	}
	for i := len(s.counted) - 1; i >= m.counted; i-- {
		s.cache.vacate(s.counted[i])
	}
	for i := len(s.victims) - 1; i >= m.victims; i-- {
		s.unmarkVictim(s.victims[i])
	}
	s.awaitingQuota, s.counted, s.victims = s.awaitingQuota[:m.awaitingQuota], s.counted[:m.counted], s.victims[:m.victims]
}

// undo removes all proposals from the cache.
func (s *planning) undo() { s.uncount(savepoint{}) }
