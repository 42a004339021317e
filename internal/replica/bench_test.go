package replica

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// tableMachine keeps the latest value of each of 1000 keys, so that its
// snapshot stays smaller than a long log.
type tableMachine struct{ values map[uint64][]byte }

const tableKeys = 1000

func (m *tableMachine) Apply(index, _ uint64, entry []byte) any {
	m.values[index%tableKeys] = entry
	return nil
}

func (m *tableMachine) Snapshot() ([]byte, error) {
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(m.values)
	return b.Bytes(), err
}

func (m *tableMachine) Restore(snapshot []byte) error {
	m.values = map[uint64][]byte{}
	return gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&m.values)
}

// testEntry has the size of a small task record.
var testEntry = []byte(strings.Repeat("c", 200))

// percentile returns the value below which the given share of the sorted values lies.
func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// commits runs the given number of proposers for a duration and returns the
// commits per second and the 99th percentile of their latency. With oneByOne,
// only one proposal is in progress at any time.
func commits(b *testing.B, g *Group, proposers int, oneByOne bool, duration time.Duration) (float64, time.Duration) {
	var mu, turn sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	start := time.Now()
	for range proposers {
		wg.Go(func() {
			var own []time.Duration
			for time.Since(start) < duration {
				began := time.Now()
				if oneByOne {
					turn.Lock()
				}
				_, err := g.Propose(context.Background(), bytes.Clone(testEntry))
				if oneByOne {
					turn.Unlock()
				}
				if err != nil {
					b.Error(err)
					return
				}
				own = append(own, time.Since(began))
			}
			mu.Lock()
			latencies = append(latencies, own...)
			mu.Unlock()
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return float64(len(latencies)) / time.Since(start).Seconds(), percentile(latencies, 0.99)
}

// BenchmarkCommits compares batched commits with one sync per commit. 64
// proposers run concurrently, and then one at a time. The group has three voters,
// all with disks.
func BenchmarkCommits(b *testing.B) {
	c := newCluster(b, threeVoters, nil, threeVoters)
	c.newState = func() StateMachine { return &tableMachine{values: map[uint64][]byte{}} }
	c.startAll()
	c.propose("1")
	g := c.nodes[c.leader()].group
	for b.Loop() {
		batched, batchedP99 := commits(b, g, 64, false, 2*time.Second)
		single, singleP99 := commits(b, g, 64, true, 2*time.Second)
		_, loneP99 := commits(b, g, 1, false, time.Second)
		b.ReportMetric(batched, "batched-commits/s")
		b.ReportMetric(single, "single-commits/s")
		b.ReportMetric(batched/single, "ratio")
		b.ReportMetric(float64(batchedP99.Microseconds())/1000, "batched-p99-ms")
		b.ReportMetric(float64(singleP99.Microseconds())/1000, "single-p99-ms")
		b.ReportMetric(float64(loneP99.Microseconds())/1000, "lone-proposer-p99-ms")
	}
}

// BenchmarkLeaderCrash measures the time from the stop of the leader to the next
// commit.
func BenchmarkLeaderCrash(b *testing.B) {
	c := newCluster(b, threeVoters, nil, threeVoters)
	c.startAll()
	var times []time.Duration
	for b.Loop() {
		c.propose("before")
		leader := c.leader()
		c.eventually("all VMs follow", func() bool { return c.allFollow(leader) })
		c.stop(leader)
		stopped := time.Now()
		c.propose("after")
		times = append(times, time.Since(stopped))
		c.start(leader)
	}
	slices.Sort(times)
	b.ReportMetric(float64(percentile(times, 0.5).Milliseconds()), "p50-ms")
	b.ReportMetric(float64(percentile(times, 0.99).Milliseconds()), "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

// allFollow reports whether all VMs run, know the leader and have their disk confirmed.
func (c *cluster) allFollow(leader string) bool {
	for _, n := range c.nodes {
		if s := n.group.Status(); s.Leader != leader || !s.Confirmed {
			return false
		}
	}
	return len(c.nodes) == len(c.voters)
}

// startTableHost starts a host with a tableMachine.
func startTableHost(b *testing.B, net *LocalNetwork, vm, folder string, learners []string, every uint64) (*Host, *Group) {
	b.Helper()
	host, err := NewHost(HostConfig{ID: vm, DataFolder: folder, Messenger: net.Endpoint(vm), Logger: zerolog.Nop(), SnapshotEvery: every})
	if err != nil {
		b.Fatal(err)
	}
	g, err := host.AddGroup(GroupConfig{Name: "g", Voters: []string{"a"}, Learners: learners, Machine: &tableMachine{values: map[uint64][]byte{}}})
	if err = errors.Join(err, host.Start()); err != nil {
		b.Fatal(err)
	}
	return host, g
}

// proposeMany commits count entries with 64 concurrent proposers.
func proposeMany(b *testing.B, g *Group, count int) {
	b.Helper()
	(&cluster{t: b}).eventually("state is reached", func() bool { return g.Status().Role == RoleLeader })
	var wg sync.WaitGroup
	for p := range 64 {
		wg.Go(func() {
			for i := p; i < count; i += 64 {
				if _, err := g.Propose(context.Background(), bytes.Clone(testEntry)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

const recoveredEntries = 10_000

// BenchmarkRestart measures the restart of a VM whose disk holds 10,000 entries
// of 200 bytes, until all of them are applied.
func BenchmarkRestart(b *testing.B) {
	for name, every := range map[string]uint64{"snapshot": recoveredEntries / 4, "log-only": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			folder := b.TempDir()
			net := NewLocalNetwork()
			host, g := startTableHost(b, net, "a", folder, nil, every)
			proposeMany(b, g, recoveredEntries)
			applied := g.Status().Applied
			stop(b, host)
			snapshots, segments := folderSize(b, folder)
			var opening time.Duration
			for b.Loop() {
				began := time.Now()
				host, g := startTableHost(b, net, "a", folder, nil, 1<<40)
				opening += time.Since(began)
				(&cluster{t: b}).eventually("state is reached", func() bool { return g.Status().Applied >= applied })
				b.StopTimer()
				stop(b, host)
				b.StartTimer()
			}
			b.ReportMetric(float64(opening.Microseconds())/1000/float64(b.N), "open-ms")
			b.ReportMetric(float64(snapshots), "snapshot-bytes")
			b.ReportMetric(float64(segments), "log-bytes")
		})
	}
}

func stop(b *testing.B, host *Host) {
	b.Helper()
	if err := host.Close(); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkCatchUp measures how long a learner without state takes to catch up
// with 10,000 entries of 200 bytes, and the bytes that the leader sends.
func BenchmarkCatchUp(b *testing.B) {
	for name, every := range map[string]uint64{"snapshot": recoveredEntries / 4, "log-only": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			net := NewLocalNetwork()
			voter, g := startTableHost(b, net, "a", b.TempDir(), []string{"d"}, every)
			defer func() { stop(b, voter) }()
			proposeMany(b, g, recoveredEntries)
			sent := int64(0)
			for b.Loop() {
				_, before := net.Sent("a")
				learner, l := startTableHost(b, net, "d", "", []string{"d"}, 1<<40)
				(&cluster{t: b}).eventually("state is reached", func() bool { return l.Status().Serving && l.Status().Applied >= g.Status().Applied })
				_, after := net.Sent("a")
				sent = after - before
				b.StopTimer()
				stop(b, learner)
				time.Sleep(2 * DefaultElection) // until then the leader treats a join request of the next incarnation as outdated
				b.StartTimer()
			}
			b.ReportMetric(float64(sent), "bytes")
		})
	}
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdle measures processor time and traffic of groups without proposals,
// with 3 voters and 0, 4 and 17 learners. The metrics are averages per VM, except
// leader-bytes/s: the leader sends the most.
func BenchmarkIdle(b *testing.B) {
	for _, learners := range []int{0, 4, 17} {
		b.Run(fmt.Sprintf("voters=3/learners=%d", learners), func(b *testing.B) {
			var ids []string
			for i := range learners {
				ids = append(ids, fmt.Sprintf("learner-%d", i))
			}
			c := newCluster(b, threeVoters, ids, nil)
			c.startAll()
			c.propose("1")
			c.eventually("all VMs hold the entry", func() bool { return c.allApplied(1) })
			const duration = 5 * time.Second
			for b.Loop() {
				cpu := processorTime()
				messages, bytes := c.sent(slices.Collect(maps.Keys(c.nodes))...)
				_, leader := c.sent(c.leader())
				time.Sleep(duration)
				messagesAfter, bytesAfter := c.sent(slices.Collect(maps.Keys(c.nodes))...)
				_, leaderAfter := c.sent(c.leader())
				perVM := duration.Seconds() * float64(len(c.nodes))
				b.ReportMetric(100*(processorTime()-cpu).Seconds()/perVM, "core-%/VM")
				b.ReportMetric(float64(bytesAfter-bytes)/perVM, "bytes/s/VM")
				b.ReportMetric(float64(messagesAfter-messages)/perVM, "messages/s/VM")
				b.ReportMetric(float64(leaderAfter-leader)/duration.Seconds(), "leader-bytes/s")
			}
		})
	}
}

// sent returns the total number of messages and bytes that the VMs have sent so
// far.
func (c *cluster) sent(vms ...string) (messages, bytes int64) {
	for _, vm := range vms {
		m, b := c.network.Sent(vm)
		messages, bytes = messages+m, bytes+b
	}
	return messages, bytes
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkSize measures heap and disk usage per entry on one VM, for several
// numbers of entries since the last snapshot.
func BenchmarkSize(b *testing.B) {
	for _, entries := range []int{1000, 10_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				folder := b.TempDir()
				before := heapBytes()
				host, g := startTableHost(b, NewLocalNetwork(), "a", folder, nil, 1<<40)
				proposeMany(b, g, entries)
				_, segments := folderSize(b, folder)
				b.ReportMetric(float64(heapBytes()-before)/float64(entries), "heap-bytes/entry")
				b.ReportMetric(float64(segments)/float64(entries), "disk-bytes/entry")
				stop(b, host)
			}
		})
	}
}
