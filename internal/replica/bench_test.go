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

// change has the size of a small task record.
var change = []byte(strings.Repeat("c", 200))

func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// commits runs proposers for a time and returns commits a second and the p99 of their latency.
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
				_, err := g.Propose(context.Background(), bytes.Clone(change))
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

// BenchmarkCommits compares batching with one sync for each commit: 64
// proposers at once, and the same proposers taking turns. Three voters, all with disks.
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

// BenchmarkLeaderDeath measures the time from the end of the leader's process to the next commit.
func BenchmarkLeaderDeath(b *testing.B) {
	c := newCluster(b, threeVoters, nil, threeVoters)
	c.startAll()
	var times []time.Duration
	for b.Loop() {
		c.propose("before")
		leader := c.leader()
		c.eventually("all VMs follow", func() bool { return c.allFollow(leader) })
		c.stop(leader)
		died := time.Now()
		c.propose("after")
		times = append(times, time.Since(died))
		c.start(leader)
	}
	slices.Sort(times)
	b.ReportMetric(float64(percentile(times, 0.5).Milliseconds()), "p50-ms")
	b.ReportMetric(float64(percentile(times, 0.99).Milliseconds()), "p99-ms")
	b.ReportMetric(float64(times[len(times)-1].Milliseconds()), "max-ms")
}

func (c *cluster) allFollow(leader string) bool {
	for _, n := range c.nodes {
		if s := n.group.Status(); s.Leader != leader || !s.Confirmed {
			return false
		}
	}
	return len(c.nodes) == len(c.voters)
}

// startTable starts a host with a table machine.
func startTable(b *testing.B, net *LocalNetwork, vm, folder string, learners []string, every uint64) (*Host, *Group) {
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

// proposeMany commits changes with 64 proposers.
func proposeMany(b *testing.B, g *Group, count int) {
	b.Helper()
	(&cluster{t: b}).eventually("state is reached", func() bool { return g.Status().Role == RoleLeader })
	var wg sync.WaitGroup
	for p := range 64 {
		wg.Go(func() {
			for i := p; i < count; i += 64 {
				if _, err := g.Propose(context.Background(), bytes.Clone(change)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

const recoveredChanges = 10_000

// BenchmarkRestart measures the restart of a VM with a disk that holds 10,000
// changes of 200 bytes, up to the end of their application.
func BenchmarkRestart(b *testing.B) {
	for name, every := range map[string]uint64{"snapshot": recoveredChanges / 4, "log-only": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			folder := b.TempDir()
			net := NewLocalNetwork()
			host, g := startTable(b, net, "a", folder, nil, every)
			proposeMany(b, g, recoveredChanges)
			applied := g.Status().Applied
			stop(b, host)
			snapshots, segments := folderSize(b, folder)
			var opening time.Duration
			for b.Loop() {
				began := time.Now()
				host, g := startTable(b, net, "a", folder, nil, 1<<40)
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

// BenchmarkCatchUp measures how long a learner that holds nothing takes to hold
// 10,000 changes of 200 bytes, and the bytes sent to it.
func BenchmarkCatchUp(b *testing.B) {
	for name, every := range map[string]uint64{"snapshot": recoveredChanges / 4, "log-only": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			net := NewLocalNetwork()
			voter, g := startTable(b, net, "a", b.TempDir(), []string{"d"}, every)
			defer func() { stop(b, voter) }()
			proposeMany(b, g, recoveredChanges)
			sent := int64(0)
			for b.Loop() {
				_, before := net.Sent("a")
				learner, l := startTable(b, net, "d", "", []string{"d"}, 1<<40)
				(&cluster{t: b}).eventually("state is reached", func() bool { return l.Status().Serving && l.Status().Applied >= g.Status().Applied })
				_, after := net.Sent("a")
				sent = after - before
				b.StopTimer()
				stop(b, learner)
				time.Sleep(2 * DefaultElection) // until then the leader takes the next incarnation's request for a late one
				b.StartTimer()
			}
			b.ReportMetric(float64(sent), "bytes")
		})
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkIdle measures processor time and traffic of a group without
// proposals, for groups of 3 voters and 0, 4 and 17 learners. Figures are
// averages for each VM, except those of the leader, which sends the most.
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
			c.eventually("all VMs hold the entry", func() bool { return c.settled(1) })
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

// sent returns what the VMs sent so far together.
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

// BenchmarkSize measures heap and disk of one VM for logs of several lengths since the last snapshot.
func BenchmarkSize(b *testing.B) {
	for _, entries := range []int{1000, 10_000, 50_000, 100_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				folder := b.TempDir()
				before := heapBytes()
				host, g := startTable(b, NewLocalNetwork(), "a", folder, nil, 1<<40)
				proposeMany(b, g, entries)
				_, segments := folderSize(b, folder)
				b.ReportMetric(float64(heapBytes()-before)/float64(entries), "heap-bytes/entry")
				b.ReportMetric(float64(segments)/float64(entries), "disk-bytes/entry")
				stop(b, host)
			}
		})
	}
}
