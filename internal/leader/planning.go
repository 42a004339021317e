package leader

import (
	"context"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// maxQueuedSamples bounds the usage samples that wait for the planner; further samples are dropped.
const maxQueuedSamples = 65536

// plannerInbox queues input for the planner, which is called from one goroutine only.
type plannerInbox struct {
	mu      sync.Mutex
	changes []domain.Change
	samples []workerSample
	updates []func(Planner) // other calls to make on the planner
	wake    chan struct{}
}

// workerSample is a usage sample with the id of the worker that took it.
type workerSample struct {
	worker string
	usage  *pb.UsageSample
}

func newPlannerInbox() *plannerInbox { return &plannerInbox{wake: make(chan struct{}, 1)} }

// signal wakes the planning loop.
func (p *plannerInbox) signal() { signal(p.wake) }

func (p *plannerInbox) addChange(change domain.Change) {
	p.mu.Lock()
	p.changes = append(p.changes, change)
	p.mu.Unlock()
	p.signal()
}

func (p *plannerInbox) addUpdate(f func(Planner)) {
	p.mu.Lock()
	p.updates = append(p.updates, f)
	p.mu.Unlock()
	p.signal()
}

// addUsage queues the usage samples of a heartbeat. They do not wake the planning loop.
func (p *plannerInbox) addUsage(heartbeat *pb.WorkerHeartbeat) {
	if len(heartbeat.GetUsage()) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, usage := range heartbeat.GetUsage() {
		if len(p.samples) >= maxQueuedSamples {
			return
		}
		p.samples = append(p.samples, workerSample{heartbeat.GetWorker(), usage})
	}
}

// deliver passes everything queued to the planner.
func (p *plannerInbox) deliver(planner Planner) {
	p.mu.Lock()
	changes, samples, updates := p.changes, p.samples, p.updates
	p.changes, p.samples, p.updates = nil, nil, nil
	p.mu.Unlock()
	for _, change := range changes {
		deliverChange(planner, change)
	}
	for _, update := range updates {
		update(planner)
	}
	for _, s := range samples {
		planner.Observe(s.worker, s.usage)
	}
}

func deliverChange(planner Planner, change domain.Change) {
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

// runPlanner delivers queued input to the planner, and plans while this replica leads: after changes and at least once
// per planInterval.
func (l *Leader) runPlanner(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.plannerInbox.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		l.plannerInbox.deliver(l.config.Planner)
		if l.isLeading() {
			l.executePlan(ctx, l.config.Planner.Plan(time.Now(), maxPlacements))
			sleep(ctx, planPause)
		}
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// executePlan commits a plan as one entry and waits for the result, so that the next plan sees its effect.
func (l *Leader) executePlan(ctx context.Context, plan Plan) {
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
	l.logRefusedCommands(result)
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

// logRefusedCommands logs the commands, placements and evictions of a plan that the state machine refused.
func (l *Leader) logRefusedCommands(result domain.Result) {
	for _, command := range result.Batch {
		for _, part := range append(command.Batch, command) {
			if part.Err != nil {
				l.config.Logger.Info().Str("domain", l.config.Domain).Err(part.Err).Msg("planned command refused by the state machine")
			}
		}
	}
}

// setThrottles stores the throttles in the sessions of their workers, which receive them with the next heartbeat
// answer.
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
