package relay

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// network connects relays in memory and can isolate some of them.
type network struct {
	mu     sync.Mutex
	relays map[string]*Relay
	cut    map[string]bool
	sent   int
	delay  time.Duration
}

func (n *network) messages() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent
}

// isolate cuts a VM off from all others, or ends that.
func (n *network) isolate(vm string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[vm] = cut
}

// endpoint is the Messenger of one relay.
type endpoint struct {
	network *network
	from    string
}

func (p endpoint) Send(to, _ string, payload []byte) {
	n := p.network
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	if n.cut[p.from] || n.cut[to] || n.relays[to] == nil {
		return
	}
	relay := n.relays[to]
	time.AfterFunc(n.delay, func() { relay.Handle(p.from, payload) })
}

// AwaitConnection succeeds unless one of the two VMs is isolated.
func (p endpoint) AwaitConnection(ctx context.Context, to string) error {
	p.network.mu.Lock()
	cut := p.network.cut[p.from] || p.network.cut[to]
	p.network.mu.Unlock()
	if cut {
		<-ctx.Done()
	}
	return ctx.Err()
}

// recordingCaller records the calls that one VM makes.
type recordingCaller struct {
	mu    sync.Mutex
	calls []string
	err   error
}

func (c *recordingCaller) record(format string, args ...any) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, fmt.Sprintf(format, args...))
	return 77, c.err
}

func (c *recordingCaller) Start(_ context.Context, s dispatch.StartCall) (int64, error) {
	return c.record("start %v %d %q %q until %d ticket %q at %s incarnation %v fence %d", s.Task, s.Attempt, s.Payload, s.Checkpoint, s.LeaseUntilMs, s.Ticket, s.Address, s.Incarnation, s.Fence)
}

func (c *recordingCaller) Stop(_ context.Context, s dispatch.StopCall) (int64, error) {
	return c.record("stop %v %d", s.Task, s.Attempt)
}

func (c *recordingCaller) Throttle(_ context.Context, s dispatch.ThrottleCall) (int64, error) {
	return c.record("throttle %v %d %d", s.Task, s.Attempt, s.Percent)
}

func (c *recordingCaller) Hold(_ context.Context, h dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	_, err := c.record("hold until %d seen %d wait %d", h.LeaseUntilMs, h.SeenEnd, h.WaitMs)
	if err != nil {
		return dispatch.HoldAnswer{}, err
	}
	ref := submission.Ref{Submission: "s", Occurrence: 1, Step: 2, Index: 3}
	return dispatch.HoldAnswer{ClockMs: 77, BornUnixMs: 9,
		Running: []dispatch.Running{{Task: ref, Attempt: 4, Checkpoint: "c", Percent: 12.5, Figure: 3}},
		Ended:   []dispatch.Ended{{Number: 8, Task: ref, Attempt: 3, Kind: pb.TaskEndKind_TASK_END_KIND_DONE, Checkpoint: "d"}}}, nil
}

func (c *recordingCaller) setError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *recordingCaller) recorded() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.calls...)
}

// newLeaderAndAgent returns a leader, an agent in the failure domain of the worker, and the local callers of the two.
func newLeaderAndAgent(t *testing.T) (*network, *Relay, *recordingCaller, *recordingCaller) {
	n := &network{relays: map[string]*Relay{}, cut: map[string]bool{}, delay: time.Millisecond}
	begin := time.Now()
	callers := map[string]*recordingCaller{}
	for _, id := range []string{"leader", "agent"} {
		callers[id] = &recordingCaller{}
		n.relays[id] = New(Config{ID: id, FailureDomain: "d", Local: callers[id], Messenger: endpoint{n, id}, Logger: zerolog.Nop(),
			UseAgents: func() bool { return true }, Clock: func() time.Duration { return time.Since(begin) + time.Hour }})
	}
	n.relays["agent"].Announce("leader")
	time.Sleep(50 * time.Millisecond)
	return n, n.relays["leader"], callers["leader"], callers["agent"]
}

func (n *network) close() {
	for _, r := range n.relays {
		r.Close()
	}
	time.Sleep(time.Second) // lets the timers of batches expire
}

// clearFailedRoutes makes the relay forget failed routes.
func (r *Relay) clearFailedRoutes() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.failed)
}

var worker = dispatch.Target{Incarnation: submission.Incarnation{ID: "w", BornUnixMs: 9}, Address: "10.0.0.1:80", FailureDomain: "d", Fence: 6}

// Guards against fields of calls and answers that are lost or changed when they are relayed.
func TestAgentExecutesLeaderCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, leaderCaller, agentCaller := newLeaderAndAgent(t)
		defer n.close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		ref := submission.Ref{Submission: "s", Occurrence: 1, Step: 2, Index: 3}
		clock, err := leader.Start(ctx, dispatch.StartCall{Target: worker, Task: ref, Attempt: 4, Payload: "p", Checkpoint: "c", LeaseUntilMs: 99, Ticket: "t"})
		is.NoErr(err)
		is.Equal(clock, int64(77))
		_, err = leader.Stop(ctx, dispatch.StopCall{Target: worker, Task: ref, Attempt: 4})
		is.NoErr(err)
		_, err = leader.Throttle(ctx, dispatch.ThrottleCall{Target: worker, Task: ref, Attempt: 4, Percent: 30})
		is.NoErr(err)
		answer, err := leader.Hold(ctx, dispatch.HoldCall{Target: worker, LeaseUntilMs: 100, SeenEnd: 7, WaitMs: 500})
		is.NoErr(err)
		direct, _ := (&recordingCaller{}).Hold(ctx, dispatch.HoldCall{})
		is.Equal(answer, direct)
		is.Equal(leaderCaller.recorded(), nil)
		is.Equal(agentCaller.recorded(), []string{
			`start {s 1 2 3} 4 "p" "c" until 99 ticket "t" at 10.0.0.1:80 incarnation {w 9} fence 6`,
			"stop {s 1 2 3} 4", "throttle {s 1 2 3} 4 30", "hold until 100 seen 7 wait 500"})
	})
}

// Guards against a relayed error that reaches the leader as a different one.
func TestOutcomesReachLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, agentCaller := newLeaderAndAgent(t)
		defer n.close()
		for _, want := range outcomeErrors {
			agentCaller.setError(want)
			leader.clearFailedRoutes()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := leader.Stop(ctx, dispatch.StopCall{Target: worker})
			cancel()
			is.True(errors.Is(err, want))
		}
		agentCaller.setError(errors.New("something new"))
		leader.clearFailedRoutes()
		_, err := leader.Stop(t.Context(), dispatch.StopCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer)) // may have been executed
	})
}

// Guards against workers that count as lost because their agent is isolated: the next call must take another route.
func TestUnresponsiveAgentIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, leaderCaller, _ := newLeaderAndAgent(t)
		defer n.close()
		n.isolate("agent", true)
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := leader.Hold(ctx, dispatch.HoldCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer))
		_, err = leader.Hold(t.Context(), dispatch.HoldCall{Target: worker})
		is.NoErr(err)
		is.Equal(len(leaderCaller.recorded()), 1)
	})
}

// Guards against a worker that stays unreachable because only its agent cannot connect to it.
func TestWorkerUnreachableForAgentIsRerouted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, leaderCaller, agentCaller := newLeaderAndAgent(t)
		defer n.close()
		agentCaller.setError(dispatch.ErrNoAnswer)
		_, err := leader.Hold(t.Context(), dispatch.HoldCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer))
		_, err = leader.Hold(t.Context(), dispatch.HoldCall{Target: worker})
		is.NoErr(err)
		is.Equal(len(leaderCaller.recorded()), 1)
	})
}

// Guards against a call that an agent makes after its timeout, for instance after the VM was suspended: a throttle limit
// that has been raised in the meantime would be lowered again.
func TestExpiredCallIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _, _, agentCaller := newLeaderAndAgent(t)
		defer n.close()
		agent := n.relays["agent"]
		agent.handleCall("leader", &pb.RelayCall{Id: 1, TimeoutMs: 300, Call: &pb.RelayCall_Throttle{Throttle: &pb.RelayThrottle{Percent: 10}}},
			agent.cfg.Clock()-400*time.Millisecond)
		is.Equal(agentCaller.recorded(), nil)
	})
}

// Guards against an answer that arrives after the leader's process was restarted and is matched with another call of the
// same id.
func TestAnswerToPreviousProcessIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, _ := newLeaderAndAgent(t)
		defer n.close()
		done := make(chan *pb.RelayAnswer, 1)
		leader.mu.Lock()
		leader.pending[5] = done
		leader.mu.Unlock()
		leader.deliverAnswer(&pb.RelayAnswer{Id: 5, Process: leader.process + 1})
		is.Equal(len(done), 0)
		leader.deliverAnswer(&pb.RelayAnswer{Id: 5, Process: leader.process})
		is.Equal(len(done), 1)
	})
}

// Guards against sending one message per call: a plan for hundreds of workers makes hundreds of calls at once.
func TestCallsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, agentCaller := newLeaderAndAgent(t)
		defer n.close()
		before := n.messages()
		var calls sync.WaitGroup
		for i := range 200 {
			calls.Go(func() {
				_, err := leader.Stop(t.Context(), dispatch.StopCall{Target: worker, Attempt: uint32(i)})
				is.NoErr(err)
			})
		}
		calls.Wait()
		is.Equal(len(agentCaller.recorded()), 200)
		is.True(n.messages()-before <= 8) // calls and answers
	})
}

// Guards against an uneven distribution of workers, calls to another domain while the worker's own has agents, and workers
// that nobody calls when there are no agents.
func TestChooseAgent(t *testing.T) {
	is := is.New(t)
	agents := []Agent{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}
	share := map[string]int{}
	for i := range 1000 {
		share[ChooseAgent(agents, fmt.Sprint("w", i), "a", 0)]++
	}
	is.Equal(share["a1"]+share["a2"], 1000)
	is.True(share["a1"] > 400 && share["a2"] > 400)
	is.Equal(ChooseAgent(agents, "w", "a", 2), "") // the leader follows both agents of the domain
	is.Equal(ChooseAgent(agents, "w", "a", 3), "b1")
	is.Equal(ChooseAgent(agents, "w", "c", 3), "") // without agents in the domain, the leader comes last
	is.Equal(ChooseAgent(nil, "w", "a", 5), "")
	is.Equal(ChooseAgent(agents, "w", "a", 1), ChooseAgent([]Agent{agents[2], agents[1], agents[0]}, "w", "a", 1)) // independent of the order of agents
}

// blockingCaller blocks each hold until it times out, like a worker on which no task ends.
type blockingCaller struct {
	recordingCaller
	holds atomic.Int64
}

func (c *blockingCaller) Hold(ctx context.Context, _ dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	c.holds.Add(1)
	<-ctx.Done()
	return dispatch.HoldAnswer{}, dispatch.ErrNoAnswer
}

// Guards against calls that wait for the long polls of an agent's other workers. In a domain with one agent beside the
// leader, that agent has a third of 3,000 workers; its calls timed out, and each timeout moved a worker to another agent
// (fleetbench sweep at 300 VMs: 558 new connections per second on each control VM).
func TestAgentRunsAllLongPollsConcurrently(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, _ := newLeaderAndAgent(t)
		defer n.close()
		blocking := &blockingCaller{}
		n.relays["agent"].cfg.Local = blocking
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		for i := range 2000 {
			target := worker
			target.Incarnation.ID = fmt.Sprint("w", i)
			go func() { _, _ = leader.Hold(ctx, dispatch.HoldCall{Target: target}) }()
		}
		time.Sleep(500 * time.Millisecond)
		is.Equal(blocking.holds.Load(), int64(2000))
		time.Sleep(time.Second)
	})
}

// Guards against a worker that is rerouted after a single late answer, and against one that never returns to the agent of
// its own domain.
func TestRouteToWorkerIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, leaderCaller, agentCaller := newLeaderAndAgent(t)
		defer n.close()
		call := func(within time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			_, _ = leader.Hold(ctx, dispatch.HoldCall{Target: worker})
		}
		stop := make(chan struct{})
		defer close(stop)
		go func() { // the agent announces itself all the time
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					n.relays["agent"].Announce("leader")
				}
			}
		}()
		call(15 * time.Millisecond) // too short for a round trip
		call(time.Second)
		is.Equal(len(leaderCaller.recorded()), 0)
		agentCaller.setError(dispatch.ErrNoAnswer)
		call(time.Second)
		call(time.Second)
		is.Equal(len(leaderCaller.recorded()), 1)
		time.Sleep(preferredRetryInterval + time.Second)
		agentCaller.setError(nil)
		call(time.Second) // the agent is tried beside it
		time.Sleep(preferredRetryTimeout)
		before, leaderCalls := len(agentCaller.recorded()), len(leaderCaller.recorded())
		call(time.Second)
		is.Equal(len(agentCaller.recorded()), before+1)
		is.Equal(len(leaderCaller.recorded()), leaderCalls)
	})
}

// Guards against a control VM that ends with a nil dereference: the batch for an agent that was silent for long was dropped
// while the timer that sends it was running.
func TestBatchForForgottenAgentIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, _ := newLeaderAndAgent(t)
		defer n.close()
		time.Sleep(agentRetention + time.Second)
		sent := n.messages()
		leader.enqueue("agent", &pb.RelayCall{}, nil)
		leader.recordAgent("other", "d", 0)
		time.Sleep(2 * batchDelay)
		is.Equal(n.messages(), sent)
	})
}

// Guards against a call that is made long after its timeout because it was on its way or in a socket for that time, such as that of a
// VM that was suspended: a start may then reach the next incarnation of its worker, when its task already runs elsewhere.
func TestCallThatArrivesLateIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, agentCaller := newLeaderAndAgent(t)
		defer n.close()
		n.mu.Lock()
		n.delay = 6 * time.Second
		n.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		_, err := leader.Start(ctx, dispatch.StartCall{Target: worker})
		is.True(err != nil)
		time.Sleep(10 * time.Second)
		is.Equal(len(agentCaller.recorded()), 0)
	})
}
