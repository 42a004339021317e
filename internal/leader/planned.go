package leader

import (
	"context"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// maxQueuedSamples bounds the usage samples that wait for the planner; more are dropped.
const maxQueuedSamples = 65536

// planned collects what the planner has not seen yet.
type planned struct {
	mu      sync.Mutex
	changes []domain.Change
	samples []sample
	calls   []func(Planner)
	wake    chan struct{}
}

type sample struct {
	worker string
	usage  *pb.UsageSample
}

func newPlanned() *planned { return &planned{wake: make(chan struct{}, 1)} }

func (p *planned) signal() { signal(p.wake) }

func (p *planned) add(change domain.Change) {
	p.mu.Lock()
	p.changes = append(p.changes, change)
	p.mu.Unlock()
	p.signal()
}

func (p *planned) call(f func(Planner)) {
	p.mu.Lock()
	p.calls = append(p.calls, f)
	p.mu.Unlock()
	p.signal()
}

func (p *planned) observe(heartbeat *pb.WorkerHeartbeat) {
	if len(heartbeat.GetUsage()) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, usage := range heartbeat.GetUsage() {
		if len(p.samples) >= maxQueuedSamples {
			return
		}
		p.samples = append(p.samples, sample{heartbeat.GetWorker(), usage})
	}
}

// feed passes everything collected to the planner.
func (p *planned) feed(planner Planner) {
	p.mu.Lock()
	changes, samples, calls := p.changes, p.samples, p.calls
	p.changes, p.samples, p.calls = nil, nil, nil
	p.mu.Unlock()
	for _, change := range changes {
		feedChange(planner, change)
	}
	for _, f := range calls {
		f(planner)
	}
	for _, s := range samples {
		planner.Observe(s.worker, s.usage)
	}
}

func feedChange(planner Planner, change domain.Change) {
	for _, id := range change.RemovedTasks {
		planner.RemoveTask(id)
	}
	for _, id := range change.RemovedWorkers {
		planner.RemoveWorker(id)
	}
	for _, w := range change.Workers {
		planner.UpsertWorker(w)
	}
	for _, t := range change.Tasks {
		planner.UpsertTask(t)
	}
}

// runPlanner plans after changes and at each interval while leading.
func (l *Leader) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.planned.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.planned.feed(l.config.Planner)
		if l.isLeading() {
			l.carryOut(ctx, l.config.Planner.Plan(time.Now(), maxPlacements))
			pause(ctx, planGap)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// carryOut proposes a plan as one entry and waits for it, so that the next plan sees its effect.
func (l *Leader) carryOut(ctx context.Context, plan Plan) {
	l.logDecisions(plan.Decisions)
	l.setThrottles(plan.Throttles)
	commands := planCommands(plan)
	if len(commands) == 0 {
		return
	}
	result, err := commitEntry(ctx, l.config.Log, &pb.DomainCommand{Command: &pb.DomainCommand_Batch{Batch: &pb.CommandBatch{Commands: commands}}})
	if err != nil {
		l.logFailure("plan", err)
		return
	}
	l.logRefused(result)
}

func planCommands(plan Plan) []*pb.DomainCommand {
	var commands []*pb.DomainCommand
	for _, state := range plan.WorkerStates {
		commands = append(commands, &pb.DomainCommand{Command: &pb.DomainCommand_SetWorkerState{SetWorkerState: state}})
	}
	if len(plan.Evictions) > 0 {
		commands = append(commands, &pb.DomainCommand{Command: &pb.DomainCommand_EvictTasks{EvictTasks: &pb.EvictTasks{Evictions: plan.Evictions}}})
	}
	if len(plan.Placements) > 0 {
		commands = append(commands, &pb.DomainCommand{Command: &pb.DomainCommand_PlaceTasks{PlaceTasks: &pb.PlaceTasks{Placements: plan.Placements}}})
	}
	for _, mark := range plan.Unschedulable {
		commands = append(commands, &pb.DomainCommand{Command: &pb.DomainCommand_MarkUnschedulable{MarkUnschedulable: mark}})
	}
	return commands
}

func (l *Leader) logDecisions(decisions []Decision) {
	for _, d := range decisions {
		l.config.Logger.Info().Str("domain", l.config.Domain).Str("task", d.Task).Str("worker", d.Worker).
			Int("considered", d.Considered).Str("reason", d.Reason).Msg("placement decision")
	}
}

func (l *Leader) logRefused(result domain.Result) {
	for _, command := range result.Batch {
		for _, one := range append(command.Batch, command) {
			if one.Err != nil {
				l.config.Logger.Info().Str("domain", l.config.Domain).Err(one.Err).Msg("planned step refused")
			}
		}
	}
}

func (l *Leader) setThrottles(throttles []Throttle) {
	if len(throttles) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, throttle := range throttles {
		workerID := l.view().Task(throttle.Task).GetWorker()
		if s := l.sessions[workerID]; s != nil {
			s.throttles[throttle.Task] = throttle
			l.wakePoller(workerID)
		}
	}
}
