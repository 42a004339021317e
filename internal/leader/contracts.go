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

// unknownContractGrace is how long a contract that this process has never seen may be missing before its tasks are
// cancelled. After a start, the config group may lag behind the domain group for up to that long.
const unknownContractGrace = time.Minute

// contractTracker holds the contracts in force and decides when a missing contract counts as withdrawn.
type contractTracker struct {
	mu          sync.Mutex
	initialized bool                    // set by the first call of ContractsChanged
	limits      map[string]domainLimits // by the name of the contract; contracts in force
	seen        map[string]bool         // contracts that were in force at some time since this process started
	// missingSince holds the time at which a contract that was never seen was first found missing.
	missingSince map[string]time.Time
}

// domainLimits holds the share of a contract's limits that applies in this domain.
type domainLimits struct{ limits *pb.ResolvedLimits }

// ContractsChanged replaces the contracts in force; their limits are this domain's share. Running tasks that exceed a
// lowered limit are checkpointed and queued again; tasks of a withdrawn contract are checkpointed and cancelled.
func (l *Leader) ContractsChanged(inForce []*pb.ResolvedContract) {
	removed := l.contracts.replace(inForce)
	l.plannerInbox.addUpdate(func(planner Planner) {
		for _, name := range removed {
			planner.RemoveContract(name)
		}
		for _, c := range inForce {
			planner.SetContract(c)
		}
	})
}

// replace sets the contracts in force and returns the names of those that are no longer in force.
func (c *contractTracker) replace(inForce []*pb.ResolvedContract) (removed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := c.limits
	c.initialized = true
	c.limits = make(map[string]domainLimits, len(inForce))
	if c.seen == nil {
		c.seen, c.missingSince = map[string]bool{}, map[string]time.Time{}
	}
	for _, r := range inForce {
		name := r.GetWritten().GetName()
		c.limits[name] = domainLimits{r.GetResolved()}
		c.seen[name] = true
		delete(c.missingSince, name)
	}
	for name := range previous {
		if _, ok := c.limits[name]; !ok {
			removed = append(removed, name)
		}
	}
	return removed
}

// applyTaskLimit writes the number of tasks that the contract allows in this domain into the command, so that the state
// machine enforces it. Until ContractsChanged has been called, no limit is set and any contract is accepted.
func (c *contractTracker) applyTaskLimit(submit *pb.SubmitTask) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.initialized {
		return nil
	}
	name := submit.GetSpec().GetContract()
	contract, ok := c.limits[name]
	if !ok {
		return ErrContractUnknown.With("contract %q is not in force", name)
	}
	submit.MaxContractTasks = proto.Int64(contract.limits.GetTasks())
	return nil
}

// withdrawn reports whether a contract that is not in force has been withdrawn, rather than being not yet known to this
// process. The caller holds c.mu.
func (c *contractTracker) withdrawn(name string, now time.Time) bool {
	if _, ok := c.limits[name]; ok {
		return false
	}
	if c.seen[name] {
		return true
	}
	since, ok := c.missingSince[name]
	if !ok {
		c.missingSince[name] = now
		return false
	}
	return now.Sub(since) > unknownContractGrace
}

func (l *Leader) runContracts(ctx context.Context) {
	l.everyInterval(ctx, contractInterval, func() { l.enforceContracts(ctx) })
}

// enforceContracts cancels the tasks of withdrawn contracts and evicts running tasks that exceed a contract's limits.
func (l *Leader) enforceContracts(ctx context.Context) {
	cancels, evictions := l.findExcess(time.Now())
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

// findExcess returns the tasks to cancel because their contract was withdrawn, and the evictions that bring each
// contract back within its limits.
func (l *Leader) findExcess(now time.Time) (cancels []*pb.Task, evictions []*pb.Eviction) {
	l.contracts.mu.Lock()
	defer l.contracts.mu.Unlock()
	if !l.contracts.initialized {
		return nil, nil
	}
	running := map[string][]*pb.Task{}
	l.view().EachTask(func(t *pb.Task) {
		name := t.GetSpec().GetContract()
		switch {
		case domain.Ended(t.GetState()):
		case l.contracts.withdrawn(name, now):
			if !t.GetCancelRequested() {
				cancels = append(cancels, t)
			}
		case l.contracts.limits[name].limits != nil && t.GetState() != pb.TaskState_TASK_STATE_EVICTING && domain.Assigned(t.GetState()):
			running[name] = append(running[name], t)
		}
	})
	for name, tasks := range running {
		evictions = append(evictions, evictExcess(l.contracts.limits[name].limits, tasks)...)
	}
	return cancels, evictions
}

// evictExcess returns evictions for the tasks that do not fit within the limits. Tasks are admitted by class, the most
// urgent first, and within a class by the time of their placement, the earliest first.
func evictExcess(limits *pb.ResolvedLimits, tasks []*pb.Task) []*pb.Eviction {
	slices.SortFunc(tasks, func(a, b *pb.Task) int {
		return cmp.Or(cmp.Compare(a.GetSpec().GetClass(), b.GetSpec().GetClass()),
			cmp.Compare(a.GetPlacedIndex(), b.GetPlacedIndex()), cmp.Compare(a.GetId(), b.GetId()))
	})
	remaining := &pb.Resources{Millicores: limits.GetMillicores(), MemoryBytes: limits.GetMemoryBytes(), Accelerators: limits.GetAccelerators()}
	var evictions []*pb.Eviction
	for _, t := range tasks {
		size := t.GetSpec().GetResources()
		if fits(size, remaining) {
			addResources(remaining, size, -1)
			continue
		}
		evictions = append(evictions, &pb.Eviction{Task: t.GetId(), Attempt: t.GetAttempt(), Reason: "contract lowered"})
	}
	return evictions
}
