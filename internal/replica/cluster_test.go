package replica

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/wal"
)

// listMachine is a state machine that records the applied entries.
type listMachine struct {
	mu      sync.Mutex
	entries []string
}

func (m *listMachine) Apply(index, _ uint64, entry []byte) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = append(m.entries, string(entry))
	return len(m.entries)
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b bytes.Buffer
	err := gob.NewEncoder(&b).Encode(m.entries)
	return b.Bytes(), err
}

func (m *listMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entries = nil
	return gob.NewDecoder(bytes.NewReader(snapshot)).Decode(&m.entries)
}

func (m *listMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.entries...)
}

// node is one running host of a cluster.
type node struct {
	host    *Host
	group   *Group
	machine *listMachine
	fatal   chan error
}

// cluster runs the VMs of one group on a LocalNetwork.
type cluster struct {
	t        testing.TB
	network  *LocalNetwork
	voters   []string
	learners []string
	folders  map[string]string // data folders of the VMs with a disk
	openFS   map[string]func(string) (wal.FS, error)
	every    uint64              // SnapshotEvery of all hosts
	newState func() StateMachine // replaces listMachine
	open     bool
	contacts []string
	nodes    map[string]*node
}

// newCluster returns a cluster without running VMs. The VMs listed in disks keep
// their state on disk.
func newCluster(t testing.TB, voters, learners, disks []string) *cluster {
	c := &cluster{
		t: t, network: NewLocalNetwork(), voters: voters, learners: learners,
		folders: map[string]string{}, openFS: map[string]func(string) (wal.FS, error){}, nodes: map[string]*node{},
	}
	root := t.TempDir()
	for _, vm := range disks {
		c.folders[vm] = filepath.Join(root, vm)
	}
	t.Cleanup(func() {
		for vm := range c.nodes {
			c.stop(vm)
		}
	})
	return c
}

func (c *cluster) startAll() {
	for _, vm := range append(append([]string(nil), c.voters...), c.learners...) {
		c.start(vm)
	}
}

func (c *cluster) start(vm string) *node {
	c.t.Helper()
	n := &node{machine: &listMachine{}, fatal: make(chan error, 1)}
	host, err := NewHost(HostConfig{
		Clock: sinceStart, // follows the simulated clock in synctest bubbles

		ID: vm, DataFolder: c.folders[vm], Messenger: c.network.Endpoint(vm), Logger: zerolog.Nop(),
		SnapshotEvery: c.every, OnFatal: func(err error) { n.fatal <- err }, openFS: c.openFS[vm],
	})
	if err != nil {
		c.t.Fatalf("start %s: %v", vm, err)
	}
	n.host = host
	var machine StateMachine = n.machine
	if c.newState != nil {
		machine = c.newState()
	}
	n.group, err = host.AddGroup(GroupConfig{Name: "g", Voters: c.voters, Learners: c.learners, Machine: machine, Open: c.open, Contacts: c.contacts})
	if err = errors.Join(err, host.Start()); err != nil {
		c.t.Fatalf("start %s: %v", vm, err)
	}
	c.nodes[vm] = n
	return n
}

// stop closes the host of a VM. Close writes nothing, so it equals a crash that
// loses no synced data.
func (c *cluster) stop(vm string) {
	c.t.Helper()
	n := c.nodes[vm]
	delete(c.nodes, vm)
	if n == nil {
		return
	}
	if err := n.host.Close(); err != nil && !errors.Is(err, wal.ErrFailed) {
		c.t.Errorf("close %s: %v", vm, err)
	}
}

// leader returns a VM that leads and is not isolated, or "".
func (c *cluster) leader() string {
	for vm, n := range c.nodes {
		if n.group.Status().Role == RoleLeader && !c.network.Isolated(vm) {
			return vm
		}
	}
	return ""
}

// propose commits an entry through the leader. It retries only if the entry was
// certainly not committed.
func (c *cluster) propose(entry string) {
	c.t.Helper()
	limit := time.Now().Add(20 * time.Second)
	for time.Now().Before(limit) {
		vm := c.leader()
		if vm == "" {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := c.nodes[vm].group.Propose(ctx, []byte(entry))
		cancel()
		switch {
		case err == nil:
			return
		case errors.Is(err, ErrOutcomeUnknown):
			c.t.Fatalf("propose %q on %s: %v", entry, vm, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	c.t.Fatalf("propose %q: no leader accepted it within 20 s", entry)
}

// eventually waits until the condition holds. After 20 s it fails the test with
// the description.
func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	limit := time.Now().Add(20 * time.Second)
	for !condition() {
		if time.Now().After(limit) {
			for vm, n := range c.nodes {
				c.t.Logf("%s: %+v", vm, n.group.Status())
			}
			c.t.Fatalf("not within 20 s: %s", what)
		}
		time.Sleep(500 * time.Microsecond)
	}
}

// allApplied reports whether every running VM has applied the given number of
// entries and serves the state of the group.
func (c *cluster) allApplied(entries int) bool {
	for _, n := range c.nodes {
		if len(n.machine.list()) != entries || !n.group.Status().Serving {
			return false
		}
	}
	return true
}

var clusterStart = time.Now()

// sinceStart is the clock of all hosts.
func sinceStart() time.Duration { return time.Since(clusterStart) }
