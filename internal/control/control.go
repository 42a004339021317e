// Package control is a control VM: it holds the replicated state of submissions, and calls the workers while it leads.
package control

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
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

// groupName is the replicated group of all control VMs.
const groupName = "submissions"

const (
	raftHeartbeat = 50 * time.Millisecond
	raftElection  = 300 * time.Millisecond
	// snapshotEvery is the number of log entries between two snapshots; at some 200 bytes a change the log stays under
	// 16 MB.
	snapshotEvery = 4000
	// peersInterval is the time between two looks at which VMs to stay connected with.
	peersInterval = 5 * time.Second
)

// Options select what the settings do not state.
type Options struct {
	Settings *pb.FleetSettings
	Caller   dispatch.Caller
	// Adviser and Platform are nil where the deployment has none.
	Adviser  dispatch.Adviser
	Platform dispatch.Platform
	Logger   zerolog.Logger
}

// Control is one control VM.
type Control struct {
	settings  *pb.FleetSettings
	log       zerolog.Logger
	transport *fleet.Transport
	host      *replica.Host
	group     *replica.Group
	state     *submission.State
	leader    *dispatch.Leader
	relay     *relay.Relay
	reports   reports

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	role    chan struct{} // signals a change of role
	fatal   chan error
}

// New prepares a control VM. It listens for other VMs and opens the data folder.
func New(options Options) (*Control, error) {
	if err := fleet.Validate(options.Settings, true); err != nil {
		return nil, err
	}
	c := &Control{settings: options.Settings, log: options.Logger, role: make(chan struct{}, 1), fatal: make(chan error, 1)}
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
		Messenger: transport, Logger: c.log, Spread: c.manyWorkers})
	transport.Handle(relay.Channel, c.relay.Handle)
	bounds := c.settings.GetBounds()
	c.leader = dispatch.New(dispatch.Config{State: c.state, Log: c.group, Caller: c.relay, Logger: c.log,
		Adviser: options.Adviser, Platform: options.Platform, Holder: c.settings.GetId(), Handover: c.handOver, Bounds: dispatch.Bounds{
			LeaseMax: bounds.GetLeaseMax().AsDuration(), Stop: bounds.GetStop().AsDuration(), Gang: bounds.GetGang().AsDuration(),
			Harm: bounds.GetHarm().AsDuration(), Pace: bounds.GetPace().AsDuration(),
		}})
	transport.Handle(learntChannel, c.learnt)
	c.handleCalls()
	return c, nil
}

func (c *Control) openGroup() error {
	host, err := replica.NewHost(replica.HostConfig{ID: c.settings.GetId(), DataFolder: c.settings.GetDataFolder(), Messenger: c.transport,
		Heartbeat: raftHeartbeat, Election: raftElection, SnapshotEvery: snapshotEvery, Logger: c.log, OnFatal: c.reportFatal})
	if err != nil {
		return err
	}
	c.host = host
	retention := c.settings.GetBounds().GetRetention().AsDuration()
	// Twice the time, since the clocks that stamp entries may jump.
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
		case c.role <- struct{}{}:
		default:
		}
	})
	return nil
}

func (c *Control) reportFatal(err error) {
	select {
	case c.fatal <- err:
	default:
	}
}

// Start begins to take part in the group.
func (c *Control) Start() error {
	for _, vm := range fleet.SeedVMs(c.settings) {
		if err := c.transport.Connect(vm); err != nil {
			return err
		}
	}
	if err := c.host.Start(); err != nil {
		return err
	}
	c.running.Go(c.followRole)
	c.running.Go(c.followMembers)
	c.running.Go(c.announce)
	return nil
}

// AddSeeds adds VMs to ask for the group, after a change of the settings.
func (c *Control) AddSeeds(vms []string) {
	c.group.AddContacts(vms)
	for _, vm := range vms {
		if err := c.transport.Connect(vm); err != nil {
			c.log.Warn().Str("event", "connect-failed").Str("vm", vm).Err(err).Msg("")
		}
	}
}

// Fatal receives the error that ends this VM, such as a failed disk.
func (c *Control) Fatal() <-chan error { return c.fatal }

// Leaving hands leadership over, so that the group need not wait for an election.
func (c *Control) Leaving(ctx context.Context) {
	if err := c.host.Drain(ctx); err != nil {
		c.log.Warn().Str("event", "handover-failed").Err(err).Msg("the group elects a new leader after this VM has stopped")
	}
}

// Close ends this VM's part in the group.
func (c *Control) Close() error {
	c.cancel()
	c.leader.Close()
	c.relay.Close()
	err := c.host.Close()
	c.running.Wait()
	return errors.Join(err, c.transport.Close())
}

// followRole starts and ends the work of the leader.
func (c *Control) followRole() {
	for {
		status := c.group.Status()
		if status.Role == replica.RoleLeader {
			c.takeOver(status.Term)
		} else {
			c.leader.Resign()
		}
		select {
		case <-c.role:
		case <-c.ctx.Done():
			return
		}
	}
}

// takeOver leads once everything that was committed before the term is applied.
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

func (c *Control) leads(term uint64) bool {
	status := c.group.Status()
	return status.Role == replica.RoleLeader && status.Term == term
}

// followMembers drops connections to VMs that left the group.
func (c *Control) followMembers() {
	ticker := time.NewTicker(peersInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.transport.Keep(append(c.members(), fleet.SeedVMs(c.settings)...))
		case <-c.ctx.Done():
			return
		}
	}
}

// spreadFrom is the number of workers from which the leader has other control VMs make its calls. A leader with 66 workers
// uses a fifth of its processor (docs/CAPACITY.md), and calls by way of another VM arrive some ms later.
const spreadFrom = 100

func (c *Control) manyWorkers() bool { return c.leader.Workers() >= spreadFrom }

// announce tells the leader that this VM makes calls for it.
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

// learntChannel carries what the leader has learnt to the other control VMs.
const learntChannel = "learnt"

func (c *Control) handOver(model *pb.PressureModel) {
	payload, err := proto.Marshal(model)
	if err != nil {
		c.log.Error().Str("event", "encode-failed").Str("channel", learntChannel).Err(err).Msg("the next leader learns again")
		return
	}
	for _, vm := range c.members() {
		if vm != c.settings.GetId() {
			c.transport.Send(vm, learntChannel, payload)
		}
	}
}

func (c *Control) learnt(from string, payload []byte) {
	model := &pb.PressureModel{}
	if err := proto.Unmarshal(payload, model); err != nil {
		c.log.Warn().Str("event", "malformed-message").Str("channel", learntChannel).Str("from", from).Err(err).Msg("")
		return
	}
	c.leader.SetPressureModel(model)
}

// members returns the ids of the VMs in the group.
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

// Leading reports whether this VM leads, for tests and metrics.
func (c *Control) Leading() bool { return c.leader.Term() != 0 }

// describe says what this VM knows of the group, for errors.
func (c *Control) describe() string {
	status := c.group.Status()
	return fmt.Sprintf("role %s, leader %q, term %d", status.Role, status.Leader, status.Term)
}
