package leader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/domain"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/standin"
	"google.golang.org/protobuf/proto"
)

var (
	errSimNotLeader = errors.New("not leader")
	errSimLost      = errors.New("message lost")
	errSimUnknown   = errors.New("outcome unknown")
)

// simRandom is a seeded source that goroutines share.
type simRandom struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newSimRandom(seed uint64) *simRandom { return &simRandom{r: rand.New(rand.NewPCG(seed, 1))} }

func (s *simRandom) below(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

func (s *simRandom) chance(percent int) bool { return s.below(100) < percent }

func (s *simRandom) upTo(d time.Duration) time.Duration { return time.Duration(s.below(int(d) + 1)) }

// simCluster is a domain group with a fake replicated log: entries are committed in order, under one leader at a time.
type simCluster struct {
	random *simRandom
	nodes  []*simNode
	// unknownPercent of the committed entries are reported as of unknown outcome.
	unknownPercent int
	// skipBarrier lets a deposed leader pass for the leader.
	skipBarrier bool

	// rewrite changes commands before they are committed, which stands for a check that is left out.
	rewrite func(view *domain.View, command *pb.DomainCommand)

	mu      sync.Mutex
	entries []simEntry
	leader  int
	term    uint64
}

type simEntry struct {
	term  uint64
	entry []byte
}

// simNode is one voter. It implements Log.
type simNode struct {
	cluster *simCluster
	id      int
	state   *domain.State
	leader  *Leader
	applyMu sync.Mutex
	applied int
	// frozenUntil delays everything that the log returns to this node.
	frozenMu    sync.Mutex
	frozenUntil time.Time
}

func newSimCluster(seed uint64, nodes int, planner func() Planner, lease time.Duration) *simCluster {
	c := &simCluster{random: newSimRandom(seed), leader: -1}
	for id := range nodes {
		n := &simNode{cluster: c, id: id, state: domain.New("d1", domain.Limits{})}
		n.leader = New(Config{Domain: "d1", Log: n, State: n.state, Planner: planner(), AttemptLease: lease})
		c.nodes = append(c.nodes, n)
	}
	return c
}

// run starts the leaders; they end with ctx.
func (c *simCluster) run(ctx context.Context, running *sync.WaitGroup) {
	for _, n := range c.nodes {
		running.Go(func() { _ = n.leader.Run(ctx) })
	}
}

// elect makes a node the leader. The former leader learns of it after a delay; until then it still believes to lead.
func (c *simCluster) elect(id int, learnsAfter time.Duration) {
	c.mu.Lock()
	former := c.leader
	c.leader = id
	c.term++
	term := c.term
	c.mu.Unlock()
	c.nodes[id].catchUp()
	c.nodes[id].leader.SetLeading(true, term)
	if former < 0 || former == id {
		return
	}
	go func() {
		time.Sleep(learnsAfter)
		c.mu.Lock()
		still := c.leader != former
		c.mu.Unlock()
		if still {
			c.nodes[former].leader.SetLeading(false, term)
		}
	}()
}

func (c *simCluster) current() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// freeze stops a node until d has passed, as far as its log is concerned.
func (n *simNode) freeze(d time.Duration) {
	n.frozenMu.Lock()
	defer n.frozenMu.Unlock()
	n.frozenUntil = time.Now().Add(d)
}

func (n *simNode) thaw() {
	n.frozenMu.Lock()
	wait := time.Until(n.frozenUntil)
	n.frozenMu.Unlock()
	time.Sleep(max(0, wait))
}

// catchUp applies all committed entries to the node.
func (n *simNode) catchUp() {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.cluster.mu.Lock()
	committed := len(n.cluster.entries)
	n.cluster.mu.Unlock()
	n.applyUpTo(committed)
}

// Propose implements Log.
func (n *simNode) Propose(ctx context.Context, entry []byte) (any, error) {
	n.thaw()
	time.Sleep(n.cluster.random.upTo(4 * time.Millisecond))
	n.applyMu.Lock()
	n.cluster.mu.Lock()
	if n.cluster.leader != n.id {
		n.cluster.mu.Unlock()
		n.applyMu.Unlock()
		return nil, errSimNotLeader
	}
	n.cluster.entries = append(n.cluster.entries, simEntry{n.cluster.term, n.rewritten(entry)})
	mine := len(n.cluster.entries)
	n.cluster.mu.Unlock()
	result := n.applyUpTo(mine)
	n.applyMu.Unlock()
	n.thaw()
	if n.cluster.random.chance(n.cluster.unknownPercent) {
		return nil, errSimUnknown
	}
	return result, ctx.Err()
}

func (n *simNode) rewritten(entry []byte) []byte {
	if n.cluster.rewrite == nil {
		return entry
	}
	command := &pb.DomainCommand{}
	_ = proto.Unmarshal(entry, command)
	for _, c := range append(command.GetBatch().GetCommands(), command) {
		n.cluster.rewrite(n.state.View(), c)
	}
	changed, _ := proto.Marshal(command)
	return changed
}

func (n *simNode) applyUpTo(index int) any {
	var last any
	for n.applied < index {
		n.cluster.mu.Lock()
		e := n.cluster.entries[n.applied]
		n.cluster.mu.Unlock()
		n.applied++
		last = n.state.Apply(uint64(n.applied), e.term, e.entry)
	}
	return last
}

// ReadBarrier implements Log.
func (n *simNode) ReadBarrier(ctx context.Context) error {
	n.thaw()
	time.Sleep(n.cluster.random.upTo(3 * time.Millisecond))
	if n.cluster.current() != n.id {
		if n.cluster.skipBarrier {
			return nil
		}
		return errSimNotLeader
	}
	n.catchUp()
	n.thaw()
	return ctx.Err()
}

// simNetwork carries worker messages to nodes and loses, delays, duplicates and reorders them.
type simNetwork struct {
	cluster *simCluster
	mu      sync.Mutex
	// faulty turns faults on.
	faulty bool
	// dropResume removes the checkpoint from every start, which stands for a leader that forgets it.
	dropResume bool
	// lateRegistrations delivers every registration again after it has been answered.
	lateRegistrations bool
	// silent workers reach no node.
	silent map[string]bool
}

func (n *simNetwork) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *simNetwork) broken(worker string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[worker] || n.faulty && n.cluster.random.chance(5)
}

func (n *simNetwork) delay() {
	n.mu.Lock()
	faulty := n.faulty
	n.mu.Unlock()
	limit := 2 * time.Millisecond
	if faulty && n.cluster.random.chance(5) {
		limit = 15 * time.Second
	}
	time.Sleep(n.cluster.random.upTo(limit))
}

func (n *simNetwork) duplicates() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faulty && n.cluster.random.chance(5)
}

// carry delivers a request, perhaps twice, and its answer, unless one of them is lost.
func carry[Q, A any](ctx context.Context, n *simNetwork, worker string, q Q, call func(context.Context, Q) (A, error)) (A, error) {
	var none A
	type outcome struct {
		answer A
		err    error
	}
	done := make(chan outcome, 2)
	deliver := func() {
		n.delay()
		if n.broken(worker) {
			return
		}
		// The entry VM does not learn that the worker gave up, so the call outlives the worker's timeout.
		answer, err := call(context.WithoutCancel(ctx), q)
		n.delay()
		if !n.broken(worker) {
			done <- outcome{answer, err}
		}
	}
	go deliver()
	if n.duplicates() {
		go deliver()
	}
	select {
	case o := <-done:
		return o.answer, o.err
	case <-ctx.Done():
		return none, fmt.Errorf("%w: %w", errSimLost, ctx.Err())
	}
}

func (n *simNetwork) node(address string) *simNode {
	var id int
	_, _ = fmt.Sscanf(address, "n%d", &id)
	return n.cluster.nodes[id]
}

// Register implements standin.WorkerTransport.
func (n *simNetwork) Register(ctx context.Context, address string, q *pb.RegisterWorkerRequest) (*pb.RegisterWorkerAnswer, error) {
	if n.lateRegistrations {
		time.AfterFunc(3*time.Second, func() {
			_, _ = n.node(address).leader.Register(context.WithoutCancel(ctx), proto.CloneOf(q))
		})
	}
	// A message in flight does not change when its sender prepares the next one.
	return carry(ctx, n, q.GetWorker().GetId(), proto.CloneOf(q), n.node(address).leader.Register)
}

// Heartbeat implements standin.WorkerTransport.
func (n *simNetwork) Heartbeat(ctx context.Context, address string, q *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	answer, err := carry(ctx, n, q.GetWorker(), q, n.node(address).leader.Heartbeat)
	for _, c := range answer.GetCommands() {
		if n.dropResume {
			c.Resume = nil
		}
	}
	return answer, err
}

var _ standin.WorkerTransport = (*simNetwork)(nil)
