// Package relay distributes calls to workers over the control VMs. The leader decides on every call; another control VM, its
// agent, makes the call and returns the answer. Without agents, the leader of a few hundred workers spends most of its
// processor time on HTTP.
//
// Agents keep no state that affects correctness. The calls themselves protect the workers: they carry the leader's fencing
// token, leases that end at a time on the worker's clock, and attempts that a worker starts only once. A call that an agent
// makes late is therefore no more harmful than one that the network delays. An agent that does not answer is skipped, and a
// worker that an agent cannot reach is called by the next one.
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

// Channel is the name of the transport channel on which control VMs exchange calls and answers.
const Channel = "relay"

const (
	// AnnounceInterval is the interval at which an agent announces itself to the leader.
	AnnounceInterval = 250 * time.Millisecond
	// agentTimeout is how long after its last message an agent still gets calls: four announce intervals.
	agentTimeout = time.Second
	// suspectDuration is how long an agent gets no calls after it did not answer one.
	suspectDuration = 2 * time.Second
	// maxAgentCalls bounds the concurrent calls of an agent, and with them the memory that they use. Most are long polls, one
	// for each worker; at the target size of a deployment an agent has 2,000 workers.
	maxAgentCalls = 8192
	// rerouteDuration is how long a worker that was not reached is called over another route before the preferred route is
	// tried again.
	rerouteDuration = 20 * time.Second
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
)

// Messenger sends messages to other VMs. A message may be lost.
type Messenger interface {
	Send(to, channel string, payload []byte)
}

// Config configures a Relay.
type Config struct {
	// ID is the id of this VM.
	ID            string
	FailureDomain string
	// Local makes calls from this VM.
	Local     dispatch.Caller
	Messenger Messenger
	Logger    zerolog.Logger
	// UseAgents reports whether calls are given to agents; otherwise this VM makes all of them.
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

	mu       sync.Mutex // guards the fields below
	lastID   uint64
	pending  map[uint64]chan<- *pb.RelayAnswer
	agents   map[string]*agent
	reroutes map[string]*reroute // by worker id
	batches  map[string]*batch
}

// reroute counts the failed routes to a worker, so that it is called over another one.
type reroute struct {
	failedRoutes int
	// unanswered is true after a single call that the agent did not answer. The call or its answer may just have been lost.
	unanswered bool
	since      time.Duration
}

// agent is the state that this VM keeps of another control VM.
type agent struct {
	failureDomain string
	lastHeard     time.Duration
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
		pending: map[uint64]chan<- *pb.RelayAnswer{}, agents: map[string]*agent{}, reroutes: map[string]*reroute{}, batches: map[string]*batch{}}
}

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
	r.recordAgent(from, m.GetFailureDomain())
	receivedAt := r.cfg.Clock()
	for _, c := range m.GetCalls() {
		r.pool.Submit(func() { r.handleCall(from, c, receivedAt) })
	}
	for _, a := range m.GetAnswers() {
		r.deliverAnswer(a)
	}
}

// recordAgent records that a message of another VM has arrived.
func (r *Relay) recordAgent(from, failureDomain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	a := r.agents[from]
	if a == nil {
		for id, other := range r.agents {
			if now-other.lastHeard > agentRetention {
				delete(r.agents, id)
				delete(r.batches, id)
			}
		}
		a = &agent{}
		r.agents[from] = a
	}
	a.failureDomain, a.lastHeard = failureDomain, now
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
