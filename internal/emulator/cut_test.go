package emulator

import (
	"net"
	"net/netip"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/netfault"
)

// Guards against a fault that cuts off other workers than it says.
func TestCutOfFault(t *testing.T) {
	for _, c := range []cut{{first: 2, count: 9}, {count: 1, answersLost: true}, {count: 4, untilEnd: true}, {count: 9, answersLost: true, untilEnd: true}} {
		is.New(t).Equal(cutOf(cutFault(0, c), smallSize), c)
	}
}

// Guards against a plan of leaves that says something else than its comment.
func TestLeaveOfFault(t *testing.T) {
	is.New(t).Equal(leaveCutOf(leftBehindCut()[0], smallSize), leaveCut{count: 9, untilEnd: true, down: 1491 * time.Millisecond})
}

// Guards against a cut that separates workers from intake VMs too, or from no VM.
func TestConnectionsOfIntakeVMsAreTold(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	this := &process{cmd: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	h := &host{address: listener.Addr().String(), controlLink: netfault.NewLink()}
	for _, c := range []struct {
		controls int
		want     *netfault.Link
	}{{0, nil}, {1, h.controlLink}} {
		h.deployment = &Deployment{options: Options{Size: Size{Controls: c.controls}}, vms: []*vm{{process: this}}}
		client, err := net.Dial("tcp", h.address)
		is.NoErr(err)
		is.Equal(h.linkOf(client.LocalAddr().(*net.TCPAddr).AddrPort()), c.want)
		_ = client.Close()
	}
	is.Equal(h.linkOf(netip.MustParseAddrPort("127.0.0.1:1")), h.controlLink) // no such connection
}
