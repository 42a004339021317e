package intake

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// TestMain disables the warning of quic-go about small UDP buffers, which depend on the test machine.
func TestMain(m *testing.M) {
	_ = os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true")
	os.Exit(m.Run())
}

const (
	followerIP = "127.0.3.1"
	intakeIP   = "127.0.3.2"
	// cutOffLeader is the leader that the follower names and the intake VM does not reach.
	cutOffLeader = "127.0.3.9"
)

func settingsOf(ip string, port int) *pb.FleetSettings {
	return &pb.FleetSettings{Id: ip, FailureDomain: "z", Seeds: []string{followerIP + ":8166"},
		Listen: &pb.FleetListen{Peer: fmt.Sprintf("%s:%d", ip, port), Callers: "127.0.0.1:0", Ready: "127.0.0.1:0"}}
}

func freePort(t *testing.T) int {
	socket, err := net.ListenPacket("udp", followerIP+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	return socket.LocalAddr().(*net.UDPAddr).Port
}

// Guards against callers that are sent to an intake VM which refuses all requests, because it reaches control VMs but not the leader.
func TestIntakeVMThatDoesNotReachLeaderIsNotReady(t *testing.T) {
	is := is.New(t)
	port := freePort(t)
	follower, err := fleet.OpenTransport(settingsOf(followerIP, port), zerolog.Nop())
	is.NoErr(err)
	defer follower.Close()
	follower.HandleCall(fleet.MethodMembers, func(context.Context, string, []byte) (proto.Message, error) {
		return &pb.MembersAnswer{Members: []string{followerIP, cutOffLeader}, Leader: cutOffLeader}, nil
	})
	follower.HandleCall(fleet.MethodSubmit, func(context.Context, string, []byte) (proto.Message, error) {
		return &pb.IntakeAnswer{Result: pb.IntakeResult_INTAKE_RESULT_NOT_LEADER, Leader: cutOffLeader}, nil
	})
	i, err := New(settingsOf(intakeIP, port), nil, zerolog.Nop())
	is.NoErr(err)
	defer i.Close()
	time.Sleep(2 * readyTimeout)
	_, err = i.Submit(t.Context(), &pb.IntakeSubmit{})
	is.True(err != nil) // ErrNotRun
	t.Log(err)
	is.True(!i.Ready())
}
