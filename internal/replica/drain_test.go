package replica

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// newSlowDiskCluster returns a running cluster of three voters, and by how many nanoseconds the syncs of each disk are delayed.
func newSlowDiskCluster(t *testing.T) (*cluster, map[string]*atomic.Int64) {
	c := newCluster(t, threeVoters, nil, threeVoters)
	delays := map[string]*atomic.Int64{}
	for _, vm := range threeVoters {
		delay := &atomic.Int64{}
		delays[vm] = delay
		c.beforeSyncs(vm, func() error {
			time.Sleep(time.Duration(delay.Load()))
			return nil
		})
	}
	c.startAll()
	c.propose("1")
	c.eventually("all VMs hold 1 entry", func() bool { return c.allApplied(1) })
	return c, delays
}

// Guards against a planned stop that leaves the outcome of a proposal unknown: the leader handed over as soon as one voter held
// the entry, and closed before the entry was committed (two slow disks of three).
func TestDrainWaitsForTheOutcomesOfProposals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c, delays := newSlowDiskCluster(t)
		old := c.leader()
		delays[old].Store(int64(DefaultElection / 2))
		for _, vm := range threeVoters {
			if vm != old {
				delays[vm].Store(int64(DefaultElection / 2))
				break
			}
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		n, proposed := c.nodes[old], make(chan error, 1)
		go func() {
			_, err := n.group.Propose(ctx, []byte("2"))
			proposed <- err
		}()
		synctest.Wait()
		is.NoErr(n.host.Drain(ctx))
		c.stop(old)
		is.NoErr(<-proposed)
		c.eventually("the others hold 2 entries", func() bool { return c.allApplied(2) })
	})
}
