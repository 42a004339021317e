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

// network carries messages between relays and may cut one off.
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

type port struct {
	network *network
	from    string
}

func (p port) Send(to, _ string, payload []byte) {
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

// caller notes the calls that one VM makes.
type caller struct {
	mu    sync.Mutex
	calls []string
	err   error
}

func (c *caller) note(format string, args ...any) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, fmt.Sprintf(format, args...))
	return 77, c.err
}

func (c *caller) Start(_ context.Context, s dispatch.StartCall) (int64, error) {
	return c.note("start %v %d %q %q until %d ticket %q at %s life %v fence %d", s.Task, s.Attempt, s.Payload, s.Checkpoint, s.LeaseUntilMs, s.Ticket, s.Address, s.Incarnation, s.Fence)
}

func (c *caller) Stop(_ context.Context, s dispatch.StopCall) (int64, error) {
	return c.note("stop %v %d", s.Task, s.Attempt)
}

func (c *caller) Throttle(_ context.Context, s dispatch.ThrottleCall) (int64, error) {
	return c.note("throttle %v %d %d", s.Task, s.Attempt, s.Percent)
}

func (c *caller) Hold(_ context.Context, h dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	_, err := c.note("hold until %d seen %d wait %d", h.LeaseUntilMs, h.SeenEnd, h.WaitMs)
	if err != nil {
		return dispatch.HoldAnswer{}, err
	}
	ref := submission.Ref{Submission: "s", Occurrence: 1, Step: 2, Index: 3}
	return dispatch.HoldAnswer{ClockMs: 77, BornUnixMs: 9,
		Running: []dispatch.Running{{Task: ref, Attempt: 4, Checkpoint: "c", Percent: 12.5, Figure: 3}},
		Ended:   []dispatch.Ended{{Number: 8, Task: ref, Attempt: 3, Kind: pb.TaskEndKind_TASK_END_KIND_DONE, Checkpoint: "d"}}}, nil
}

func (c *caller) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

func (c *caller) made() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.calls...)
}

// pair is a leader and one agent in the domain of the worker.
func pair(t *testing.T) (*network, *Relay, *caller, *caller) {
	n := &network{relays: map[string]*Relay{}, cut: map[string]bool{}, delay: time.Millisecond}
	begin := time.Now()
	callers := map[string]*caller{}
	for _, id := range []string{"leader", "agent"} {
		callers[id] = &caller{}
		n.relays[id] = New(Config{ID: id, FailureDomain: "d", Local: callers[id], Messenger: port{n, id}, Logger: zerolog.Nop(),
			Spread: func() bool { return true }, Clock: func() time.Duration { return time.Since(begin) + time.Hour }})
	}
	n.relays["agent"].Announce("leader")
	time.Sleep(50 * time.Millisecond)
	return n, n.relays["leader"], callers["leader"], callers["agent"]
}

func (n *network) close() {
	for _, r := range n.relays {
		r.Close()
	}
	time.Sleep(time.Second) // timers of batches
}

// forget drops what the relay knows of failed calls.
func (r *Relay) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.detours)
}

var worker = dispatch.Target{Incarnation: submission.Incarnation{ID: "w", BornUnixMs: 9}, Address: "10.0.0.1:80", FailureDomain: "d", Fence: 6}

// Guards against calls that arrive changed, and answers that lose what the leader decides by.
func TestAgentMakesTheLeadersCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, own, agents := pair(t)
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
		direct, _ := (&caller{}).Hold(ctx, dispatch.HoldCall{})
		is.Equal(answer, direct)
		is.Equal(own.made(), nil)
		is.Equal(agents.made(), []string{
			`start {s 1 2 3} 4 "p" "c" until 99 ticket "t" at 10.0.0.1:80 life {w 9} fence 6`,
			"stop {s 1 2 3} 4", "throttle {s 1 2 3} 4 30", "hold until 100 seen 7 wait 500"})
	})
}

// Guards against refusals that turn into something else on the way: each must reach the leader as what it is.
func TestOutcomesSurviveTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, agents := pair(t)
		defer n.close()
		for _, want := range outcomes {
			agents.fail(want)
			leader.forget()
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			_, err := leader.Stop(ctx, dispatch.StopCall{Target: worker})
			cancel()
			is.True(errors.Is(err, want))
		}
		agents.fail(errors.New("something new"))
		leader.forget()
		_, err := leader.Stop(t.Context(), dispatch.StopCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer)) // may have been carried out
	})
}

// Guards against workers that are lost because the agent between them and the leader is: the next call goes another way.
func TestSilentAgentIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, own, _ := pair(t)
		defer n.close()
		n.mu.Lock()
		n.cut["agent"] = true
		n.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := leader.Hold(ctx, dispatch.HoldCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer))
		_, err = leader.Hold(t.Context(), dispatch.HoldCall{Target: worker})
		is.NoErr(err)
		is.Equal(len(own.made()), 1)
	})
}

// Guards against a worker that stays unreachable because its agent alone is cut off from it.
func TestWorkerThatAnAgentDoesNotReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, own, agents := pair(t)
		defer n.close()
		agents.fail(dispatch.ErrNoAnswer)
		_, err := leader.Hold(t.Context(), dispatch.HoldCall{Target: worker})
		is.True(errors.Is(err, dispatch.ErrNoAnswer))
		_, err = leader.Hold(t.Context(), dispatch.HoldCall{Target: worker})
		is.NoErr(err)
		is.Equal(len(own.made()), 1)
	})
}

// Guards against an order that an agent carries out after its time, for instance when it wakes from a suspension: a share
// that was raised since would be lowered again.
func TestCallWhoseTimeIsOverIsNotMade(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, _, _, agents := pair(t)
		defer n.close()
		agent := n.relays["agent"]
		agent.perform("leader", &pb.RelayCall{Id: 1, TimeoutMs: 300, Call: &pb.RelayCall_Throttle{Throttle: &pb.RelayThrottle{Percent: 10}}},
			agent.cfg.Clock()-400*time.Millisecond)
		is.Equal(agents.made(), nil)
	})
}

// Guards against an answer that reaches another process of the leader's VM, where the number stands for another call.
func TestAnswerToAFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, _ := pair(t)
		defer n.close()
		done := make(chan *pb.RelayAnswer, 1)
		leader.mu.Lock()
		leader.waiting[5] = done
		leader.mu.Unlock()
		leader.answered(&pb.RelayAnswer{Id: 5, Process: leader.process + 1})
		is.Equal(len(done), 0)
		leader.answered(&pb.RelayAnswer{Id: 5, Process: leader.process})
		is.Equal(len(done), 1)
	})
}

// Guards against one message for each call: a plan for hundreds of workers makes hundreds of calls at once.
func TestCallsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, agents := pair(t)
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
		is.Equal(len(agents.made()), 200)
		is.True(n.messages()-before <= 8) // messages there and back
	})
}

// Guards against uneven shares, calls across domains while the own one has agents, and a leader that loses its workers
// when all agents are gone.
func TestChoose(t *testing.T) {
	is := is.New(t)
	agents := []Agent{{"a1", "a"}, {"a2", "a"}, {"b1", "b"}}
	share := map[string]int{}
	for i := range 1000 {
		share[Choose(agents, fmt.Sprint("w", i), "a", 0)]++
	}
	is.Equal(share["a1"]+share["a2"], 1000)
	is.True(share["a1"] > 400 && share["a2"] > 400)
	is.Equal(Choose(agents, "w", "a", 2), "") // after both agents of the domain the leader
	is.Equal(Choose(agents, "w", "a", 3), "b1")
	is.Equal(Choose(agents, "w", "c", 3), "") // no agent in the domain: the others, then the leader
	is.Equal(Choose(nil, "w", "a", 5), "")
	is.Equal(Choose(agents, "w", "a", 1), Choose([]Agent{agents[2], agents[1], agents[0]}, "w", "a", 1)) // whatever the order
}

// blockingCaller keeps holds until they time out, as a worker on which nothing ends.
type blockingCaller struct {
	caller
	holds atomic.Int64
}

func (c *blockingCaller) Hold(ctx context.Context, _ dispatch.HoldCall) (dispatch.HoldAnswer, error) {
	c.holds.Add(1)
	<-ctx.Done()
	return dispatch.HoldAnswer{}, dispatch.ErrNoAnswer
}

// Guards against calls that wait behind the long polls of an agent's other workers. In a domain with one agent beside the
// leader that agent has a third of 3,000 workers; its calls were too late, and each moved its worker to another agent
// (fleetbench sweep at 300 VMs: 558 new connections a second on each control VM).
func TestAgentMakesLongPollsOfAllItsWorkersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, _, _ := pair(t)
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

// Guards against workers that change their agent because it is late once, and against ones that never come back to the
// agent of their domain.
func TestWayToAWorkerIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, leader, own, agents := pair(t)
		defer n.close()
		call := func(within time.Duration) {
			ctx, cancel := context.WithTimeout(t.Context(), within)
			defer cancel()
			_, _ = leader.Stop(ctx, dispatch.StopCall{Target: worker})
		}
		stop := make(chan struct{})
		defer close(stop)
		go func() { // the agent is heard all the time
			for {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
					n.relays["agent"].Announce("leader")
				}
			}
		}()
		call(15 * time.Millisecond) // too short for the way there and back
		call(time.Second)
		is.Equal(len(own.made()), 0)
		agents.fail(dispatch.ErrNoAnswer)
		call(time.Second)
		call(time.Second)
		is.Equal(len(own.made()), 1)
		time.Sleep(detourFor + time.Second)
		before := len(agents.made())
		call(time.Second)
		is.Equal(len(agents.made()), before+1)
	})
}
