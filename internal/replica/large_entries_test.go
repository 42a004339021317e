package replica

import (
	"encoding/binary"
	"strings"
	"sync/atomic"
	"testing"
)

// countMachine counts its entries, so that its snapshots stay small.
type countMachine struct{ entries atomic.Uint64 }

func (m *countMachine) Apply(uint64, uint64, []byte) any { return m.entries.Add(1) }
func (m *countMachine) Snapshot() ([]byte, error) {
	return binary.LittleEndian.AppendUint64(nil, m.entries.Load()), nil
}
func (m *countMachine) Restore(snapshot []byte) error {
	m.entries.Store(binary.LittleEndian.Uint64(snapshot))
	return nil
}

// Guards against a log of few large entries that uses up the memory and the disk.
func TestLargeEntriesAreCompacted(t *testing.T) {
	const entries, entryBytes = 120, 1 << 20
	c := newCluster(t, []string{"a"}, nil, []string{"a"})
	machine := &countMachine{}
	c.newState = func() StateMachine { return machine }
	c.startAll()
	entry := strings.Repeat("x", entryBytes)
	for range entries {
		c.propose(entry)
	}
	c.eventually("the log is compacted", func() bool {
		_, log := folderSize(t, c.folders["a"])
		return log < 3*DefaultSnapshotBytes
	})
	c.stop("a")
	machine = &countMachine{}
	c.start("a")
	c.eventually("all entries are known after a restart", func() bool { return machine.entries.Load() == entries })
}
