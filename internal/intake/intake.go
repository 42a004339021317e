// Package intake is an intake VM: it takes the requests of callers and passes them to the leader of the control VMs.
// It holds no state that must last.
package intake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// membersInterval is the time between two questions for the control VMs and their leader.
	membersInterval = 400 * time.Millisecond
	// membersTimeout bounds one of them.
	membersTimeout = 300 * time.Millisecond
	// confirmedFor is how long a VM counts as in touch with the control VMs after an answer.
	confirmedFor = 1500 * time.Millisecond
	// attemptTimeout bounds one call to the leader, so that a leader that froze does not use up a request's time.
	attemptTimeout = 800 * time.Millisecond
	// leaderPause is the pause before a leader is looked for again.
	leaderPause = 25 * time.Millisecond
	// leaderPatience is how long a request waits for a leader: an election takes less, and a partition longer.
	leaderPatience = 900 * time.Millisecond
	// outcomePatience is how long a request is repeated whose outcome is unknown. The caller's own repeat reaches another
	// intake VM, which may be better connected.
	outcomePatience = 1300 * time.Millisecond
)

// Refusals of a request that was not passed on or whose outcome is not known.
var (
	// ErrNotRun means that the request was not and will not be carried out.
	ErrNotRun = errors.New("the control VMs cannot be reached; the request was not run; repeat it later")
	// ErrUnknown means that the request may have been carried out.
	ErrUnknown = errors.New("the control VMs did not answer in time; repeat the request with the same id")
)

// Intake passes requests to the leader of the control VMs.
type Intake struct {
	log       zerolog.Logger
	transport *fleet.Transport
	seeds     []string

	mu      sync.Mutex
	members []string
	leader  string

	limits      atomic.Pointer[pb.IntakeLimits]
	confirmedAt atomic.Int64 // Unix nanoseconds of the monotonic base below
	start       time.Time
	ctx         context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
}

// New opens the transport and starts to look for the control VMs.
func New(s *pb.FleetSettings, log zerolog.Logger) (*Intake, error) {
	if err := fleet.Validate(s, false); err != nil {
		return nil, err
	}
	transport, err := fleet.OpenTransport(s, log)
	if err != nil {
		return nil, err
	}
	i := &Intake{log: log, transport: transport, seeds: fleet.SeedVMs(s), start: time.Now()}
	i.confirmedAt.Store(-1)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.members = i.seeds
	for _, vm := range i.seeds {
		if err := transport.Connect(vm); err != nil {
			return nil, errors.Join(err, transport.Close())
		}
	}
	i.running.Go(i.followMembers)
	return i, nil
}

// Close ends all calls.
func (i *Intake) Close() error {
	i.cancel()
	i.running.Wait()
	return i.transport.Close()
}

// AddSeeds adds control VMs to ask, after a change of the settings.
func (i *Intake) AddSeeds(vms []string) {
	i.mu.Lock()
	i.seeds = append([]string(nil), vms...)
	i.mu.Unlock()
	for _, vm := range vms {
		if err := i.transport.Connect(vm); err != nil {
			i.log.Warn().Str("event", "connect-failed").Str("vm", vm).Err(err).Msg("")
		}
	}
}

// Ready reports whether requests can be passed on: a control VM that knows a leader has answered lately.
func (i *Intake) Ready() bool {
	at := i.confirmedAt.Load()
	return at >= 0 && time.Since(i.start)-time.Duration(at) < confirmedFor
}

// Limits returns the limits for requests in the configuration, or nil while none is known.
func (i *Intake) Limits() *pb.IntakeLimits { return i.limits.Load() }

func (i *Intake) followMembers() {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for next := 0; ; next++ {
		i.askMembers(next)
		select {
		case <-ticker.C:
		case <-i.ctx.Done():
			return
		}
	}
}

// askMembers asks the leader, or the control VMs in turn while none is known, who the control VMs are.
func (i *Intake) askMembers(turn int) {
	vm := i.knownLeader()
	if vm == "" || !i.transport.Reachable(vm) {
		vm = i.reachable(turn)
	}
	if vm == "" {
		return
	}
	ctx, cancel := context.WithTimeout(i.ctx, membersTimeout)
	defer cancel()
	answer := &pb.MembersAnswer{}
	if err := i.transport.Call(ctx, vm, fleet.MethodMembers, &pb.MembersRequest{}, answer); err != nil {
		i.forgetLeader(vm)
		return
	}
	i.noteMembers(answer)
}

func (i *Intake) noteMembers(answer *pb.MembersAnswer) {
	if answer.GetLimits() != nil {
		i.limits.Store(answer.GetLimits())
	}
	if answer.GetLeader() != "" {
		i.confirmedAt.Store(int64(time.Since(i.start)))
	}
	i.mu.Lock()
	if answer.GetLeader() != i.leader {
		i.log.Info().Str("event", "leader-changed").Str("leader", answer.GetLeader()).Str("before", i.leader).Msg("")
	}
	i.leader = answer.GetLeader()
	if len(answer.GetMembers()) > 0 {
		i.members = answer.GetMembers()
	}
	known := append([]string(nil), i.members...)
	kept := append(append([]string(nil), known...), i.seeds...)
	i.mu.Unlock()
	for _, vm := range known {
		if err := i.transport.Connect(vm); err != nil {
			i.log.Warn().Str("event", "connect-failed").Str("vm", vm).Err(err).Msg("")
		}
	}
	i.transport.Keep(kept)
}

// reachable returns a control VM to which there is a connection, a different one with each turn.
func (i *Intake) reachable(turn int) string {
	vms := i.transport.Peers()
	var found []string
	for _, vm := range vms {
		if i.transport.Reachable(vm) {
			found = append(found, vm)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return found[turn%len(found)]
}

func (i *Intake) knownLeader() string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.leader
}

func (i *Intake) setLeader(vm string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.leader = vm
}

func (i *Intake) forgetLeader(vm string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leader == vm {
		i.leader = ""
	}
}

// Submit hands a submission in. An id that was accepted before is accepted again.
func (i *Intake) Submit(ctx context.Context, r *pb.IntakeSubmit) (*pb.IntakeAnswer, error) {
	return i.call(ctx, fleet.MethodSubmit, r)
}

// Lookup asks for the state of a submission, or for the number of waiting ones of a queue.
func (i *Intake) Lookup(ctx context.Context, r *pb.IntakeLookup) (*pb.IntakeAnswer, error) {
	return i.call(ctx, fleet.MethodState, r)
}

// Cancel cancels a submission.
func (i *Intake) Cancel(ctx context.Context, r *pb.IntakeLookup) (*pb.IntakeAnswer, error) {
	return i.call(ctx, fleet.MethodCancel, r)
}

// call makes a call to the leader until ctx ends. All calls are idempotent, so one without an answer is repeated.
func (i *Intake) call(ctx context.Context, method string, request proto.Message) (*pb.IntakeAnswer, error) {
	began := time.Now()
	uncertain := false
	for turn := 0; ; turn++ {
		vm := i.knownLeader()
		if vm == "" || !i.transport.Reachable(vm) {
			vm = i.reachable(turn)
		}
		if vm != "" {
			answer, err := i.attempt(ctx, vm, method, request)
			switch {
			case err == nil && answer.GetResult() == pb.IntakeResult_INTAKE_RESULT_UNKNOWN:
				uncertain = true
			case err == nil && answer.GetResult() != pb.IntakeResult_INTAKE_RESULT_NOT_LEADER:
				i.setLeader(vm)
				return answer, nil
			case err == nil:
				i.follow(vm, answer.GetLeader())
			default:
				uncertain = uncertain || !fleet.NotSent(err)
				i.forgetLeader(vm)
			}
		}
		if !uncertain && vm != "" && !i.Ready() {
			return nil, gaveUp(uncertain, method, turn+1) // there has been no leader for longer than an election takes
		}
		if waited := time.Since(began); !uncertain && waited > leaderPatience || uncertain && waited > outcomePatience {
			return nil, gaveUp(uncertain, method, turn+1)
		}
		select {
		case <-ctx.Done():
			return nil, gaveUp(uncertain, method, turn+1)
		case <-time.After(leaderPause):
		}
	}
}

func gaveUp(uncertain bool, method string, attempts int) error {
	if uncertain {
		return fmt.Errorf("%w (%s, %d attempts)", ErrUnknown, method, attempts)
	}
	return fmt.Errorf("%w (%s, %d attempts)", ErrNotRun, method, attempts)
}

// follow turns to the leader that a VM named.
func (i *Intake) follow(from, leader string) {
	if leader == "" || leader == from {
		i.forgetLeader(from)
		return
	}
	i.setLeader(leader)
	if err := i.transport.Connect(leader); err != nil {
		i.log.Warn().Str("event", "connect-failed").Str("vm", leader).Err(err).Msg("")
	}
}

func (i *Intake) attempt(ctx context.Context, vm, method string, request proto.Message) (*pb.IntakeAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	answer := &pb.IntakeAnswer{}
	err := i.transport.Call(ctx, vm, method, request, answer)
	return answer, err
}
