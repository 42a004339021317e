package replica

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/wal"
)

// fillingFS is a folder whose disk takes no more bytes while full is set. A write that finds it full leaves half of its bytes.
type fillingFS struct {
	wal.FS
	full *atomic.Bool
}

func (f fillingFS) OpenFile(name string, flag int) (wal.File, error) {
	if f.full.Load() && flag&os.O_CREATE != 0 {
		return nil, syscall.ENOSPC
	}
	file, err := f.FS.OpenFile(name, flag)
	return fillingFile{File: file, full: f.full}, err
}

type fillingFile struct {
	wal.File
	full *atomic.Bool
}

func (f fillingFile) Write(b []byte) (int, error) {
	if f.full.Load() {
		written, err := f.File.Write(b[:len(b)/2])
		return written, errors.Join(syscall.ENOSPC, err)
	}
	return f.File.Write(b)
}

// withFillingDisks gives each VM a disk that can be filled.
func (c *cluster) withFillingDisks() map[string]*atomic.Bool {
	full := map[string]*atomic.Bool{}
	for _, vm := range c.voters {
		full[vm] = &atomic.Bool{}
		c.wrapDisk(vm, func(disk wal.FS) wal.FS { return fillingFS{FS: disk, full: full[vm]} })
	}
	return full
}

// Guards against processes that end, members that are replaced and changes that are refused for long, when the disks of all VMs fill one
// after the other while changes arrive.
func TestDisksFillOneAfterTheOther(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, threeVoters, nil, threeVoters)
	c.every = 50 // so that disks fill while snapshots are written, too
	full := c.withFillingDisks()
	c.startAll()
	c.propose("0")
	before := c.nodes["a"].group.Status().Voters
	p := &changes{cluster: c, lastAck: time.Now()}
	for round := range 6 {
		vm := threeVoters[round/2]
		if leader := c.leader(); round%2 == 0 && leader != "" {
			vm = leader
		}
		full[vm].Store(true)
		p.proposeFor(time.Second)
		full[vm].Store(false)
	}
	p.proposeFor(time.Second)
	c.eventually("all VMs hold all acknowledged entries", p.held)
	is.Equal(c.nodes["a"].group.Status().Voters, before)
	t.Logf("%d of %d changes acknowledged, at most %v between two", len(p.acknowledged), p.tried, p.longestGap)
	is.True(p.longestGap < time.Second) // like the loss of a leader
	for _, n := range c.nodes {
		is.Equal(len(n.fatal), 0)
	}
	for _, vm := range threeVoters {
		c.stop(vm)
	}
	c.startAll()
	c.eventually("all VMs hold all acknowledged entries after a restart", p.held)
}

// Guards against a VM that does not start by itself once its disk has room.
func TestStartWaitsForRoom(t *testing.T) {
	c := newCluster(t, threeVoters, nil, threeVoters)
	full := c.withFillingDisks()
	c.startAll()
	c.propose("0")
	c.stop("a")
	full["a"].Store(true)
	time.AfterFunc(300*time.Millisecond, func() { full["a"].Store(false) })
	c.start("a")
	c.eventually("the VM serves", func() bool { return c.allApplied(1) })
}
