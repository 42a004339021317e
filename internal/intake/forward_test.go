package intake

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
)

// secondIP is the intake VM that forwards for the one at intakeIP.
const secondIP = "127.0.3.3"

// cutOffFleet is a control VM and two intake VMs, of which the first one is not answered once it is cut off, and the other one once all are.
type cutOffFleet struct {
	first, second       *Intake
	cutOff, allCutOff   atomic.Bool
	submitted, bySecond atomic.Int32
	result              pb.IntakeResult
	port                int
}

func newCutOffFleet(t *testing.T, result pb.IntakeResult) *cutOffFleet {
	port := freePort(t)
	leader, err := fleet.OpenTransport(settingsOf(followerIP, port), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = leader.Close() })
	f := &cutOffFleet{result: result, port: port}
	answer := func(method string, answer func(from string) proto.Message) {
		leader.HandleCall(method, func(ctx context.Context, from string, _ []byte) (proto.Message, error) {
			if f.allCutOff.Load() || f.cutOff.Load() && from == intakeIP {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return answer(from), nil
		})
	}
	answer(fleet.MethodMembers, func(from string) proto.Message {
		answer := &pb.MembersAnswer{Members: []string{followerIP}, Leader: followerIP, Forwarders: []string{map[string]string{intakeIP: secondIP, secondIP: intakeIP}[from]}}
		if from == secondIP && f.cutOff.Load() {
			answer.SilentIntakes = []string{intakeIP}
		}
		return answer
	})
	for _, method := range []string{fleet.MethodSubmit, fleet.MethodState, fleet.MethodCancel} {
		answer(method, func(from string) proto.Message {
			f.submitted.Add(1)
			if from == secondIP {
				f.bySecond.Add(1)
			}
			return &pb.IntakeAnswer{Result: f.result}
		})
	}
	f.first, f.second = f.open(t, intakeIP, port), f.open(t, secondIP, port)
	eventually(t, func() bool { return f.first.Ready() && f.second.Ready() })
	return f
}

func (f *cutOffFleet) open(t *testing.T, ip string, port int) *Intake {
	i, err := New(settingsOf(ip, port), nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = i.Close() })
	return i
}

// cut cuts the first intake VM off and waits until it knows.
func (f *cutOffFleet) cut(t *testing.T) {
	f.cutOff.Store(true)
	eventually(t, func() bool { return !f.first.Ready() && f.first.transport.Reachable(secondIP) })
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 15*time.Second {
			t.Fatal("not within 15 s")
		}
	}
}

// Guards against callers that are refused by an intake VM which no control VM answers, though another intake VM could serve them.
func TestIntakeVMThatIsCutOffForwardsRequests(t *testing.T) {
	is := is.New(t)
	f := newCutOffFleet(t, pb.IntakeResult_INTAKE_RESULT_OK)
	f.cut(t)
	for _, call := range []func() (*pb.IntakeAnswer, error){
		func() (*pb.IntakeAnswer, error) { return f.first.Submit(t.Context(), &pb.IntakeSubmit{Path: "/q/1"}) },
		func() (*pb.IntakeAnswer, error) { return f.first.Lookup(t.Context(), &pb.IntakeLookup{Path: "/q/1"}) },
		func() (*pb.IntakeAnswer, error) { return f.first.Cancel(t.Context(), &pb.IntakeLookup{Path: "/q/1"}) },
	} {
		answer, err := call()
		is.NoErr(err)
		is.Equal(answer.GetResult(), pb.IntakeResult_INTAKE_RESULT_OK)
	}
	is.Equal(f.bySecond.Load(), int32(3))
	is.True(!f.first.Ready()) // callers should still come to others first
	f.cutOff.Store(false)
	eventually(t, func() bool { return f.first.Ready() && !f.first.transport.Reachable(secondIP) })
}

// Guards against an intake VM that refuses all requests after a restart behind a partition, as it then knows no other that could serve them.
func TestIntakeVMThatRestartsWhileItIsCutOffForwardsRequests(t *testing.T) {
	is := is.New(t)
	f := newCutOffFleet(t, pb.IntakeResult_INTAKE_RESULT_OK)
	f.cut(t)
	is.NoErr(f.first.Close())
	restarted := f.open(t, intakeIP, f.port)
	eventually(t, func() bool {
		answer, err := restarted.Submit(t.Context(), &pb.IntakeSubmit{Path: "/q/1"})
		return err == nil && answer.GetResult() == pb.IntakeResult_INTAKE_RESULT_OK
	})
	is.True(!restarted.Ready()) // callers should still come to others first
	f.cutOff.Store(false)
	eventually(t, func() bool {
		return restarted.Ready() && !restarted.transport.Reachable(secondIP) && !f.second.transport.Reachable(intakeIP)
	})
}

// Guards against a forwarded request that is reported as not run although it may have been.
func TestForwardedRequestWithoutAnswerHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newCutOffFleet(t, pb.IntakeResult_INTAKE_RESULT_UNKNOWN)
	f.cut(t)
	_, err := f.first.Submit(t.Context(), &pb.IntakeSubmit{Path: "/q/1"})
	is.True(errors.Is(err, ErrOutcomeUnknown))
}

// Guards against requests that intake VMs forward to each other without end while no leader answers any of them.
func TestRequestIsNotForwardedTwice(t *testing.T) {
	is := is.New(t)
	f := newCutOffFleet(t, pb.IntakeResult_INTAKE_RESULT_OK)
	f.cut(t)
	f.allCutOff.Store(true)
	eventually(t, func() bool { return !f.second.Ready() && f.second.transport.Reachable(intakeIP) })
	began := time.Now()
	_, err := f.second.Submit(t.Context(), &pb.IntakeSubmit{Path: "/q/1"})
	is.True(errors.Is(err, ErrNotRun) || errors.Is(err, ErrOutcomeUnknown))
	is.True(time.Since(began) < forwardTimeout+attemptTimeout+unknownOutcomeTimeout)
	is.Equal(f.submitted.Load(), int32(0))
}
