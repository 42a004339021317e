package replica

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// changes proposes numbered entries one after the other, whatever the outcome of the one before.
type changes struct {
	cluster      *cluster
	tried        int
	acknowledged []string
	lastAck      time.Time
	longestGap   time.Duration // between two acknowledgements
}

func (p *changes) proposeFor(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
		vm := p.cluster.leader()
		if vm == "" {
			time.Sleep(time.Millisecond)
			continue
		}
		p.tried++
		entry := fmt.Sprint(p.tried)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		_, err := p.cluster.nodes[vm].group.Propose(ctx, []byte(entry))
		cancel()
		if err == nil {
			p.acknowledged = append(p.acknowledged, entry)
			p.longestGap = max(p.longestGap, time.Since(p.lastAck))
			p.lastAck = time.Now()
		}
	}
}

// held reports whether all VMs hold the same entries, the acknowledged ones among them.
func (p *changes) held() bool {
	first := p.cluster.nodes[p.cluster.voters[0]].machine.list()
	for _, n := range p.cluster.nodes {
		if !n.group.Status().Serving || !slices.Equal(n.machine.list(), first) {
			return false
		}
	}
	return !slices.ContainsFunc(p.acknowledged, func(entry string) bool { return !slices.Contains(first, entry) })
}

// Guards against a snapshot of an old state that is stored as if it were new, and a process that ends for it, when a snapshot of the leader
// arrives while a write takes long.
func TestSnapshotArrivesDuringSlowWrite(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, threeVoters)
	c.every = 50
	slow := &atomic.Bool{}
	const follower = "c"
	c.beforeSyncs(follower, func() error {
		for slow.Load() {
			time.Sleep(time.Millisecond)
		}
		return nil
	})
	c.startAll()
	p := &changes{cluster: c, lastAck: time.Now()}
	for range 3 {
		p.proposeFor(100 * time.Millisecond)
		slow.Store(c.leader() != follower)
		p.proposeFor(500 * time.Millisecond)
		slow.Store(false)
		c.eventually("all VMs hold all acknowledged entries", func() bool { return p.held() || len(c.nodes[follower].fatal) > 0 })
		is.Equal(len(c.nodes[follower].fatal), 0)
	}
	c.stop(follower)
	c.start(follower)
	c.eventually("the restarted VM holds all acknowledged entries", p.held)
}
