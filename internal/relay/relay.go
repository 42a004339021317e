// Package relay makes calls to workers by way of other VMs. The leader decides on every call; another VM, its agent, makes the call
// and returns the answer. There are two reasons for it:
//
//   - The leader of a few hundred workers would spend most of its processor time on HTTP, so other control VMs make its calls.
//   - A worker that runs on may be out of reach of the leader, or of all control VMs. Whatever the number of workers, one that the
//     preferred route does not reach is called over the next: by intake VMs and the other control VMs in turn.
//
// Agents keep no state that affects correctness. The calls themselves protect the workers: they carry the leader's fencing
// token, leases that end at a time on the worker's clock, and attempts that a worker starts only once. A call that an agent
// makes late is therefore no more harmful than one that the network delays. An agent that does not answer is skipped.
package relay

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alitto/pond/v2"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/boottime"
	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// Channel is the name of the transport channel on which control VMs and intake VMs exchange calls and answers.
const Channel = "relay"

const (
	// AnnounceInterval is the interval at which an agent announces itself to the leader.
	AnnounceInterval = 250 * time.Millisecond
	// agentTimeout is how long after its last message an agent still gets calls: four announce intervals.
	agentTimeout = time.Second
	// suspectAfter is how long an agent may be silent before it is suspected. Agents announce themselves and intake VMs ask for the
	// members more often.
	suspectAfter = 450 * time.Millisecond
	// suspectDuration is how long an agent gets no calls after it did not answer one.
	suspectDuration = 2 * time.Second
	// maxAgentCalls bounds the concurrent calls of an agent, and with them the memory that they use. Most are long polls, one
	// for each worker; at the target size of a deployment an agent has 2,000 workers.
	maxAgentCalls = 8192
	// intakeTimeout is how long after its last offer an intake VM still gets calls: five intervals at which intake VMs ask the leader for
	// the members.
	intakeTimeout = 2 * time.Second
	// intakeUseTimeout is how long after its last call an intake VM counts as in use.
	intakeUseTimeout = 15 * time.Second
	// agentRetention is how long after its last message an agent is removed.
	agentRetention = time.Minute
	// answerMargin is the part of a call's timeout that an agent reserves for its answer to reach the leader.
	answerMargin = 50 * time.Millisecond
)

var (
	relayedTotal    = metrics.NewCounter("lentilyard_relay_calls_total")
	executedTotal   = metrics.NewCounter("lentilyard_relay_made_total")
	expiredTotal    = metrics.NewCounter("lentilyard_relay_expired_total")
	unansweredTotal = metrics.NewCounter("lentilyard_relay_silent_total")
	// failedRoutesTotal counts how often a route to a worker was given up for the next one.
	failedRoutesTotal = metrics.NewCounter("lentilyard_relay_failed_routes_total")
)

// Messenger sends messages to other VMs. A message may be lost.
type Messenger interface {
	Send(to, channel string, payload []byte)
	// AwaitConnection connects to a VM unless it is connected, and returns once messages can be sent to it.
	AwaitConnection(ctx context.Context, to string) error
}

// Config configures a Relay.
type Config struct {
	// ID is the id of this VM.
	ID            string
	FailureDomain string
	// Intake is true on an intake VM, which is never a leader.
	Intake bool
	// Local makes calls from this VM.
	Local     dispatch.Caller
	Messenger Messenger
	Logger    zerolog.Logger
	// UseAgents reports whether calls are given to agents; otherwise this VM makes all that it can make itself. It may be nil on an intake VM.
	UseAgents func() bool
	// Clock returns a monotonic time that includes suspensions of the VM. The default is boottime.Now.
	Clock func() time.Duration
}

// Relay sends calls to agents and, as an agent, makes the calls of other VMs. It implements dispatch.Caller.
type Relay struct {
	cfg     Config
	process uint64 // random id of this process, which agents return with each answer
	ctx     context.Context
	cancel  context.CancelFunc
	pool    pond.Pool

	mu             sync.Mutex // guards the fields below
	lastID         uint64
	pending        map[uint64]chan<- *pb.RelayAnswer
	agents         map[string]*agent // the other control VMs
	intakes        map[string]*agent // the intake VMs
	failed         map[routeKey]*failedRoutes
	nextRouteSweep time.Duration
	batches        map[string]*batch
}

// agent is the state that this VM keeps of another control VM or of an intake VM.
type agent struct {
	failureDomain string
	lastHeard     time.Duration
	clockMs       int64         // the reading of its clock that arrived then, 0 if none
	offeredAt     time.Duration // when it last offered to make calls
	lastCalled    time.Duration // when a message to an intake VM was last queued
	suspectUntil  time.Duration
}

// New returns a Relay without agents.
func New(cfg Config) *Relay {
	if cfg.Clock == nil {
		cfg.Clock = boottime.Now
	}
	var process [8]byte
	_, _ = rand.Read(process[:]) // never fails
	ctx, cancel := context.WithCancel(context.Background())
	return &Relay{cfg: cfg, process: binary.NativeEndian.Uint64(process[:]), ctx: ctx, cancel: cancel, pool: pond.NewPool(maxAgentCalls, pond.WithContext(ctx)),
		pending: map[uint64]chan<- *pb.RelayAnswer{}, agents: map[string]*agent{}, intakes: map[string]*agent{},
		failed: map[routeKey]*failedRoutes{}, batches: map[string]*batch{}}
}

// ClockMs returns the time on the clock of this VM, by which other VMs limit their calls.
func (r *Relay) ClockMs() int64 { return r.cfg.Clock().Milliseconds() }

// Close cancels all calls that this VM makes for others.
func (r *Relay) Close() { r.cancel() }

// Announce tells the leader that this VM can make calls for it.
func (r *Relay) Announce(leader string) {
	if leader != "" && leader != r.cfg.ID {
		r.enqueue(leader, nil, nil)
	}
}

// Handle handles a message of another VM: it makes the calls in it and delivers the answers.
func (r *Relay) Handle(from string, payload []byte) {
	m := &pb.RelayMessage{}
	if err := proto.Unmarshal(payload, m); err != nil {
		r.cfg.Logger.Warn().Str("event", "malformed-message").Str("channel", Channel).Str("from", from).Err(err).Msg("")
		return
	}
	switch {
	case m.GetFromIntake() && len(m.GetAnswers()) > 0:
		r.recordAnsweringIntake(from, m.GetClockMs())
	case m.GetFromIntake():
		r.RecordIntake(from, m.GetFailureDomain(), m.GetClockMs())
	default:
		r.recordAgent(from, m.GetFailureDomain(), m.GetClockMs())
	}
	receivedAt := r.cfg.Clock()
	for _, c := range m.GetCalls() {
		r.pool.Submit(func() { r.handleCall(from, c, receivedAt) })
	}
	for _, a := range m.GetAnswers() {
		r.deliverAnswer(a)
	}
}

// recordAgent records that a message of another control VM has arrived.
func (r *Relay) recordAgent(vm, failureDomain string, clockMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordHeard(r.agents, vm, failureDomain, clockMs)
}

// RecordIntake records that an intake VM has offered to make calls to workers, and the reading of its clock that it sent.
func (r *Relay) RecordIntake(vm, failureDomain string, clockMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordHeard(r.intakes, vm, failureDomain, clockMs)
}

// recordAnsweringIntake records that answers of an intake VM have arrived. They are no offer, since one that stops answers the calls that
// it still has.
func (r *Relay) recordAnsweringIntake(vm string, clockMs int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.intakes[vm]; a != nil {
		a.lastHeard, a.clockMs = r.cfg.Clock(), clockMs
	}
}

// recordHeard updates one of the lists of VMs. If the VM is new there, those that have been silent for long are removed. The caller
// holds r.mu.
func (r *Relay) recordHeard(vms map[string]*agent, vm, failureDomain string, clockMs int64) {
	now := r.cfg.Clock()
	a := vms[vm]
	if a == nil {
		for id, other := range vms {
			if now-other.lastHeard > agentRetention {
				delete(vms, id)
				delete(r.batches, id)
			}
		}
		a = &agent{}
		vms[vm] = a
	}
	a.failureDomain, a.lastHeard, a.offeredAt, a.clockMs = failureDomain, now, now, clockMs
}

// agentState returns the state of a VM, or nil if it is not known. The caller holds r.mu.
func (r *Relay) agentState(vm string) *agent {
	if a := r.agents[vm]; a != nil {
		return a
	}
	return r.intakes[vm]
}

// isIntake reports whether a VM is a known intake VM, and if so records that it is called.
func (r *Relay) isIntake(vm string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.intakes[vm]
	if a == nil {
		return false
	}
	a.lastCalled = r.cfg.Clock()
	return true
}

// IntakesInUse returns the intake VMs that make calls for this VM.
func (r *Relay) IntakesInUse() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var vms []string
	now := r.cfg.Clock()
	for id, a := range r.intakes {
		if a.lastCalled > 0 && now-a.lastCalled < intakeUseTimeout {
			vms = append(vms, id)
		}
	}
	return vms
}

// Intakes returns the intake VMs that have offered to make calls of late.
func (r *Relay) Intakes() []Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	return alive(r.intakes, r.cfg.Clock(), intakeTimeout)
}

// IntakesNear returns up to n intake VMs that have offered to make calls of late, without vm and with those in its failure domain first.
func (r *Relay) IntakesNear(vm string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	failureDomain := ""
	if a := r.intakes[vm]; a != nil {
		failureDomain = a.failureDomain
	}
	return Nearest(alive(r.intakes, r.cfg.Clock(), intakeTimeout), vm, failureDomain, n)
}

// AgentFor returns the control VM that calls a worker unless calls through it fail, or "" for this VM.
func (r *Relay) AgentFor(worker, failureDomain string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return ChooseAgent(alive(r.agents, r.cfg.Clock(), agentTimeout), worker, failureDomain, 0)
}

// alive returns the VMs that have offered to make calls within a timeout and are not suspected.
func alive(vms map[string]*agent, now, timeout time.Duration) []Agent {
	var list []Agent
	for id, a := range vms {
		if a.isAlive(now, timeout) {
			list = append(list, Agent{id, a.failureDomain})
		}
	}
	return list
}

// isAlive reports whether a VM has offered to make calls within a timeout and is not suspected.
func (a *agent) isAlive(now, timeout time.Duration) bool {
	return now-a.offeredAt < timeout && now >= a.suspectUntil
}

// deliverAnswer passes an answer to the call that waits for it.
func (r *Relay) deliverAnswer(a *pb.RelayAnswer) {
	if a.GetProcess() != r.process {
		return // the answer to a call of an earlier process on this VM
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if done, ok := r.pending[a.GetId()]; ok {
		delete(r.pending, a.GetId())
		done <- a
	}
}
