package replica

import (
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// firstStart starts three VMs of an open group for the first time, all but vm-a, which has ended right after its start.
func firstStart(t *testing.T) *cluster {
	vms := []string{"vm-a", "vm-b", "vm-c"}
	c := newCluster(t, vms, nil, vms)
	c.open, c.contacts = true, vms
	c.start("vm-a")
	c.stop("vm-a")
	c.start("vm-b")
	c.start("vm-c")
	c.voters = nil // at every later start
	return c
}

// Guards against a group that never forms because the VM that has to write the first membership restarts before it has.
func TestGroupFormsThoughItsFirstVMRestarts(t *testing.T) {
	is := is.New(t)
	c := firstStart(t)
	c.start("vm-a")
	c.propose("1")
	c.eventually("all applied", func() bool { return c.allApplied(1) })
	for _, vm := range []string{"vm-a", "vm-b", "vm-c"} {
		c.stop(vm)
		c.start(vm)
	}
	c.propose("2")
	c.eventually("all applied after restarts", func() bool { return c.allApplied(2) })
	is.Equal(c.nodes["vm-a"].machine.list(), []string{"1", "2"})
}

// Guards against a group that never forms because all VMs are killed once the first one has stored the membership and before the others have:
// these are named in it by their incarnations.
func TestGroupFormsThoughAllVMsRestartMeanwhile(t *testing.T) {
	is := is.New(t)
	vms := []string{"vm-a", "vm-b", "vm-c"}
	c := newCluster(t, vms, nil, vms)
	c.open, c.contacts = true, vms
	var first atomic.Pointer[node]
	c.beforeSyncs("vm-a", func() error {
		if n := first.Load(); n != nil && len(n.group.Status().Voters) > 0 {
			c.network.Isolate("vm-a", true) // the others never receive the membership
		}
		return nil
	})
	first.Store(c.start("vm-a"))
	c.start("vm-b")
	c.start("vm-c")
	c.eventually("the membership is stored", func() bool { return len(c.nodes["vm-a"].group.Status().Voters) == len(vms) })
	time.Sleep(100 * time.Millisecond)
	for _, vm := range vms[1:] {
		is.Equal(len(c.nodes[vm].group.Status().Voters), 0)
	}
	for _, vm := range vms {
		c.stop(vm)
	}
	first.Store(nil)
	c.network.Isolate("vm-a", false)
	c.voters = nil
	for _, vm := range vms {
		c.start(vm)
	}
	c.propose("1")
	c.eventually("all applied", func() bool { return c.allApplied(1) })
}

// Guards against a second group, formed by a VM that keeps the initial voters on its disk and has lost the rest, beside one that has state.
func TestVMWithInitialVotersFormsNoSecondGroup(t *testing.T) {
	is := is.New(t)
	c := firstStart(t)
	is.NoErr(os.CopyFS(c.folders["vm-a"]+"-copy", os.DirFS(c.folders["vm-a"])))
	c.start("vm-a")
	c.propose("1")
	c.eventually("all applied", func() bool { return c.allApplied(1) })
	c.stop("vm-a")
	is.NoErr(os.RemoveAll(c.folders["vm-a"]))
	is.NoErr(os.Rename(c.folders["vm-a"]+"-copy", c.folders["vm-a"]))
	c.network.Isolate("vm-a", true)
	c.start("vm-a")
	time.Sleep(time.Second)
	is.Equal(c.nodes["vm-a"].group.Status().Commit, uint64(0))
	c.network.Isolate("vm-a", false)
	c.eventually("all applied", func() bool { return c.allApplied(1) })
}
