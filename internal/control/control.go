// Package control implements a control VM. Every control VM holds a replica of the state of submissions; the leader of the
// group also calls the workers.
package control

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/lentilyard/lentilyard/internal/replica"
	"github.com/lentilyard/lentilyard/internal/submission"
)

// groupName is the name of the replication group of all control VMs.
const groupName = "submissions"

const (
	raftHeartbeat = 50 * time.Millisecond
	raftElection  = 300 * time.Millisecond
	// snapshotEvery is the number of log entries between two snapshots. At about 200 bytes per change the log stays below
	// 16 MB.
	snapshotEvery = 4000
	// pruneInterval is the interval at which connections to VMs outside the group are closed.
	pruneInterval = 5 * time.Second
)

// Options configures a Control.
type Options struct {
	Settings *pb.FleetSettings
	// Caller makes the calls to workers from this VM.
	Caller dispatch.Caller
	// Adviser and Platform are nil if the deployment has none.
	Adviser  dispatch.Adviser
	Platform dispatch.Platform
	Logger   zerolog.Logger
}

// Control runs the replica, the leader's work and the transport of one control VM.
type Control struct {
	settings  *pb.FleetSettings
	log       zerolog.Logger
	transport *fleet.Transport
	host      *replica.Host
	group     *replica.Group
	state     *submission.State
	leader    *dispatch.Leader
	relay     *relay.Relay
	forwarded forwardedReports
	admission admission
	large     *fleet.LargeCalls
	// offers holds, by intake VM, the silent ones to which it offers to forward requests. It is nil unless this VM leads.
	offers atomic.Pointer[map[string][]string]

	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	roleChanged chan struct{} // signaled when the raft role changes; capacity 1
	fatal       chan error
}

// New creates a control VM that listens for other VMs and opens its data folder. Start makes it join the group.
func New(options Options) (*Control, error) {
	if err := fleet.Validate(options.Settings, true); err != nil {
		return nil, err
	}
	c := &Control{settings: options.Settings, log: options.Logger, roleChanged: make(chan struct{}, 1), fatal: make(chan error, 1), large: fleet.NewLargeCalls()}
	c.admission.limit = fleet.StateLimit(c.settings)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	transport, err := fleet.OpenTransport(c.settings, c.log)
	if err != nil {
		return nil, err
	}
	c.transport = transport
	if err := c.openGroup(); err != nil {
		return nil, errors.Join(err, transport.Close())
	}
	c.relay = relay.New(relay.Config{ID: c.settings.GetId(), FailureDomain: c.settings.GetFailureDomain(), Local: options.Caller,
		Messenger: transport, Logger: c.log, UseAgents: c.useRelay})
	transport.Handle(relay.Channel, c.relay.Handle)
	bounds := c.settings.GetBounds()
	c.leader = dispatch.New(dispatch.Config{State: c.state, Log: c.group, Caller: c.relay, Logger: c.log,
		Adviser: options.Adviser, Platform: options.Platform, Holder: c.settings.GetId(), Handover: c.broadcastModel, Bounds: dispatch.Bounds{
			LeaseMax: bounds.GetLeaseMax().AsDuration(), Stop: bounds.GetStop().AsDuration(), Gang: bounds.GetGang().AsDuration(),
			MaxOverLimit: bounds.GetHarm().AsDuration(), ThrottleDelay: bounds.GetPace().AsDuration(), HolderLease: bounds.GetHolderLease().AsDuration(),
		}})
	transport.Handle(modelChannel, c.receiveModel)
	c.registerHandlers()
	return c, nil
}

func (c *Control) openGroup() error {
	host, err := replica.NewHost(replica.HostConfig{ID: c.settings.GetId(), DataFolder: c.settings.GetDataFolder(), Messenger: c.transport,
		Heartbeat: raftHeartbeat, Election: raftElection, SnapshotEvery: snapshotEvery, Logger: c.log, OnFatal: c.signalFatal})
	if err != nil {
		return err
	}
	c.host = host
	retention := c.settings.GetBounds().GetRetention().AsDuration()
	// Records are kept twice as long as configured, because the clocks that stamp entries may jump.
	c.state = submission.New(2*retention.Milliseconds(), func(ended []string) {
		if c.leader != nil && len(ended) > 0 {
			c.leader.SubmissionsEnded(ended)
		}
	})
	seeds := fleet.SeedVMs(c.settings)
	var voters []string
	if c.settings.GetFirstStart() && slices.Contains(seeds, c.settings.GetId()) {
		voters = seeds
	}
	c.group, err = host.AddGroup(replica.GroupConfig{Name: groupName, Voters: voters, Machine: c.state, Open: true, Contacts: seeds,
		MinVoters: 2*int(c.settings.GetToleratedLosses()) + 1})
	if err != nil {
		return errors.Join(err, host.Close())
	}
	c.group.OnRoleChange(func(replica.Status) {
		select {
		case c.roleChanged <- struct{}{}:
		default:
		}
	})
	return nil
}

// signalFatal passes the first fatal error to the reader of Fatal.
func (c *Control) signalFatal(err error) {
	select {
	case c.fatal <- err:
	default:
	}
}

// Start connects to the seed VMs and starts the replica and the background goroutines.
func (c *Control) Start() error {
	for _, vm := range fleet.SeedVMs(c.settings) {
		if err := c.transport.Connect(vm); err != nil {
			return err
		}
	}
	if err := c.host.Start(); err != nil {
		return err
	}
	c.goroutines.Go(c.followRole)
	c.goroutines.Go(c.followMembers)
	c.goroutines.Go(c.announce)
	c.goroutines.Go(c.followIntakes)
	return nil
}

// AddSeeds adds seed VMs after a change of the settings.
func (c *Control) AddSeeds(vms []string) {
	c.group.AddContacts(vms)
	for _, vm := range vms {
		if err := c.transport.Connect(vm); err != nil {
			c.log.Warn().Str("event", "connect-failed").Str("vm", vm).Err(err).Msg("")
		}
	}
}

// Fatal returns a channel that receives the error after which this VM cannot continue, such as a failed disk.
func (c *Control) Fatal() <-chan error { return c.fatal }

// TransferLeadership hands leadership over to another VM before this one stops, so that the group need not wait for an
// election.
func (c *Control) TransferLeadership(ctx context.Context) {
	if err := c.host.Drain(ctx); err != nil {
		c.log.Warn().Str("event", "handover-failed").Err(err).Msg("could not transfer leadership; the group elects a new leader after this VM has stopped")
	}
}

// Close stops the replica, all calls to workers and the transport.
func (c *Control) Close() error {
	c.cancel()
	c.leader.Close()
	c.relay.Close()
	err := c.host.Close()
	c.goroutines.Wait()
	return errors.Join(err, c.transport.Close())
}

// followRole starts and stops the leader's work as the raft role of this VM changes.
func (c *Control) followRole() {
	for {
		status := c.group.Status()
		if status.Role == replica.RoleLeader {
			c.takeOver(status.Term)
		} else {
			c.leader.Resign()
		}
		select {
		case <-c.roleChanged:
		case <-c.ctx.Done():
			return
		}
	}
}

// takeOver starts the leader's work as soon as everything that was committed before the term has been applied. It returns
// without starting it if the term ends first.
func (c *Control) takeOver(term uint64) {
	for c.ctx.Err() == nil && c.leads(term) {
		ctx, cancel := context.WithTimeout(c.ctx, raftElection)
		err := c.group.ReadBarrier(ctx)
		cancel()
		if err == nil && c.leads(term) {
			c.leader.Lead(term)
			return
		}
	}
}

// leads reports whether this VM is the raft leader of the term.
func (c *Control) leads(term uint64) bool {
	status := c.group.Status()
	return status.Role == replica.RoleLeader && status.Term == term
}

// followMembers periodically closes connections to VMs that are neither members of the group nor seeds nor make calls for this VM.
func (c *Control) followMembers() {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.transport.KeepOnly(slices.Concat(c.members(), fleet.SeedVMs(c.settings), c.relay.IntakesInUse()))
		case <-c.ctx.Done():
			return
		}
	}
}

// relayThreshold is the number of workers from which the leader relays its calls through other control VMs. Below it the
// extra latency of some ms per call is not worthwhile: a leader with 66 workers uses a fifth of its processor
// (docs/CAPACITY.md).
const relayThreshold = 100

// useRelay reports whether calls to workers are made by other control VMs even if this VM could make them.
func (c *Control) useRelay() bool { return c.leader.Workers() >= relayThreshold }

// announce periodically tells the leader that this VM can make calls for it.
func (c *Control) announce() {
	ticker := time.NewTicker(relay.AnnounceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.relay.Announce(c.group.Status().Leader)
		case <-c.ctx.Done():
			return
		}
	}
}

// modelChannel is the channel on which the leader sends its pressure model to the other control VMs.
const modelChannel = "learnt"

// broadcastModel sends the leader's pressure model to all other control VMs.
func (c *Control) broadcastModel(model *pb.PressureModel) {
	payload, err := proto.Marshal(model)
	if err != nil {
		c.log.Error().Str("event", "encode-failed").Str("channel", modelChannel).Err(err).Msg("the pressure model was not sent; the next leader has to learn it again")
		return
	}
	for _, vm := range c.members() {
		if vm != c.settings.GetId() {
			c.transport.Send(vm, modelChannel, payload)
		}
	}
}

// receiveModel stores the pressure model of the current leader for the case that this VM leads next.
func (c *Control) receiveModel(from string, payload []byte) {
	model := &pb.PressureModel{}
	if err := proto.Unmarshal(payload, model); err != nil {
		c.log.Warn().Str("event", "malformed-message").Str("channel", modelChannel).Str("from", from).Err(err).Msg("")
		return
	}
	c.leader.SetPressureModel(model)
}

// members returns the ids of all voters and learners of the group.
func (c *Control) members() []string {
	status := c.group.Status()
	var vms []string
	for _, m := range slices.Concat(status.Voters, status.Learners) {
		if !slices.Contains(vms, m.VM) {
			vms = append(vms, m.VM)
		}
	}
	return vms
}

// Leading reports whether this VM does the leader's work. After an election it becomes true once the state is up to date.
func (c *Control) Leading() bool { return c.leader.Term() != 0 }

// describeGroup formats what this VM knows about the group's leadership, for error messages.
func (c *Control) describeGroup() string {
	status := c.group.Status()
	return fmt.Sprintf("role %s, leader %q, term %d", status.Role, status.Leader, status.Term)
}
