package placement

import (
	"math/rand/v2"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// planning is the state of one call to Plan. What it proposes is counted in the cache until undo.
type planning struct {
	*Planner
	now   time.Time
	nowMs int64
	max   int
	rng   *rand.Rand
	plan  Plan
	// counted lists tasks that occupy a worker in the cache for the rest of the plan: placed or held.
	counted   []*task
	condemned []*task
	// promised lists urgent tasks that wait for room in their quota.
	promised []*task
	// attempts is the number of tasks that may be tried in each class.
	attempts int
}

type outcome int

const (
	// blocked tasks cannot start now, and neither can others of their bucket.
	blocked outcome = iota
	// waiting tasks start when evictions have ended.
	waiting
	// delayed tasks are tried again later.
	delayed
	placed
)

// minAttempts is the number of tasks that a plan tries even if it may place few.
const minAttempts = 256

// Plan proposes at most max placements, or more if the last one completes a gang, and what belongs to them. Proposals
// are not counted in the cache: until a proposal is committed and upserted, the next plan may repeat it. Throttles
// and reservations are remembered, since they are not part of the replicated state.
func (p *Planner) Plan(now time.Time, max int) Plan {
	s := &planning{Planner: p, now: now, nowMs: now.UnixMilli(), max: max, attempts: 2*max + minAttempts}
	s.rng = rand.New(rand.NewPCG(p.config.Seed, uint64(now.UnixNano())))
	p.cache.expireUsage(s.nowMs)
	s.workerStates()
	s.checkFeasible()
	s.enforceLimits()
	s.drainWorkers()
	s.relieve()
	s.releaseThrottles()
	s.dropReservations()
	s.placeAll()
	s.undo()
	return s.plan
}

func (s *planning) placeAll() {
	s.placeClass(0)
	s.placeAged()
	s.placeClass(1)
	s.placeClass(2)
	s.round++
}

const (
	// Every agedRounds-th plan first places service and batch tasks that have waited too long, whatever their class
	// and member.
	agedRounds = 8
	// agedShare bounds them to 1/8 of the placements of the plan.
	agedShare = 8
)

// placeAged places the tasks that have waited longest, and reserves workers for those that fit nowhere.
func (s *planning) placeAged() {
	o := newOrder(s.cache.queue.flows[1], s.cache.queue.flows[2])
	o.byAge = true
	limit := len(s.plan.Placements)
	if s.round%agedRounds == 0 {
		limit += max(1, s.max/agedShare)
	}
	for tries := 0; tries < agedTries; tries++ {
		walk := o.next()
		if walk == nil {
			return
		}
		t := walk.take()
		if !s.aged(t) {
			continue
		}
		if len(s.plan.Placements) >= limit && t.bucket.reservations == 0 {
			continue
		}
		if s.place(t) == blocked && s.admitted(t) {
			s.reserveFor(t.bucket)
		}
	}
}

// agedTries bounds the buckets that one plan looks at to find aged ones.
const agedTries = 256

// admitted reports whether only the lack of room keeps t from starting.
func (s *planning) admitted(t *task) bool {
	return t.bucket.infeasible == "" && t.notBefore <= s.nowMs && t.contract.allows(t.size, t.class) &&
		(t.gang == "" || complete(t.bucket))
}

// placeClass places tasks of one class in fair order. A plan that runs out of attempts among tasks that do not fit
// leaves a mark, and every other plan goes on behind it, so that they never block what is queued behind them.
func (s *planning) placeClass(rank int) {
	o := newOrder(s.cache.queue.flows[rank])
	skip := 0
	goesOn := s.round%2 == 1
	if goesOn {
		skip = s.resume[rank]
	}
	attempts, failed := s.attempts, 0
	for len(s.plan.Placements) < s.max && attempts > 0 {
		walk := o.next()
		if walk == nil {
			s.resume[rank] = 0
			return
		}
		t := walk.take()
		if s.hopeless(t) {
			continue
		}
		if failed < skip {
			failed++
			continue
		}
		attempts--
		if s.place(t) == blocked {
			failed++
		} else {
			walk.keep()
		}
	}
	if attempts == 0 && goesOn {
		s.resume[rank] = failed
	}
}

// hopeless reports at little cost that t cannot be placed now.
func (s *planning) hopeless(t *task) bool {
	if t.bucket.infeasible != "" {
		return true
	}
	return !t.urgent() && t.gang == "" && t.bucket.reservations == 0 &&
		(!t.contract.allows(t.size, t.class) || !s.cache.free.holds(t.size))
}

// place finds a worker for t, or workers for its whole gang.
func (s *planning) place(t *task) outcome {
	switch {
	case t.stay != nil:
		return delayed // placed earlier in this plan
	case t.bucket.infeasible != "":
		return blocked
	case t.gang != "":
		s.placeGang(t.bucket)
		return blocked // the bucket holds nothing else
	}
	return s.placeOne(t)
}

func (s *planning) placeOne(t *task) outcome {
	if t.notBefore > s.nowMs {
		return delayed
	}
	if len(t.failedOn) > 0 || t.failures > 0 {
		if reason := s.cache.startsNowhere(t); reason != "" {
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
		s.bind(t, w, considered)
		return placed
	}
	if t.urgent() {
		return s.makeRoom(t)
	}
	return blocked
}

// placeGang places all tasks of a gang or none. If some wait for evictions, all of them wait.
func (s *planning) placeGang(b *bucket) {
	if !complete(b) {
		return
	}
	before := s.mark()
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

// complete reports whether the whole gang is known. After the first start only the lost members are queued.
func complete(b *bucket) bool {
	return b.head.attempt > 0 || b.tail.attempt > 0 || b.count >= int(b.head.gangSize)
}

// bind proposes t on w and counts it in the cache for the rest of the plan.
func (s *planning) bind(t *task, w *worker, considered int) {
	s.hold(t, w)
	s.plan.Placements = append(s.plan.Placements,
		&pb.Placement{Task: t.id, Attempt: t.attempt + 1, Worker: w.id, WorkerEpoch: w.epoch})
	s.decide(t.id, w.id, "placed", considered)
}

// hold counts t on w for the rest of the plan without proposing it.
func (s *planning) hold(t *task, w *worker) {
	s.cache.occupy(t, w)
	s.counted = append(s.counted, t)
}

func (s *planning) decide(task, worker, reason string, considered int) {
	s.plan.Decisions = append(s.plan.Decisions,
		Decision{Task: task, Worker: worker, Reason: reason, Considered: considered})
}

// mark is a point in a plan to roll back to.
type mark struct {
	counted, condemned, promised, placements, evictions, unschedulable, decisions int
}

func (s *planning) mark() mark {
	return mark{len(s.counted), len(s.condemned), len(s.promised), len(s.plan.Placements), len(s.plan.Evictions),
		len(s.plan.Unschedulable), len(s.plan.Decisions)}
}

// rollback withdraws all proposals since m.
func (s *planning) rollback(m mark) {
	s.uncount(m)
	s.plan.Placements = s.plan.Placements[:m.placements]
	s.plan.Evictions = s.plan.Evictions[:m.evictions]
	s.plan.Unschedulable = s.plan.Unschedulable[:m.unschedulable]
	s.plan.Decisions = s.plan.Decisions[:m.decisions]
}

// uncount takes the proposals since m out of the cache, the last one first.
func (s *planning) uncount(m mark) {
	for i := len(s.promised) - 1; i >= m.promised; i-- {
		s.promised[i].contract.expectRelease(s.promised[i], 1)
	}
	for i := len(s.counted) - 1; i >= m.counted; i-- {
		s.cache.vacate(s.counted[i])
	}
	for i := len(s.condemned) - 1; i >= m.condemned; i-- {
		s.pardon(s.condemned[i])
	}
	s.promised, s.counted, s.condemned = s.promised[:m.promised], s.counted[:m.counted], s.condemned[:m.condemned]
}

// undo takes all proposals out of the cache.
func (s *planning) undo() { s.uncount(mark{}) }
