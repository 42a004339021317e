package replica

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/raft"
	"github.com/lentilyard/lentilyard/internal/wal"
)

var tenEntries = func() (entries []*pb.RaftEntry) {
	for i := range uint64(10) {
		entries = append(entries, &pb.RaftEntry{Index: i + 1, Term: 1})
	}
	return entries
}()

// reopen opens the storage in a folder as a new process does.
func reopen(t *testing.T, folder string) (*diskStorage, *recoveredState) {
	t.Helper()
	fs, err := wal.OpenFolder(folder)
	if err != nil {
		t.Fatal(err)
	}
	s, state, err := openDisk(fs, false, nil)
	if err != nil {
		t.Fatal(err)
	}
	return s, state
}

// writeSync writes r and waits for the sync.
func writeSync(t *testing.T, s *diskStorage, r raft.Ready) {
	t.Helper()
	r.Write = 1
	done := make(chan error)
	s.write(r, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

// Guards against log entries that are recovered although a snapshot of the
// leader replaced them.
func TestInstalledSnapshotVoidsLog(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "log")
	s, _ := reopen(t, folder)
	writeSync(t, s, raft.Ready{HardState: &pb.RaftHardState{Term: 1}, Entries: tenEntries})
	writeSync(t, s, raft.Ready{HardState: &pb.RaftHardState{Term: 2}, Snapshot: &pb.RaftSnapshot{Index: 5, Term: 2}})
	is.NoErr(s.close())
	s, state := reopen(t, folder)
	is.Equal(state.snapshot.GetIndex(), uint64(5))
	is.Equal(len(state.entries), 0)
	is.Equal(state.hardState.GetTerm(), uint64(2))
	is.NoErr(s.close())
}

// Guards against state of a discarded incarnation that is recovered when the
// process crashes after the new identity is written and before the old files are
// removed.
func TestInterruptedRestartDiscards(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "log")
	s, first := reopen(t, folder)
	writeSync(t, s, raft.Ready{HardState: &pb.RaftHardState{Term: 7}, Entries: tenEntries})
	is.NoErr(s.saveSnapshotNow(&pb.RaftSnapshot{Index: 4, Term: 1}))
	fresh := newIdentity()
	is.NoErr(s.log.Append(encodeRecord(0, &pb.RaftRecord{Identity: fresh})))
	is.NoErr(s.close())
	s, state := reopen(t, folder)
	is.True(state.identity.GetIncarnation() != first.identity.GetIncarnation())
	is.Equal(state.identity.GetIncarnation(), fresh.GetIncarnation())
	is.Equal(state.snapshot, nil)
	is.Equal(len(state.entries), 0)
	is.Equal(state.hardState, nil)
	is.NoErr(s.close())
}

// Guards against a boot counter that starts without a confirmation raise. Such a
// counter on a restored disk could pass the one that its peers recorded, and the
// peers would not notice that the disk is outdated.
func TestBootCounterIsRaisedOnceConfirmed(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "log")
	s, first := reopen(t, folder)
	is.NoErr(s.close())
	s, second := reopen(t, folder)
	is.Equal(second.identity.GetBoot(), first.identity.GetBoot())
	is.Equal(second.identity.GetStart(), first.identity.GetStart())
	writeSync(t, s, raft.Ready{HardState: &pb.RaftHardState{ConfirmedBoot: 1}})
	is.NoErr(s.close())
	s, third := reopen(t, folder)
	is.Equal(third.identity.GetBoot(), uint64(2))
	is.True(third.identity.GetStart() != first.identity.GetStart())
	is.NoErr(s.close())
}

// Guards against a repaired group that loses entries of the chosen VM, or that the
// other VMs cannot join again.
func TestRepairAfterLostQuorum(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, twoDisks)
	c.startAll()
	for range 5 {
		c.propose("entry")
	}
	c.eventually("all VMs hold 5 entries", func() bool { return c.allApplied(5) })
	for _, vm := range threeVoters {
		c.stop(vm)
	}
	is.NoErr(os.RemoveAll(c.folders["b"]))
	result, err := Repair("a", c.folders["a"], "g")
	is.NoErr(err)
	is.Equal(len(result.Previous), 3)
	c.startAll()
	c.propose("after")
	c.eventually("all VMs hold 6 entries", func() bool { return c.allApplied(6) })
	for _, vm := range threeVoters {
		c.eventually(vm+" votes", func() bool { return c.isOneOfThreeVoters(c.nodes[vm]) })
	}
	_, err = Repair("a", filepath.Join(t.TempDir(), "empty"), "g")
	is.True(err != nil)
}
