// Package relay spreads calls to workers over the control VMs. The leader decides on every call; another control VM, its
// agent, makes it and passes the answer back. Without it the leader of some hundred workers spends most of its processor
// time on HTTP.
//
// An agent holds no state that decides anything. What protects workers is in the calls: the leader's fencing token, leases
// named as times on the worker's clock, and attempts that a worker starts once. So a call that an agent makes late does no
// more harm than one that is late on its way. An agent that stays silent is passed over, and a worker that an agent does
// not reach is called by the next one.
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

// Channel is the name of the messages between control VMs.
const Channel = "relay"

const (
	// AnnounceInterval is the time between two signs of life that an agent sends to the leader.
	AnnounceInterval = 250 * time.Millisecond
	// aliveFor is how long after its last message an agent gets calls: four signs of life.
	aliveFor = time.Second
	// suspectFor is how long an agent gets no calls after it left one without an answer.
	suspectFor = 2 * time.Second
	// agentCalls bounds the calls that an agent makes at the same time, and with it their memory. Most are long polls, one
	// for each worker; the target size gives an agent 2,000 workers.
	agentCalls = 8192
	// detourFor is how long a worker that was not reached is called by way of another VM before the first way is tried again.
	detourFor = 20 * time.Second
	// forgetAfter is how long after its last message an agent is forgotten.
	forgetAfter = time.Minute
	// answerSlack is the part of a call's time that an agent leaves for its answer to reach the leader.
	answerSlack = 50 * time.Millisecond
)

var (
	relayedTotal = metrics.NewCounter("lentilyard_relay_calls_total")
	madeTotal    = metrics.NewCounter("lentilyard_relay_made_total")
	expiredTotal = metrics.NewCounter("lentilyard_relay_expired_total")
	silentTotal  = metrics.NewCounter("lentilyard_relay_silent_total")
)

// Messenger sends messages to other VMs. A message may be lost.
type Messenger interface {
	Send(to, channel string, payload []byte)
}

// Config configures a Relay.
type Config struct {
	// ID is this VM.
	ID            string
	FailureDomain string
	// Local makes calls from this VM.
	Local     dispatch.Caller
	Messenger Messenger
	Logger    zerolog.Logger
	// Spread reports whether calls are given to agents; otherwise all are made from this VM.
	Spread func() bool
	// Clock counts suspensions of the VM. Default boottime.Now.
	Clock func() time.Duration
}

// Relay gives calls to agents and makes those that other VMs give to this one. It implements dispatch.Caller.
type Relay struct {
	cfg     Config
	process uint64
	ctx     context.Context
	cancel  context.CancelFunc
	pool    pond.Pool

	mu      sync.Mutex // guards the fields below
	lastID  uint64
	waiting map[uint64]chan<- *pb.RelayAnswer
	agents  map[string]*agent
	detours map[string]*detour // by worker
	batches map[string]*batch
}

// detour is how a worker is called that was not reached.
type detour struct {
	tries int // ways that have failed
	// unheard is true after a call without any answer, which may as well be lost.
	unheard bool
	since   time.Duration
}

// agent is another control VM as this one has heard of it.
type agent struct {
	failureDomain string
	heardAt       time.Duration
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
	return &Relay{cfg: cfg, process: binary.NativeEndian.Uint64(process[:]), ctx: ctx, cancel: cancel, pool: pond.NewPool(agentCalls, pond.WithContext(ctx)),
		waiting: map[uint64]chan<- *pb.RelayAnswer{}, agents: map[string]*agent{}, detours: map[string]*detour{}, batches: map[string]*batch{}}
}

// Close ends all calls that are made for other VMs.
func (r *Relay) Close() { r.cancel() }

// Announce tells the leader that this VM makes calls for it.
func (r *Relay) Announce(leader string) {
	if leader != "" && leader != r.cfg.ID {
		r.enqueue(leader, nil, nil)
	}
}

// Handle takes a message of another VM.
func (r *Relay) Handle(from string, payload []byte) {
	m := &pb.RelayMessage{}
	if err := proto.Unmarshal(payload, m); err != nil {
		r.cfg.Logger.Warn().Str("event", "malformed-message").Str("channel", Channel).Str("from", from).Err(err).Msg("")
		return
	}
	r.heard(from, m.GetFailureDomain())
	arrived := r.cfg.Clock()
	for _, c := range m.GetCalls() {
		r.pool.Submit(func() { r.perform(from, c, arrived) })
	}
	for _, a := range m.GetAnswers() {
		r.answered(a)
	}
}

func (r *Relay) heard(from, failureDomain string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock()
	a := r.agents[from]
	if a == nil {
		for id, other := range r.agents {
			if now-other.heardAt > forgetAfter {
				delete(r.agents, id)
				delete(r.batches, id)
			}
		}
		a = &agent{}
		r.agents[from] = a
	}
	a.failureDomain, a.heardAt = failureDomain, now
}

func (r *Relay) answered(a *pb.RelayAnswer) {
	if a.GetProcess() != r.process {
		return // meant for a process that ran here before
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if done, ok := r.waiting[a.GetId()]; ok {
		delete(r.waiting, a.GetId())
		done <- a
	}
}
