package leader

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// unknownContractGrace is how long a contract that this process never saw may be missing before its tasks end.
// The config group may lag behind the domain group for that long after a start.
const unknownContractGrace = time.Minute

// contracts holds the limits in force and what is left to enforce.
type contracts struct {
	mu      sync.Mutex
	known   bool // ContractsChanged was called
	limits  map[string]domainLimits
	seen    map[string]bool // contracts that were in force in this process
	missing map[string]time.Time
}

// domainLimits are the limits of a contract in this domain.
type domainLimits struct{ limits *pb.ResolvedLimits }

// ContractsChanged takes the applied contracts with this domain's share of their limits. Work beyond a lowered limit
// is evicted by checkpoint; tasks of a withdrawn contract end cancelled after their checkpoint.
func (l *Leader) ContractsChanged(inForce []*pb.ResolvedContract) {
	removed := l.policy.replace(inForce)
	l.planned.call(func(planner Planner) {
		for _, name := range removed {
			planner.RemoveContract(name)
		}
		for _, c := range inForce {
			planner.SetContract(c)
		}
	})
}

func (c *contracts) replace(inForce []*pb.ResolvedContract) (removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	former := c.limits
	c.known = true
	c.limits = make(map[string]domainLimits, len(inForce))
	if c.seen == nil {
		c.seen, c.missing = map[string]bool{}, map[string]time.Time{}
	}
	for _, r := range inForce {
		name := r.GetWritten().GetName()
		c.limits[name] = domainLimits{r.GetResolved()}
		c.seen[name] = true
		delete(c.missing, name)
	}
	for name := range former {
		if _, ok := c.limits[name]; !ok {
			removed = append(removed, name)
		}
	}
	return removed
}

// limitTasks states how many tasks the contract allows in this domain, once contracts are known here.
func (c *contracts) limitTasks(submit *pb.SubmitTask) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known {
		return nil
	}
	name := submit.GetSpec().GetContract()
	in, ok := c.limits[name]
	if !ok {
		return ErrContractUnknown.With("contract %q is not in force", name)
	}
	submit.MaxContractTasks = proto.Int64(in.limits.GetTasks())
	return nil
}

// withdrawn reports whether a contract is out of force for certain.
func (c *contracts) withdrawn(name string, now time.Time) bool {
	if _, ok := c.limits[name]; ok {
		return false
	}
	if c.seen[name] {
		return true
	}
	since, ok := c.missing[name]
	if !ok {
		c.missing[name] = now
		return false
	}
	return now.Sub(since) > unknownContractGrace
}

func (l *Leader) runContracts(ctx context.Context) {
	l.every(ctx, contractInterval, func() { l.enforceContracts(ctx) })
}

// enforceContracts ends work that the contracts in force do not cover.
func (l *Leader) enforceContracts(ctx context.Context) {
	cancels, evictions := l.excess(time.Now())
	commands := make([]*pb.DomainCommand, 0, len(cancels)+1)
	for _, t := range cancels {
		commands = append(commands, cancelCommand(t.GetId(), "contract withdrawn"))
	}
	if len(evictions) > 0 {
		commands = append(commands, evictCommand(evictions))
	}
	if len(commands) == 0 {
		return
	}
	_, err := commitEntry(ctx, l.config.Log, &pb.DomainCommand{Command: &pb.DomainCommand_Batch{Batch: &pb.CommandBatch{Commands: commands}}})
	l.logFailure("enforce contracts", err)
}

func (l *Leader) excess(now time.Time) (cancels []*pb.Task, evictions []*pb.Eviction) {
	l.policy.mu.Lock()
	defer l.policy.mu.Unlock()
	if !l.policy.known {
		return nil, nil
	}
	running := map[string][]*pb.Task{}
	l.view().EachTask(func(t *pb.Task) {
		name := t.GetSpec().GetContract()
		switch {
		case domain.Ended(t.GetState()):
		case l.policy.withdrawn(name, now):
			if !t.GetCancelRequested() {
				cancels = append(cancels, t)
			}
		case l.policy.limits[name].limits != nil && t.GetState() != pb.TaskState_TASK_STATE_EVICTING && domain.Assigned(t.GetState()):
			running[name] = append(running[name], t)
		}
	})
	for name, tasks := range running {
		evictions = append(evictions, beyond(l.policy.limits[name].limits, tasks)...)
	}
	return cancels, evictions
}

// beyond selects the tasks that exceed the limits. Urgent tasks and those that started first are kept.
func beyond(limits *pb.ResolvedLimits, tasks []*pb.Task) []*pb.Eviction {
	slices.SortFunc(tasks, func(a, b *pb.Task) int {
		return cmp.Or(cmp.Compare(a.GetSpec().GetClass(), b.GetSpec().GetClass()),
			cmp.Compare(a.GetPlacedIndex(), b.GetPlacedIndex()), cmp.Compare(a.GetId(), b.GetId()))
	})
	allowed := &pb.Resources{Millicores: limits.GetMillicores(), MemoryBytes: limits.GetMemoryBytes(), Accelerators: limits.GetAccelerators()}
	var evictions []*pb.Eviction
	for _, t := range tasks {
		size := t.GetSpec().GetResources()
		if fits(size, allowed) {
			add(allowed, size, -1)
			continue
		}
		evictions = append(evictions, &pb.Eviction{Task: t.GetId(), Attempt: t.GetAttempt(), Reason: "contract lowered"})
	}
	return evictions
}
