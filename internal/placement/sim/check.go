package sim

import (
	"errors"
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/placement"
)

// Violations that Check reports. It wraps them with the task, worker or quota concerned.
var (
	ErrCapacity    = errors.New("worker above capacity")
	ErrQuota       = errors.New("contract or member above quota")
	ErrGang        = errors.New("gang placed in part")
	ErrTwice       = errors.New("task placed twice")
	ErrUrgent      = errors.New("urgent task evicted")
	ErrWorkerState = errors.New("worker is not ready or its epoch differs")
	ErrStale       = errors.New("proposal does not match the state")
)

// Check reports the first violation of an invariant by a plan, without changing the world.
func (w *World) Check(plan placement.Plan) error {
	checks := [...]func(placement.Plan) error{
		w.checkPlacements, w.checkCapacity, w.checkQuota, w.checkGangs, w.checkEvictions, w.checkUnschedulable,
	}
	for _, check := range checks {
		if err := check(plan); err != nil {
			return err
		}
	}
	return nil
}

func (w *World) checkPlacements(plan placement.Plan) error {
	seen := map[string]bool{}
	for _, p := range plan.Placements {
		t := w.Tasks[p.GetTask()]
		if t == nil || seen[p.GetTask()] || Placed(t) {
			return fmt.Errorf("%w: task %s", ErrTwice, p.GetTask())
		}
		seen[p.GetTask()] = true
		if t.GetState() != pb.TaskState_TASK_STATE_QUEUED || p.GetAttempt() != t.GetAttempt()+1 {
			return fmt.Errorf("%w: placement of task %s", ErrStale, p.GetTask())
		}
		m := w.Workers[p.GetWorker()]
		if m.GetState() != pb.WorkerState_WORKER_STATE_READY || m.GetEpoch() != p.GetWorkerEpoch() {
			return fmt.Errorf("%w: placement of task %s on worker %s", ErrWorkerState, p.GetTask(), p.GetWorker())
		}
	}
	return nil
}

// sums holds sums of declared sizes by worker or by quota key.
type sums map[string]*pb.Resources

func (s sums) add(key string, r *pb.Resources) {
	if s[key] == nil {
		s[key] = &pb.Resources{}
	}
	s[key].Millicores += r.GetMillicores()
	s[key].MemoryBytes += r.GetMemoryBytes()
	s[key].Accelerators += r.GetAccelerators()
}

func fits(a, limit *pb.Resources) bool {
	return a.GetMillicores() <= limit.GetMillicores() && a.GetMemoryBytes() <= limit.GetMemoryBytes() &&
		a.GetAccelerators() <= limit.GetAccelerators()
}

func (w *World) checkCapacity(plan placement.Plan) error {
	used := sums{}
	for _, t := range w.Tasks {
		if Placed(t) {
			used.add(t.GetWorker(), t.GetSpec().GetResources())
		}
	}
	for _, p := range plan.Placements {
		used.add(p.GetWorker(), w.Tasks[p.GetTask()].GetSpec().GetResources())
		if !fits(used[p.GetWorker()], w.Workers[p.GetWorker()].GetCapacity()) {
			return fmt.Errorf("%w: worker %s with task %s", ErrCapacity, p.GetWorker(), p.GetTask())
		}
	}
	return nil
}

// checkQuota checks that each contract stays within its limits, and each member within the sum of the limits of its
// contracts that have no team.
func (w *World) checkQuota(plan placement.Plan) error {
	used, limits := w.quotas()
	for _, p := range plan.Placements {
		t := w.Tasks[p.GetTask()]
		used.addTask(t)
		if key := exceededQuota(t, used, limits); key != "" {
			return fmt.Errorf("%w: %s with task %s", ErrQuota, key, t.GetId())
		}
	}
	return nil
}

// quotas returns what the placed tasks of each contract and member use, and the limits.
func (w *World) quotas() (used, limits sums) {
	used, limits = sums{}, sums{}
	for name, c := range w.Contracts {
		limits["contract "+name] = toResources(c.GetResolved())
		if c.GetWritten().GetTeam() == "" {
			limits.add("member "+c.GetWritten().GetMember(), toResources(c.GetResolved()))
		}
	}
	for _, t := range w.Tasks {
		if Placed(t) {
			used.addTask(t)
		}
	}
	return used, limits
}

func quotaKeys(t *pb.Task) [2]string {
	return [...]string{"contract " + t.GetSpec().GetContract(), "member " + t.GetSpec().GetMember()}
}

func (s sums) addTask(t *pb.Task) {
	for _, key := range quotaKeys(t) {
		s.add(key, t.GetSpec().GetResources())
	}
}

// exceededQuota returns the key of a quota of t that is exceeded, or "".
func exceededQuota(t *pb.Task, used, limits sums) string {
	for _, key := range quotaKeys(t) {
		if limits[key] != nil && !fits(used[key], limits[key]) {
			return key
		}
	}
	return ""
}

func toResources(l *pb.ResolvedLimits) *pb.Resources {
	return &pb.Resources{Millicores: l.GetMillicores(), MemoryBytes: l.GetMemoryBytes(), Accelerators: l.GetAccelerators()}
}

// checkGangs checks that a plan which places one task of a gang places all queued tasks of the gang, and the whole gang if
// none of its tasks has been placed before.
func (w *World) checkGangs(plan placement.Plan) error {
	placing := map[string]int{}
	for _, p := range plan.Placements {
		if g := w.Tasks[p.GetTask()].GetSpec().GetGang(); g != "" {
			placing[g]++
		}
	}
	queued, started := map[string]int{}, map[string]bool{}
	size := map[string]int{}
	for _, t := range w.Tasks {
		g := t.GetSpec().GetGang()
		size[g] = int(t.GetSpec().GetGangSize())
		if t.GetState() == pb.TaskState_TASK_STATE_QUEUED {
			queued[g]++
		}
		if t.GetAttempt() > 0 {
			started[g] = true
		}
	}
	for g, n := range placing {
		if n != queued[g] || !started[g] && n < size[g] {
			return fmt.Errorf("%w: %d of %d tasks of gang %s", ErrGang, n, size[g], g)
		}
	}
	return nil
}

// checkEvictions checks that evicted tasks are starting or running, and urgent ones only evicted if their quota is
// exceeded, since it was lowered.
func (w *World) checkEvictions(plan placement.Plan) error {
	seen := map[string]bool{}
	used, limits := w.quotas()
	for _, e := range plan.Evictions {
		t := w.Tasks[e.GetTask()]
		if t.GetSpec().GetClass() == pb.TaskClass_TASK_CLASS_URGENT && exceededQuota(t, used, limits) == "" {
			return fmt.Errorf("%w: task %s", ErrUrgent, e.GetTask())
		}
		running := t.GetState() == pb.TaskState_TASK_STATE_RUNNING || t.GetState() == pb.TaskState_TASK_STATE_STARTING
		if seen[e.GetTask()] || !running || t.GetAttempt() != e.GetAttempt() {
			return fmt.Errorf("%w: eviction of task %s", ErrStale, e.GetTask())
		}
		seen[e.GetTask()] = true
	}
	return nil
}

func (w *World) checkUnschedulable(plan placement.Plan) error {
	seen := map[string]bool{}
	for _, u := range plan.Unschedulable {
		t := w.Tasks[u.GetTask()]
		if t.GetState() != pb.TaskState_TASK_STATE_QUEUED || seen[u.GetTask()] {
			return fmt.Errorf("%w: report of unschedulable task %s", ErrStale, u.GetTask())
		}
		seen[u.GetTask()] = true
	}
	return nil
}
