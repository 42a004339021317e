package replica

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The tests in this file run on a simulated clock, so that load on the machine
// does not affect their time limits.

// Guards against an outage of 1 s or more after the leader crashes.
func TestNextCommitAfterLeaderCrash(t *testing.T) {
	var longest time.Duration
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, threeVoters, nil, nil)
			c.startAll()
			c.propose("1")
			c.stop(c.leader())
			crashed := time.Now()
			c.propose("2")
			took := time.Since(crashed)
			longest = max(longest, took)
			if took >= time.Second {
				t.Errorf("next commit %v after the leader crashed", took)
			}
		})
	}
	t.Log("longest of 100:", longest)
}

// Guards against a leader that keeps its role without a quorum for longer than an election timeout.
func TestLeaderStepsDownWithinElectionTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeVoters, nil, nil)
		c.startAll()
		c.propose("1")
		n := c.nodes[c.leader()]
		c.network.Isolate(c.leader(), true)
		cut := time.Now()
		c.eventually("the leader steps down", func() bool { return n.group.Status().Role != RoleLeader })
		// Beyond the election timeout: one tick for the resolution of the clock,
		// and time for the last answer on its way when the leader was isolated.
		if took := time.Since(cut); took > DefaultElection+DefaultHeartbeat {
			t.Errorf("stepped down after %v", took)
		}
	})
}

// Guards against a frozen leader that, once resumed, confirms reads or
// proposals although another leader has been elected.
func TestFrozenLeaderResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, threeVoters, nil, nil)
		c.startAll()
		c.propose("1")
		old := c.leader()
		n := c.nodes[old]
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		go n.host.Do(func() { time.Sleep(5 * time.Second) })
		time.Sleep(time.Second)
		c.network.Isolate(old, true) // propose must not choose the frozen leader
		c.propose("2")
		c.network.Isolate(old, false)
		read := make(chan error, 1)
		go func() { read <- n.group.ReadBarrier(ctx) }()
		_, err := n.group.Propose(ctx, []byte("3"))
		is.True(err != nil)
		is.True(<-read != nil)
		c.eventually("all VMs hold 2 entries", func() bool { return c.allApplied(2) })
	})
}

// Guards against a leader without a quorum that confirms a read or a proposal,
// and against a wrong error: ErrNotCommitted for a proposal that was overwritten,
// ErrOutcomeUnknown for one that may still be committed.
func TestOutcomesOfAnIsolatedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, threeVoters, nil, nil)
		c.startAll()
		c.propose("1")
		old := c.leader()
		n := c.nodes[old]
		is.NoErr(n.group.ReadBarrier(context.Background()))
		c.network.Isolate(old, true)
		read := make(chan error, 1)
		go func() { read <- n.group.ReadBarrier(context.Background()) }()
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		short, cancelShort := context.WithTimeout(ctx, 100*time.Millisecond)
		defer cancelShort()
		overwritten := make(chan error, 1)
		go func() {
			_, err := n.group.Propose(ctx, []byte("lost"))
			overwritten <- err
		}()
		_, err := n.group.Propose(short, []byte("lost too"))
		is.True(errors.Is(err, ErrOutcomeUnknown))
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.True(errors.Is(<-read, ErrNotLeader{}))
		time.Sleep(900 * time.Millisecond)
		_, err = n.group.Propose(ctx, []byte("refused"))
		is.True(errors.Is(err, ErrNotLeader{}))
		c.propose("2")
		c.network.Isolate(old, false)
		is.True(errors.Is(<-overwritten, ErrNotCommitted))
		c.eventually("all VMs hold 2 entries", func() bool { return c.allApplied(2) })
	})
}

// Guards against a call that hangs, or has an effect, if its context ends or the
// host stops before the control goroutine carries it out.
func TestUnprocessedCallsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, []string{"a"}, nil, nil)
		c.startAll()
		c.propose("1")
		n := c.nodes["a"]
		go n.host.Do(func() { time.Sleep(time.Second) })
		synctest.Wait()
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_, err := n.group.Propose(ctx, []byte("2"))
		is.True(errors.Is(err, ErrNotCommitted))
		time.Sleep(2 * time.Second)
		is.Equal(len(n.machine.list()), 1)
		is.NoErr(n.group.ReadBarrier(context.Background()))
		c.stop("a")
		_, err = n.group.Propose(context.Background(), []byte("3"))
		is.True(errors.Is(err, ErrStopped))
		n.host.Do(func() { t.Error("ran after Close") })
	})
}

// Guards against VMs that bootstrap the group while one of the initial voters is
// missing, and against a restarted VM without state that bootstraps it again.
func TestNoBootstrapWithoutAllInitialVoters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, threeVoters, nil, nil)
		c.start("a")
		c.start("b")
		time.Sleep(10 * time.Second)
		is.Equal(c.leader(), "")
		is.Equal(len(c.nodes["a"].group.Status().Voters), 0)
		c.start("c")
		c.propose("1")
		c.stop("a")
		c.start("a") // without its state, which the other VMs hold
		c.eventually("a is a voter again", func() bool { return c.isOneOfThreeVoters(c.nodes["a"]) })
		c.propose("2")
		c.eventually("all VMs hold 2 entries", func() bool { return c.allApplied(2) })
	})
}

// Guards against WaitApplied on a learner that returns before the entry is applied
// there, or that never returns.
func TestWaitApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t, threeVoters, []string{"d"}, nil)
		c.startAll()
		c.propose("1")
		c.eventually("all VMs hold 1 entry", func() bool { return c.allApplied(1) })
		d := c.nodes["d"]
		index := c.nodes[c.leader()].group.Status().Commit + 1
		short, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		is.True(errors.Is(d.group.WaitApplied(short, index), context.DeadlineExceeded))
		go c.propose("2")
		is.NoErr(d.group.WaitApplied(context.Background(), index))
		is.Equal(len(d.machine.list()), 2)
	})
}

// Guards against a VM that cannot be replaced by a VM with another id, and against
// the removal of a voter before its replacement votes.
func TestVoterListChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, threeVoters, nil, nil)
		c.startAll()
		c.propose("1")
		c.voters = []string{"a", "b", "d"}
		for _, vm := range []string{"a", "b"} { // restarted with the new list, one after the other
			c.stop(vm)
			n := c.start(vm)
			c.eventually(vm+" votes again", func() bool { return c.isOneOfThreeVoters(n) })
		}
		c.stop("c")
		c.propose("2")
		time.Sleep(time.Minute)
		if s := c.nodes[c.leader()].group.Status(); len(s.Voters) != 3 {
			t.Errorf("voters without a replacement: %v", s.Voters)
		}
		d := c.start("d")
		c.eventually("d replaces c", func() bool { return c.isOneOfThreeVoters(d) })
		c.stop("a")
		c.propose("3")
		c.eventually("all VMs hold 3 entries", func() bool { return c.allApplied(3) })
	})
}
