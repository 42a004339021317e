package replica

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lentilyard/lentilyard/internal/wal"
)

var errNoSpace = errors.New("no space left on device")

// Guards against a voter that acknowledges an entry after a failed sync, and
// against a disk failure that is not reported through OnFatal.
func TestDiskFailureStopsTheHost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, threeVoters)
	var broken atomic.Bool
	for _, vm := range threeVoters {
		c.beforeSyncs(vm, func() error {
			if broken.Load() {
				return errNoSpace
			}
			return nil
		})
	}
	c.startAll()
	c.propose("1")
	c.eventually("all VMs hold 1 entry", func() bool { return c.allApplied(1) })
	leader := ""
	c.eventually("a VM leads", func() bool { leader = c.leader(); return leader != "" })
	broken.Store(true) // all disks fail at once: nothing may be acknowledged
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	n := c.nodes[leader]
	_, err := n.group.Propose(ctx, []byte("2"))
	is.True(errors.Is(err, ErrOutcomeUnknown))
	err = <-n.fatal
	is.True(errors.Is(err, wal.ErrFailed))
	is.True(errors.Is(err, errNoSpace))
	_, err = n.group.Propose(ctx, []byte("3"))
	is.True(errors.Is(err, ErrStopped))
	is.True(errors.Is(n.group.ReadBarrier(ctx), ErrStopped))
	for _, n := range c.nodes {
		is.Equal(len(n.machine.list()), 1)
		is.NoErr(n.host.Close())
	}
	c.nodes = map[string]*node{}
}

func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	if err := errors.Join(os.RemoveAll(to), os.CopyFS(to, os.DirFS(from))); err != nil {
		t.Fatal(err)
	}
}

// Guards against a voter that votes or acknowledges entries with a disk restored
// from an older image, and against one that never becomes a voter again.
func TestRestoredDiskRejoinsAsNewIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, twoDisks)
	c.startAll()
	c.propose("1")
	c.eventually("all VMs hold 1 entry", func() bool { return c.allApplied(1) })
	c.stop("a")
	image := filepath.Join(t.TempDir(), "image")
	copyFolder(t, c.folders["a"], image)
	n := c.start("a")
	old := n.group.Status().Self
	c.propose("2")
	c.eventually("all VMs hold 2 entries", func() bool { return c.allApplied(2) })
	c.stop("a")
	copyFolder(t, image, c.folders["a"])
	n = c.start("a")
	c.eventually("a votes with a new incarnation", func() bool { return c.isOneOfThreeVoters(n) && n.group.Status().Self != old })
	c.propose("3")
	c.eventually("all VMs hold 3 entries", func() bool { return c.allApplied(3) })
	c.stop("a")
	n = c.start("a") // the new incarnation survives a restart
	c.eventually("all VMs hold 3 entries", func() bool { return c.allApplied(3) })
	is.True(n.group.Status().Self != old)
}

// Guards against a start with a log in which a bit was flipped, and against two
// hosts on the same data folder.
func TestStartIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, []string{"a"}, nil, []string{"a"})
	c.startAll()
	for range 10 {
		c.propose("entry")
	}
	config := HostConfig{ID: "a", DataFolder: c.folders["a"], Messenger: c.network.Endpoint("x"), Logger: zerolog.Nop()}
	_, err := NewHost(config)
	is.True(errors.Is(err, wal.ErrLocked))
	c.stop("a")
	segments, err := filepath.Glob(filepath.Join(c.folders["a"], "groups", "g", "*.seg"))
	is.NoErr(err)
	content, err := os.ReadFile(segments[0])
	is.NoErr(err)
	record := bytes.Index(content, []byte("entry")) // a bit inside a batch of records; the marks between batches hold no data
	is.True(record > 0)
	content[record] ^= 1
	is.NoErr(os.WriteFile(segments[0], content, 0o600))
	host, err := NewHost(config)
	is.NoErr(err)
	_, err = host.AddGroup(GroupConfig{Name: "g", Voters: []string{"a"}, Machine: &listMachine{}})
	is.True(errors.Is(err, wal.ErrCorrupt))
	is.NoErr(host.Close())
}

// Guards against a member that missed many entries and cannot catch up from a
// snapshot of several chunks, and against a log on disk that exceeds 5 MiB.
func TestSnapshotCatchUp(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, []string{"d"}, twoDisks)
	c.every = 100
	c.startAll()
	c.propose("first")
	for _, vm := range []string{"c", "d"} {
		c.stop(vm)
	}
	const entries, size = 500, 4 << 10
	for range entries {
		c.propose(strings.Repeat("x", size))
	}
	c.start("c")
	c.start("d")
	c.eventually("all VMs hold all entries", func() bool { return c.allApplied(entries + 1) })
	c.stop("a")
	c.start("a")
	c.eventually("all VMs hold all entries", func() bool { return c.allApplied(entries + 1) })
	_, log := folderSize(t, c.folders["a"])
	is.True(log < 5<<20) // one full segment of 4 MiB and the active one; all entries take 2 MB, so this holds without compaction too
}

// folderSize returns the total size of the snapshot files and of the segment
// files under a folder.
func folderSize(t testing.TB, folder string) (snapshots, segments int64) {
	err := filepath.Walk(folder, func(path string, info os.FileInfo, err error) error {
		switch {
		case err != nil:
			return err
		case filepath.Ext(path) == ".snap":
			snapshots += info.Size()
		case filepath.Ext(path) == ".seg":
			segments += info.Size()
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return snapshots, segments
}
