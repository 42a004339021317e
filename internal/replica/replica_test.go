package replica

import (
	"context"
	"errors"
	"fmt"
	"os"
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
	c.eventually("all VMs hold 50 entries", func() bool { return c.allApplied(50) })
	for _, n := range c.nodes {
		is.True(slices.Equal(n.machine.list(), want))
	}
}

// Guards against lost acknowledged entries, and against a VM that does not become
// a voter again, when one VM after another loses its memory or disk and the next
// VM stops right after the new incarnation votes.
func TestSuccessiveDataLoss(t *testing.T) {
	c := newCluster(t, threeVoters, nil, twoDisks)
	c.startAll()
	c.propose("1")
	c.eventually("all VMs hold 1 entry", func() bool { return c.allApplied(1) })
	for i, vm := range []string{"c", "a", "b", "c", "b", "a"} {
		c.stop(vm)
		if folder := c.folders[vm]; folder != "" {
			if err := os.RemoveAll(folder); err != nil {
				t.Fatal(err)
			}
		}
		c.propose(fmt.Sprintf("without %s", vm))
		restarted := c.start(vm)
		c.eventually("the new incarnation is the only one of "+vm+" that votes", func() bool { return c.isOneOfThreeVoters(restarted) })
		if next := twoDisks[i%2]; next != vm {
			c.stop(next)
			c.propose(fmt.Sprintf("without %s", next))
			c.start(next)
		} else {
			c.propose("all run")
		}
		c.eventually("all voters hold all entries", func() bool { return c.allApplied(1 + 2*(i+1)) })
	}
}

// isOneOfThreeVoters reports whether the leader's membership has exactly 3 voters
// and n is one of them. It is false while an earlier incarnation still votes in
// addition to the three.
func (c *cluster) isOneOfThreeVoters(n *node) bool {
	vm := c.leader()
	if vm == "" {
		return false
	}
	s := c.nodes[vm].group.Status()
	return len(s.Voters) == 3 && slices.Contains(s.Voters, n.group.Status().Self)
}

// Guards against lost entries when all processes stop and only the disks of two
// VMs survive.
func TestAllProcessesCrash(t *testing.T) {
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
	c.eventually("all VMs hold 21 entries", func() bool { return c.allApplied(21) })
	is.Equal(len(c.nodes["d"].machine.list()), 21)
}

// Guards against a transfer that leaves the group without a leader or does not
// change the leader.
func TestTransferLeadership(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, nil)
	c.startAll()
	c.propose("1")
	old := c.leader()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(c.nodes[old].host.Drain(ctx))
	is.True(c.leader() != old)
	c.propose("2")
	err := c.nodes[old].group.TransferLeadership(ctx)
	is.True(errors.Is(err, ErrNotLeader{}))
}
