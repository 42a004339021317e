package replica

import (
	"fmt"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/raft"
)

// maxQueuedBytes bounds the received messages that wait for the control
// goroutine. It exceeds what raft sends to one follower without an answer.
const maxQueuedBytes = 32 << 20

// keepFraction of SnapshotEvery is the number of applied entries kept in
// memory, so that a member slightly behind needs no snapshot.
const keepFraction = 4

var groupName = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// Group is this VM's member of a replicated group.
type Group struct {
	host    *Host
	cfg     GroupConfig
	channel string
	metrics *groupMetrics
	queued  atomic.Int64 // bytes of received messages
	status  atomic.Pointer[Status]
	// progress is published while this VM leads.
	progress atomic.Pointer[[]MemberProgress]

	watchMu  sync.Mutex
	watchers []func(Status)

	// The fields below belong to the control goroutine.
	node         *raft.Node
	storage      storage
	initial      []byte // state of the machine before the first entry
	recovered    bool   // the machine's state was recovered from disk
	writing      bool
	snapshotting bool
	restarting   bool
	otherGroup   bool // reported already
	snapshotAt   uint64
	waiters      map[uint64][]*waiter
	reads        map[uint64]*waiter
	confirmed    []confirmedRead
	nextRead     uint64
	idleTicks    int // ticks since this VM was last the leader
}

func newGroup(h *Host, cfg GroupConfig) (*Group, error) {
	if !groupName.MatchString(cfg.Name) || cfg.Machine == nil || len(cfg.Voters) == 0 && !cfg.Open {
		return nil, fmt.Errorf("a group needs a name of lower-case letters and digits, a state machine and at least one voter")
	}
	g := &Group{
		host: h, cfg: cfg, channel: "raft/" + cfg.Name, metrics: newGroupMetrics(cfg.Name),
		waiters: map[uint64][]*waiter{}, reads: map[uint64]*waiter{},
	}
	initial, err := cfg.Machine.Snapshot()
	if err != nil {
		return nil, fmt.Errorf("snapshot of the initial state: %w", err)
	}
	g.initial = initial
	state, err := g.open()
	if err != nil {
		return nil, err
	}
	if err := g.startNode(state); err != nil {
		_ = g.storage.close()
		return nil, err
	}
	return g, nil
}

func (g *Group) open() (*recoveredState, error) {
	if g.host.cfg.DataFolder == "" {
		g.storage = memoryStorage{}
		return &recoveredState{identity: newIdentity()}, nil
	}
	fs, err := g.host.cfg.openFS(groupFolder(g.host.cfg.DataFolder, g.cfg.Name))
	if err != nil {
		return nil, err
	}
	disk, state, err := openDisk(fs, g.cfg.Open)
	if err != nil {
		return nil, err
	}
	g.storage = disk
	if state.snapshot != nil {
		if err := g.cfg.Machine.Restore(state.snapshot.GetData()); err != nil {
			return nil, fmt.Errorf("restore snapshot %d: %w", state.snapshot.GetIndex(), err)
		}
	}
	return state, nil
}

func (g *Group) startNode(state *recoveredState) error {
	node, err := raft.New(raft.Config{
		Self:           raft.ID{VM: g.host.cfg.ID, Incarnation: state.identity.GetIncarnation()},
		Boot:           state.identity.GetBoot(),
		Start:          state.identity.GetStart(),
		Restarted:      state.restarted,
		Voters:         g.cfg.Voters,
		Learners:       g.cfg.Learners,
		Open:           g.cfg.Open,
		Contacts:       g.cfg.Contacts,
		MinVoters:      g.cfg.MinVoters,
		ElectionTicks:  int((g.host.cfg.Election + g.host.tick - 1) / g.host.tick),
		HeartbeatTicks: ticksPerHeartbeat,
		Random:         func(n uint64) uint64 { return randomNonZero() % n },
		HardState:      state.hardState,
		Snapshot:       state.snapshot,
		Entries:        state.entries,
	})
	if err != nil {
		return err
	}
	g.node = node
	g.recovered = node.Status().Commit > 0
	g.snapshotAt = state.snapshot.GetIndex()
	g.publish(node.Status())
	return nil
}

// receive is called by the messenger.
func (g *Group) receive(from string, payload []byte) {
	m := &pb.RaftMessage{}
	if err := proto.Unmarshal(payload, m); err != nil || m.GetFrom().GetVm() != from {
		messagesRefused.Inc()
		return
	}
	size := int64(len(payload))
	if g.queued.Add(size) > maxQueuedBytes {
		g.queued.Add(-size)
		messagesDropped.Inc()
		return
	}
	if !g.host.post(func() { g.queued.Add(-size); g.node.Step(m) }) {
		g.queued.Add(-size)
	}
}

func (g *Group) tickOnce() {
	g.node.Tick()
	g.idleTicks++
	if g.node.Role() == raft.Leader {
		g.idleTicks = 0
	}
	g.expireWaiters()
	g.publishProgress()
}

// advance carries out everything that the raft node has to be done.
func (g *Group) advance() {
	for g.host.fatal == nil && !g.restarting {
		r := g.node.Ready(!g.writing)
		if !g.handle(r) {
			break
		}
	}
	status := g.node.Status()
	g.checkNode(&status)
	g.maybeSnapshot(status.Applied)
	g.publish(g.node.Status())
}

// handle carries out one Ready. It returns true if that may have caused more work.
func (g *Group) handle(r raft.Ready) bool {
	if r.Snapshot != nil {
		g.restore(r.Snapshot)
	}
	g.send(r.Messages)
	for _, e := range r.Committed {
		g.apply(e)
	}
	g.finishReads(r.Reads)
	if r.SnapshotWanted {
		g.provideSnapshot()
	}
	if !r.MustSync() {
		g.send(r.AfterSync)
		return len(r.Committed) > 0 || r.SnapshotWanted
	}
	g.writing = true
	began := time.Now()
	g.storage.write(r, func(err error) {
		if !g.inMemory() {
			g.synced(began, len(r.Entries))
		}
		g.report(func() { g.written(r, err) })
	})
	return !g.writing
}

// synced records a completed write. It is called from the goroutine of the log.
func (g *Group) synced(began time.Time, entries int) {
	g.metrics.synced(began, entries)
	if took := time.Since(began); took > g.host.cfg.Election {
		g.host.cfg.Logger.Warn().Str("group", g.cfg.Name).Dur("took_ms", took).Int("entries", entries).
			Msg("writing and syncing the log took longer than the election timeout; commits wait for this disk")
	}
}

func (g *Group) inMemory() bool { return g.host.cfg.DataFolder == "" }

// report runs f on the control goroutine: at once for storage in memory, which
// calls back from within the call, else through the mailbox.
func (g *Group) report(f func()) {
	if g.inMemory() {
		f()
		return
	}
	g.host.box.put(f)
}

// written handles the end of a write: only now may anything that relies on it be sent.
func (g *Group) written(r raft.Ready, err error) {
	g.writing = false
	if err != nil {
		g.host.fail(fmt.Errorf("group %q: write log: %w", g.cfg.Name, err))
		return
	}
	g.send(r.AfterSync)
	g.node.Persisted(r.Write)
}

func (g *Group) send(messages []*pb.RaftMessage) {
	for _, m := range messages {
		payload, err := proto.Marshal(m)
		if err != nil {
			g.host.fail(fmt.Errorf("group %q: encode message: %w", g.cfg.Name, err))
			return
		}
		g.host.cfg.Messenger.Send(m.GetTo().GetVm(), g.channel, payload)
	}
}

func (g *Group) apply(e *pb.RaftEntry) {
	var result any
	if e.GetType() == pb.RaftEntryType_RAFT_ENTRY_TYPE_COMMAND {
		result = g.cfg.Machine.Apply(e.GetIndex(), e.GetTerm(), e.GetData())
	}
	g.resolve(e, result)
}

// restore installs a snapshot of the leader.
func (g *Group) restore(s *pb.RaftSnapshot) {
	if err := g.cfg.Machine.Restore(s.GetData()); err != nil {
		g.host.fail(fmt.Errorf("group %q: restore snapshot %d: %w", g.cfg.Name, s.GetIndex(), err))
		return
	}
	g.snapshotAt = s.GetIndex()
	g.metrics.installed.Inc()
	g.abandonWaiters(s.GetIndex())
	g.host.cfg.Logger.Info().Str("group", g.cfg.Name).Uint64("index", s.GetIndex()).Int("bytes", len(s.GetData())).Msg("snapshot installed")
}

func (g *Group) provideSnapshot() {
	data, err := g.cfg.Machine.Snapshot()
	if err != nil {
		g.host.fail(fmt.Errorf("group %q: snapshot: %w", g.cfg.Name, err))
		return
	}
	g.node.ProvideSnapshot(data)
}

// maybeSnapshot begins a snapshot once enough entries were applied since the last one.
func (g *Group) maybeSnapshot(applied uint64) {
	every := g.host.cfg.SnapshotEvery
	if g.host.fatal != nil || g.restarting || g.snapshotting || applied < g.snapshotAt+every {
		return
	}
	g.snapshotAt = applied
	compactTo := applied - every/keepFraction
	if g.inMemory() {
		g.node.Compact(compactTo)
		return
	}
	data, err := g.cfg.Machine.Snapshot()
	if err != nil {
		g.host.fail(fmt.Errorf("group %q: snapshot: %w", g.cfg.Name, err))
		return
	}
	meta := g.node.SnapshotMeta()
	meta.Data = data
	g.snapshotting = true
	g.storage.saveSnapshot(meta, func(err error) {
		g.report(func() { g.snapshotSaved(compactTo, err) })
	})
}

func (g *Group) snapshotSaved(compactTo uint64, err error) {
	g.snapshotting = false
	if err != nil {
		g.host.fail(fmt.Errorf("group %q: save snapshot: %w", g.cfg.Name, err))
		return
	}
	g.metrics.snapshots.Inc()
	if !g.restarting {
		g.node.Compact(compactTo)
	}
}

// checkNode reacts to conditions that the raft node cannot handle itself.
func (g *Group) checkNode(status *raft.Status) {
	switch {
	case status.Fault != nil:
		g.host.fail(fmt.Errorf("group %q: %w", g.cfg.Name, status.Fault))
	case status.StaleDisk && !g.restarting && !g.writing && !g.snapshotting:
		g.discard()
	case status.OtherGroup && !g.otherGroup:
		g.otherGroup = true
		g.host.cfg.Logger.Error().Str("group", g.cfg.Name).
			Msg("another VM belongs to a separately bootstrapped group of this name; empty the data folder of the VMs whose state is to be given up")
	}
}

// discard gives up state that is older than what this member had acknowledged,
// and rejoins under a new incarnation.
func (g *Group) discard() {
	g.host.cfg.Logger.Warn().Str("group", g.cfg.Name).Str("incarnation", g.node.Self().String()).
		Msg("the data folder holds an older state than this VM had before; it is discarded and the VM rejoins as learner")
	g.metrics.discards.Inc()
	g.restarting = true
	g.failAll(ErrNotLeader{})
	identity := newIdentity()
	g.storage.restart(identity, func(err error) {
		g.report(func() { g.discarded(identity, err) })
	})
}

func (g *Group) discarded(identity *pb.RaftIdentity, err error) {
	if err == nil {
		err = g.cfg.Machine.Restore(g.initial)
	}
	if err == nil {
		err = g.startNode(&recoveredState{identity: identity})
	}
	if err != nil {
		g.host.fail(fmt.Errorf("group %q: discard old state: %w", g.cfg.Name, err))
		return
	}
	g.restarting = false
}
