// Package intake implements an intake VM, which accepts the requests of callers and forwards them to the leader of the
// control VMs. It also calls the workers that no control VM reaches, for the leader. It keeps no persistent state.
package intake

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/dispatch"
	"github.com/lentilyard/lentilyard/internal/fleet"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/relay"
)

const (
	// membersInterval is the interval at which the control VMs and their leader are queried.
	membersInterval = 400 * time.Millisecond
	// membersTimeout bounds one such query.
	membersTimeout = 300 * time.Millisecond
	// readyTimeout is how long this VM stays ready after a control VM last named a leader that this VM reaches.
	readyTimeout = 1500 * time.Millisecond
)

// Intake forwards requests to the leader of the control VMs and calls workers for it.
type Intake struct {
	log           zerolog.Logger
	transport     *fleet.Transport
	relay         *relay.Relay
	failureDomain string
	draining      atomic.Bool
	large         *fleet.LargeCalls
	seeds         []string

	mu         sync.Mutex
	members    []string
	leader     string
	forwarders []string // intake VMs that may reach the leader while this one does not, nearest first
	silent     []string // intake VMs that the leader does not hear from, to which this one offers to forward
	unoffered  []string // those of them that have not got an offer since they were listed
	listedAt   time.Time

	limits       atomic.Pointer[pb.IntakeLimits]
	leaderSeenAt atomic.Int64 // nanoseconds after start at which a control VM last named a leader that this VM reaches; -1 if none has
	start        time.Time
	ctx          context.Context
	cancel       context.CancelFunc
	goroutines   sync.WaitGroup
}

// New opens the transport, connects to the seed VMs and starts to follow the members and the leader of the control VMs. caller makes
// calls to workers from this VM.
func New(s *pb.FleetSettings, caller dispatch.Caller, log zerolog.Logger) (*Intake, error) {
	if err := fleet.Validate(s, false); err != nil {
		return nil, err
	}
	transport, err := fleet.OpenTransport(s, log)
	if err != nil {
		return nil, err
	}
	i := &Intake{log: log, transport: transport, failureDomain: s.GetFailureDomain(), seeds: fleet.SeedVMs(s), start: time.Now(), large: fleet.NewLargeCalls()}
	i.relay = relay.New(relay.Config{ID: s.GetId(), FailureDomain: s.GetFailureDomain(), Intake: true, Local: caller, Messenger: transport, Logger: log})
	transport.Handle(relay.Channel, i.relay.Handle)
	transport.HandleCall(fleet.MethodForward, i.handleForward)
	transport.HandleCall(fleet.MethodOffer, i.handleOffer)
	i.leaderSeenAt.Store(-1)
	i.ctx, i.cancel = context.WithCancel(context.Background())
	i.members = i.seeds
	for _, vm := range i.seeds {
		if err := transport.Connect(vm); err != nil {
			return nil, errors.Join(err, transport.Close())
		}
	}
	i.goroutines.Go(i.followMembers)
	return i, nil
}

// Drain tells the leader that this VM will stop, so that it gets no more calls to workers.
func (i *Intake) Drain() { i.draining.Store(true) }

// Close cancels the background queries and the calls to workers, and closes the transport.
func (i *Intake) Close() error {
	i.cancel()
	i.relay.Close()
	i.goroutines.Wait()
	return i.transport.Close()
}

// AddSeeds replaces the list of seed VMs after a change of the settings and connects to them.
func (i *Intake) AddSeeds(vms []string) {
	i.mu.Lock()
	i.seeds = append([]string(nil), vms...)
	i.mu.Unlock()
	for _, vm := range vms {
		i.connect(vm)
	}
}

// connect starts to connect to a VM unless it is connected.
func (i *Intake) connect(vm string) {
	if err := i.transport.Connect(vm); err != nil {
		i.log.Warn().Str("event", "connect-failed").Str("vm", vm).Err(err).Msg("")
	}
}

// Ready reports whether requests can be forwarded: a control VM has named a leader that this VM reaches within readyTimeout.
func (i *Intake) Ready() bool {
	at := i.leaderSeenAt.Load()
	return at >= 0 && time.Since(i.start)-time.Duration(at) < readyTimeout
}

// Limits returns the request limits of the configuration, or nil if no configuration is known yet.
func (i *Intake) Limits() *pb.IntakeLimits { return i.limits.Load() }

// followMembers refreshes the members and the leader every membersInterval.
func (i *Intake) followMembers() {
	ticker := time.NewTicker(membersInterval)
	defer ticker.Stop()
	for next := 0; ; next++ {
		i.refreshMembers(next)
		i.offerForward()
		select {
		case <-ticker.C:
		case <-i.ctx.Done():
			return
		}
	}
}

// refreshMembers queries the leader for the members of the control group, or the connected control VMs in turn while the
// leader is unknown or not connected.
func (i *Intake) refreshMembers(round int) {
	if !i.Ready() {
		i.connectForwarders()
	}
	vm := i.knownLeader()
	if vm == "" || !i.transport.Reachable(vm) {
		vm = i.reachable(round)
	}
	if vm == "" {
		return
	}
	ctx, cancel := context.WithTimeout(i.ctx, membersTimeout)
	defer cancel()
	i.mu.Lock()
	request, answer := &pb.MembersRequest{WantsForwarders: time.Since(i.listedAt) > forwardersInterval}, &pb.MembersAnswer{}
	i.mu.Unlock()
	if !i.draining.Load() {
		request.FailureDomain, request.ClockMs = i.failureDomain, i.relay.ClockMs()
	}
	if err := i.transport.Call(ctx, vm, fleet.MethodMembers, request, answer); err != nil {
		i.forgetLeader(vm)
		return
	}
	if request.GetWantsForwarders() {
		i.setForwarders(answer)
	}
	i.updateMembers(answer)
}

// updateMembers stores the answer of a control VM, connects to the members and closes connections to VMs that are neither
// members nor seeds.
func (i *Intake) updateMembers(answer *pb.MembersAnswer) {
	if answer.GetLimits() != nil {
		i.limits.Store(answer.GetLimits())
	}
	if answer.GetLeader() != "" && i.transport.Reachable(answer.GetLeader()) {
		i.leaderSeenAt.Store(int64(time.Since(i.start)))
	}
	i.mu.Lock()
	if answer.GetLeader() != i.leader {
		i.log.Info().Str("event", "leader-changed").Str("leader", answer.GetLeader()).Str("before", i.leader).Msg("")
	}
	i.leader = answer.GetLeader()
	if len(answer.GetMembers()) > 0 {
		i.members = answer.GetMembers()
	}
	known := slices.Clone(i.members)
	kept := slices.Concat(known, i.seeds, i.silent)
	if !i.Ready() {
		kept = append(kept, i.forwarders...)
	}
	i.mu.Unlock()
	for _, vm := range known {
		i.connect(vm)
	}
	i.transport.KeepOnly(kept)
}

// reachable returns a connected control VM, the next one with each round, or "" if there is none.
func (i *Intake) reachable(round int) string {
	i.mu.Lock()
	intakes := slices.Concat(i.forwarders, i.silent)
	i.mu.Unlock()
	var found []string
	for _, vm := range i.transport.Peers() {
		if i.transport.Reachable(vm) && !slices.Contains(intakes, vm) {
			found = append(found, vm)
		}
	}
	if len(found) == 0 {
		return ""
	}
	return found[round%len(found)]
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

// forgetLeader clears the known leader if it is vm.
func (i *Intake) forgetLeader(vm string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.leader == vm {
		i.leader = ""
	}
}

// Submit forwards a submission. A submission whose id was accepted before is acknowledged again.
func (i *Intake) Submit(ctx context.Context, r *pb.IntakeSubmit) (*pb.IntakeAnswer, error) {
	return i.submit(ctx, r, i.call)
}

// callFunc calls a method of the leader, directly or by way of another VM.
type callFunc func(ctx context.Context, method string, request callerRequest) (*pb.IntakeAnswer, error)

// submit makes the call of a submission once its size allows it.
func (i *Intake) submit(ctx context.Context, r *pb.IntakeSubmit, call callFunc) (*pb.IntakeAnswer, error) {
	waitCtx, cancel := context.WithTimeout(ctx, leaderWaitTimeout)
	defer cancel()
	end, err := i.large.Begin(waitCtx, proto.Size(r))
	if err != nil {
		return nil, callError(false, fleet.MethodSubmit, 0)
	}
	defer end()
	return call(ctx, fleet.MethodSubmit, r)
}

// Lookup returns the state of a submission, or the number of pending submissions of a queue.
func (i *Intake) Lookup(ctx context.Context, r *pb.IntakeLookup) (*pb.IntakeAnswer, error) {
	return i.call(ctx, fleet.MethodState, r)
}

// Cancel cancels a submission.
func (i *Intake) Cancel(ctx context.Context, r *pb.IntakeLookup) (*pb.IntakeAnswer, error) {
	return i.call(ctx, fleet.MethodCancel, r)
}
