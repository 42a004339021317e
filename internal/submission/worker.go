package submission

import (
	"maps"
	"slices"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Worker is one incarnation of a worker.
type Worker struct {
	*pb.PoolWorker
	// Attempts holds the numbers of the attempts that may be running on the worker.
	Attempts map[Ref]uint32
	// Unproven holds the attempts that may have crashed the worker, unless it is only cut off.
	Unproven map[Ref]*pb.SuspectAttempt
	// Silence is set while the worker is recorded as silent.
	Silence *pb.WorkerSilence
	// Leave is set once the worker has reported that it leaves.
	Leave *pb.WorkerLeave
	// reused is true if an earlier incarnation with the same id has been known.
	reused bool
	// silenceApplied and registeredApplied are when this VM applied the silence and the first record of the incarnation. They are local to
	// the VM and decide nothing in the state machine.
	silenceApplied, registeredApplied time.Duration
	goneAt                            int64 // in Unix ms
}

// SilentSince returns when this VM learnt that the worker is silent, by the clock of the state. It returns false if the worker is not
// recorded as silent.
func (w *Worker) SilentSince() (time.Duration, bool) { return w.silenceApplied, w.Silence != nil }

// LeaseOver returns when all leases granted to a silent worker are over, by the clock of the state. It returns false if the worker
// is not recorded as silent.
func (w *Worker) LeaseOver() (time.Duration, bool) {
	return w.silenceApplied + time.Duration(w.Silence.GetLeaseRestMs())*time.Millisecond, w.Silence != nil
}

// SucceededAt returns when this VM learnt of the incarnation, by the clock of the state. It returns false if no earlier incarnation
// with the same id has been known.
func (w *Worker) SucceededAt() (time.Duration, bool) { return w.registeredApplied, w.reused }

// Incarnation returns the identity of this incarnation.
func (w *Worker) Incarnation() Incarnation {
	return Incarnation{ID: w.GetId(), BornUnixMs: w.GetBornUnixMs()}
}

// unprovenList returns the unproven suspects in the order of their tasks.
func (w *Worker) unprovenList() []*pb.SuspectAttempt {
	return slices.SortedFunc(maps.Values(w.Unproven), func(a, b *pb.SuspectAttempt) int { return RefOf(a.GetTask()).Compare(RefOf(b.GetTask())) })
}

// Usable reports whether tasks may be placed on the worker.
func (w *Worker) Usable() bool { return !w.GetGone() && !w.GetDraining() }

// register adds or updates an incarnation of a worker. A new incarnation ends the previous one, and any older worker that
// had registered with the same address.
func (s *State) register(p *pb.PoolWorker) bool {
	known := s.workers[p.GetId()]
	if known != nil && (known.GetBornUnixMs() > p.GetBornUnixMs() ||
		known.GetBornUnixMs() == p.GetBornUnixMs() && (known.GetGone() || known.GetSequence() > p.GetSequence())) {
		return false // a late report: of an incarnation that is gone, or one that a later report has overtaken
	}
	return s.setWorker(p)
}

// correct registers an incarnation of a worker that has answered, although it is recorded as gone or as replaced by a later one.
func (s *State) correct(c *pb.WorkerCorrection) bool {
	p := c.GetWorker()
	known := s.workers[p.GetId()]
	switch {
	case known == nil || known.GetBornUnixMs() != c.GetRefutedBornUnixMs():
		return false
	case known.GetBornUnixMs() == p.GetBornUnixMs() && !known.GetGone():
		return s.register(p)
	}
	return s.setWorker(p)
}

// setWorker stores the record of a worker incarnation, unless a worker with the same address was started later.
func (s *State) setWorker(p *pb.PoolWorker) bool {
	known := s.workers[p.GetId()]
	s.proveCrashesOnVM(p)
	for _, other := range s.workers {
		if other.GetAddress() == p.GetAddress() && other.GetId() != p.GetId() && !other.GetGone() {
			if other.GetBornUnixMs() > p.GetBornUnixMs() {
				return false
			}
			s.workerGone(other.Incarnation(), nil)
		}
	}
	if known != nil && known.GetBornUnixMs() == p.GetBornUnixMs() {
		draining := known.GetDraining() || p.GetDraining()
		known.PoolWorker = p
		known.PoolWorker.Draining = draining
		return true
	}
	if known != nil {
		s.workerGone(known.Incarnation(), nil)
	}
	s.workers[p.GetId()] = &Worker{PoolWorker: p, Attempts: map[Ref]uint32{}, reused: known != nil, registeredApplied: s.clock()}
	return true
}

// proveCrashesOnVM counts the unproven suspects of earlier workers on the VM of a worker that registers: a VM runs one at a time.
func (s *State) proveCrashesOnVM(p *pb.PoolWorker) {
	if p.GetVm() == "" {
		return
	}
	var ids []string
	for id, w := range s.workers {
		if w.GetVm() == p.GetVm() && len(w.Unproven) > 0 && w.GetBornUnixMs() < p.GetBornUnixMs() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		s.proveCrash(s.workers[id])
	}
}

// workerGone marks an incarnation of a worker as gone and ends all attempts on it as lost. c, which may be nil, tells what the attempts
// have saved and which of them may have crashed the worker.
func (s *State) workerGone(incarnation Incarnation, c *pb.WorkerGone) bool {
	w := s.workers[incarnation.ID]
	if w == nil || w.Incarnation() != incarnation || w.GetGone() {
		return false
	}
	placed := maps.Clone(w.Attempts)
	saved := map[Ref]string{}
	for _, progress := range c.GetSaved() {
		if ref := RefOf(progress.GetTask()); placed[ref] == progress.GetAttempt() {
			saved[ref] = progress.GetCheckpoint()
		}
	}
	for _, ref := range slices.SortedFunc(maps.Keys(placed), Ref.Compare) {
		s.end(&pb.TaskEnd{Task: ref.Proto(), Attempt: placed[ref], Worker: incarnation.ID, WorkerBornUnixMs: incarnation.BornUnixMs,
			Kind: pb.TaskEndKind_TASK_END_KIND_LOST, Checkpoint: saved[ref]})
		if t := s.Task(ref); t != nil && !t.Done && !t.Placed() {
			t.LostOn = incarnation
		}
	}
	w.Gone, w.goneAt = true, s.unixMs
	for _, suspect := range c.GetSuspects() {
		// An attempt that is no longer placed there has counted with the end of the lease.
		if ref := RefOf(suspect.GetTask()); placed[ref] == suspect.GetAttempt() {
			s.suspect(suspect)
		}
	}
	s.proveCrash(w)
	return true
}

// setSilence records whether an incarnation of a worker is silent.
func (s *State) setSilence(c *pb.WorkerSilence) bool {
	w := s.workers[c.GetId()]
	if w == nil || w.GetBornUnixMs() != c.GetBornUnixMs() || w.GetGone() {
		return false
	}
	if w.Silence = nil; c.GetSilent() {
		w.Silence, w.silenceApplied = c, s.clock()
	} else {
		s.takeUnproven(w) // it has not crashed
	}
	return true
}

// setLeave records that an incarnation of a worker has reported its leave. If the report does not tell which incarnation it stems from,
// it is certain only for the first one that was known under the id.
func (s *State) setLeave(c *pb.WorkerLeave) bool {
	w := s.workers[c.GetId()]
	if w == nil || w.GetBornUnixMs() != c.GetBornUnixMs() || w.GetGone() {
		return false
	}
	certain := c.GetCertain() || !w.reused || w.Leave.GetCertain()
	w.Leave = &pb.WorkerLeave{Id: c.GetId(), BornUnixMs: c.GetBornUnixMs(), Certain: certain}
	return true
}
