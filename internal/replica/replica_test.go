package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	threeVoters = []string{"a", "b", "c"}
	twoDisks    = []string{"a", "b"}
)

// Guards against a cluster that does not form, loses entries or applies them in different orders.
func TestClusterCommitsInOrder(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, []string{"d"}, twoDisks)
	c.startAll()
	var want []string
	for i := range 50 {
		want = append(want, fmt.Sprint(i))
		c.propose(want[i])
	}
	c.eventually("all VMs hold 50 entries", func() bool { return c.settled(50) })
	for _, n := range c.nodes {
		is.True(slices.Equal(n.machine.list(), want))
	}
}

// Guards against a lost acknowledged entry and against a stuck replacement when
// a voter without a disk restarts and another voter is lost right after.
func TestMemoryVoterIsReplacedThenSecondLoss(t *testing.T) {
	c := newCluster(t, threeVoters, nil, twoDisks)
	c.startAll()
	c.propose("1")
	for round := range 3 {
		c.stop("c")
		c.propose(fmt.Sprintf("down %d", round))
		restarted := c.start("c")
		c.eventually("the new incarnation of c is the only one of c that votes", func() bool { return c.votesAlone(restarted) })
		lost := twoDisks[round%2]
		c.stop(lost)
		c.propose(fmt.Sprintf("second loss %d", round))
		c.start(lost)
		c.eventually("all voters hold all entries", func() bool { return c.settled(1 + 2*(round+1)) })
	}
}

// votesAlone reports whether the leader's membership has 3 voters, of which n is one.
func (c *cluster) votesAlone(n *node) bool {
	vm := c.leader()
	if vm == "" {
		return false
	}
	s := c.nodes[vm].group.Status()
	return len(s.Voters) == 3 && slices.Contains(s.Voters, n.group.Status().Self)
}

// Guards against lost entries when all processes are lost at once and only the disks survive.
func TestAllProcessesLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, []string{"d"}, twoDisks)
	c.startAll()
	for i := range 20 {
		c.propose(fmt.Sprint(i))
	}
	for _, vm := range []string{"a", "b", "c", "d"} {
		c.stop(vm)
	}
	c.startAll()
	c.propose("after")
	c.eventually("all VMs hold 21 entries", func() bool { return c.settled(21) })
	is.Equal(len(c.nodes["d"].machine.list()), 21)
}

// Guards against a proposal or read barrier that a leader without a quorum confirms.
func TestIsolatedLeaderConfirmsNothing(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, twoDisks)
	c.startAll()
	c.propose("1")
	old := c.leader()
	n := c.nodes[old]
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(n.group.ReadBarrier(ctx))
	c.network.isolate(old, true)
	is.True(n.group.ReadBarrier(ctx) != nil)
	_, err := n.group.Propose(ctx, []byte("lost"))
	is.True(err != nil)
	c.eventually("the isolated leader steps down", func() bool { return n.group.Status().Role != RoleLeader })
	_, err = n.group.Propose(ctx, []byte("lost"))
	is.True(errors.Is(err, ErrNotLeader{}))
	c.propose("2")
	c.network.isolate(old, false)
	c.eventually("all VMs hold 2 entries", func() bool { return c.settled(2) })
}

// Guards against a transfer that loses the leader or does not move it.
func TestTransferLeadership(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, nil)
	c.startAll()
	c.propose("1")
	old := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(c.nodes[old].group.TransferLeadership(ctx))
	is.True(c.leader() != old)
	c.propose("2")
	err := c.nodes[old].group.TransferLeadership(ctx)
	is.True(errors.Is(err, ErrNotLeader{}))
}
