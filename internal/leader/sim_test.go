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

// simRandom is a seeded random source that is safe for concurrent use.
type simRandom struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newSimRandom(seed uint64) *simRandom { return &simRandom{r: rand.New(rand.NewPCG(seed, 1))} }

func (s *simRandom) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

func (s *simRandom) chance(percent int) bool { return s.intN(100) < percent }

func (s *simRandom) durationUpTo(d time.Duration) time.Duration {
	return time.Duration(s.intN(int(d) + 1))
}

// simCluster is a domain group with a simulated replicated log: only the current leader can commit entries, in one
// order for all nodes.
type simCluster struct {
	random *simRandom
	nodes  []*simNode
	// unknownPercent is the percentage of committed entries for which Propose returns an error of unknown outcome.
	unknownPercent int
	// skipBarrier makes ReadBarrier succeed on a deposed leader.
	skipBarrier bool

	// rewrite changes commands before they are committed, to simulate a missing check in the state machine.
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

// simNode is one voter of a simCluster. It implements Log.
type simNode struct {
	cluster *simCluster
	id      int
	state   *domain.State
	leader  *Leader
	applyMu sync.Mutex
	applied int
	// pausedUntil is the time until which all calls of the log on this node are delayed.
	pauseMu     sync.Mutex
	pausedUntil time.Time
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

// run starts the Leader of every node. They stop when ctx is done.
func (c *simCluster) run(ctx context.Context, running *sync.WaitGroup) {
	for _, n := range c.nodes {
		running.Go(func() { _ = n.leader.Run(ctx) })
	}
}

// elect makes a node the leader. The previous leader is told only after noticeDelay and acts as leader until then.
func (c *simCluster) elect(id int, noticeDelay time.Duration) {
	c.mu.Lock()
	previous := c.leader
	c.leader = id
	c.term++
	term := c.term
	c.mu.Unlock()
	c.nodes[id].catchUp()
	c.nodes[id].leader.SetLeading(true, term)
	if previous < 0 || previous == id {
		return
	}
	go func() {
		time.Sleep(noticeDelay)
		c.mu.Lock()
		replaced := c.leader != previous
		c.mu.Unlock()
		if replaced {
			c.nodes[previous].leader.SetLeading(false, term)
		}
	}()
}

func (c *simCluster) currentLeader() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader
}

// pause delays all log calls on a node until d has passed, as if its process were stopped.
func (n *simNode) pause(d time.Duration) {
	n.pauseMu.Lock()
	defer n.pauseMu.Unlock()
	n.pausedUntil = time.Now().Add(d)
}

func (n *simNode) waitWhilePaused() {
	n.pauseMu.Lock()
	wait := time.Until(n.pausedUntil)
	n.pauseMu.Unlock()
	time.Sleep(max(0, wait))
}

// catchUp applies all committed entries to the state of the node.
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
	n.waitWhilePaused()
	time.Sleep(n.cluster.random.durationUpTo(4 * time.Millisecond))
	n.applyMu.Lock()
	n.cluster.mu.Lock()
	if n.cluster.leader != n.id {
		n.cluster.mu.Unlock()
		n.applyMu.Unlock()
		return nil, errSimNotLeader
	}
	n.cluster.entries = append(n.cluster.entries, simEntry{n.cluster.term, n.rewriteEntry(entry)})
	index := len(n.cluster.entries)
	n.cluster.mu.Unlock()
	result := n.applyUpTo(index)
	n.applyMu.Unlock()
	n.waitWhilePaused()
	if n.cluster.random.chance(n.cluster.unknownPercent) {
		return nil, errSimUnknown
	}
	return result, ctx.Err()
}

func (n *simNode) rewriteEntry(entry []byte) []byte {
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
	n.waitWhilePaused()
	time.Sleep(n.cluster.random.durationUpTo(3 * time.Millisecond))
	if n.cluster.currentLeader() != n.id {
		if n.cluster.skipBarrier {
			return nil
		}
		return errSimNotLeader
	}
	n.catchUp()
	n.waitWhilePaused()
	return ctx.Err()
}

// simNetwork delivers the messages of workers to nodes, and may lose, delay, duplicate and reorder them.
type simNetwork struct {
	cluster *simCluster
	mu      sync.Mutex
	// faulty enables faults.
	faulty bool
	// dropResume removes the checkpoint from every start command, to simulate a leader that omits it.
	dropResume bool
	// replayRegistrations delivers every registration a second time, 3 s after the first.
	replayRegistrations bool
	// partitioned holds the ids of workers that reach no node.
	partitioned map[string]bool
}

func (n *simNetwork) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *simNetwork) drops(worker string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[worker] || n.faulty && n.cluster.random.chance(5)
}

func (n *simNetwork) delay() {
	n.mu.Lock()
	faulty := n.faulty
	n.mu.Unlock()
	limit := 2 * time.Millisecond
	if faulty && n.cluster.random.chance(5) {
		limit = 15 * time.Second
	}
	time.Sleep(n.cluster.random.durationUpTo(limit))
}

func (n *simNetwork) duplicates() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faulty && n.cluster.random.chance(5)
}

// roundTrip delivers a request, possibly twice, and returns its answer, unless request or answer are lost.
func roundTrip[Q, A any](ctx context.Context, n *simNetwork, worker string, q Q, call func(context.Context, Q) (A, error)) (A, error) {
	var none A
	type outcome struct {
		answer A
		err    error
	}
	done := make(chan outcome, 2)
	deliver := func() {
		n.delay()
		if n.drops(worker) {
			return
		}
		// The entry VM is not told when the worker's request times out, so the call must not be cancelled with ctx.
		answer, err := call(context.WithoutCancel(ctx), q)
		n.delay()
		if !n.drops(worker) {
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
	if n.replayRegistrations {
		time.AfterFunc(3*time.Second, func() {
			_, _ = n.node(address).leader.Register(context.WithoutCancel(ctx), proto.CloneOf(q))
		})
	}
	// The worker modifies its request for the next registration while delayed copies of this one are in flight.
	return roundTrip(ctx, n, q.GetWorker().GetId(), proto.CloneOf(q), n.node(address).leader.Register)
}

// Heartbeat implements standin.WorkerTransport.
func (n *simNetwork) Heartbeat(ctx context.Context, address string, q *pb.WorkerHeartbeat) (*pb.WorkerHeartbeatAnswer, error) {
	answer, err := roundTrip(ctx, n, q.GetWorker(), q, n.node(address).leader.Heartbeat)
	for _, c := range answer.GetCommands() {
		if n.dropResume {
			c.Resume = nil
		}
	}
	return answer, err
}

var _ standin.WorkerTransport = (*simNetwork)(nil)
