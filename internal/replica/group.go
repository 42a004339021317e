package replica

import (
	"errors"
	"fmt"
	"regexp"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/lentilyard/lentilyard/internal/raft"
	"github.com/lentilyard/lentilyard/internal/wal"
)

// maxQueuedBytes bounds the received messages that wait for the control
// goroutine. It exceeds the append messages that a raft leader sends to one
// follower before it waits for an answer (8 MiB).
const maxQueuedBytes = 32 << 20

// After a snapshot, SnapshotEvery/retentionDivisor applied entries stay in
// memory, but no more of them than DefaultSnapshotBytes/retentionDivisor, so that
// a member that is slightly behind needs no snapshot.
const retentionDivisor = 4

// A snapshot for which the disk had no room is tried again after SnapshotEvery/snapshotRetryDivisor
// further entries.
const snapshotRetryDivisor = 10

var groupNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// Group is this VM's member of one raft group, with its log and state machine.
type Group struct {
	host    *Host
	cfg     GroupConfig
	channel string
	metrics *groupMetrics
	queued  atomic.Int64 // bytes of received messages that wait for the control goroutine
	status  atomic.Pointer[Status]
	// publishedProgress holds the progress of all members while this VM leads.
	publishedProgress atomic.Pointer[[]MemberProgress]

	watchMu  sync.Mutex
	watchers []func(Status)

	// The fields below are used by the control goroutine only.
	node               *raft.Node
	storage            storage
	initial            []byte // snapshot of the state machine before the first entry
	recoveredFromDisk  bool   // state machine was recovered from disk
	writeInProgress    bool
	snapshotInProgress bool
	discarding         bool
	otherGroupLogged   bool // message of another group was logged
	snapshotAt         uint64
	// appliedBytes is the size of the entries applied since the last snapshot began. lastQuarter is the index at which it reached three
	// quarters of DefaultSnapshotBytes; 0 before.
	appliedBytes      int
	lastQuarter       uint64
	waiters           map[uint64][]*waiter
	pendingReads      map[uint64]*waiter
	appliedWaiters    []appliedWaiter
	lastReadToken     uint64
	ticksSinceLeading int // ticks since this VM last led the group
	// diskFull is true while a write waits for room on the disk. ticksToHandover counts down to the next try to hand the leadership over.
	diskFull        bool
	ticksToHandover int
}

func newGroup(h *Host, cfg GroupConfig) (*Group, error) {
	if !groupNamePattern.MatchString(cfg.Name) || cfg.Machine == nil || len(cfg.Voters) == 0 && !cfg.Open {
		return nil, fmt.Errorf("a group needs a name of lower-case letters, digits, \"-\" and \".\" that starts with a letter or digit, a state machine and, unless it is open, at least one voter")
	}
	g := &Group{
		host: h, cfg: cfg, channel: "raft/" + cfg.Name, metrics: newGroupMetrics(cfg.Name),
		waiters: map[uint64][]*waiter{}, pendingReads: map[uint64]*waiter{},
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

// open opens the storage of the group and restores the state machine from the
// recovered snapshot.
func (g *Group) open() (*recoveredState, error) {
	if g.host.cfg.DataFolder == "" {
		g.storage = memoryStorage{}
		return &recoveredState{identity: newIdentity()}, nil
	}
	disk, state, err := g.openDisk()
	if err != nil {
		return nil, err
	}
	disk.onDiskFull = func(err error) { g.postResult(func() { g.setDiskFull(err) }) }
	g.storage = disk
	if state.snapshot != nil {
		if err := g.cfg.Machine.Restore(state.snapshot.GetData()); err != nil {
			return nil, fmt.Errorf("restore snapshot %d: %w", state.snapshot.GetIndex(), err)
		}
	}
	return state, nil
}

func (g *Group) startNode(state *recoveredState) error {
	voters := g.cfg.Voters
	if len(voters) == 0 {
		voters = state.initialVoters
	}
	node, err := raft.New(raft.Config{
		Self:           raft.ID{VM: g.host.cfg.ID, Incarnation: state.identity.GetIncarnation()},
		Boot:           state.identity.GetBoot(),
		Start:          state.identity.GetStart(),
		Restarted:      state.restarted,
		Voters:         voters,
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
	g.recoveredFromDisk = node.Status().Commit > 0
	g.snapshotAt = state.snapshot.GetIndex()
	g.publish(node.Status())
	return nil
}

// receive queues a message from another VM. The messenger calls it.
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

func (g *Group) tick() {
	g.node.Tick()
	g.ticksSinceLeading++
	if g.node.Role() == raft.Leader {
		g.ticksSinceLeading = 0
	}
	g.expireWaiters()
	g.publishProgress()
	g.handOverIfFull()
}

// advance processes the output of the raft node until no work is left or a
// write is in progress, then takes a snapshot if one is due and publishes the status.
func (g *Group) advance() {
	for g.host.fatal == nil && !g.discarding {
		r := g.node.Ready(!g.writeInProgress)
		if !g.processReady(r) {
			break
		}
	}
	status := g.node.Status()
	g.checkNode(&status)
	if !status.SnapshotPending { // the state machine has not reached Applied
		g.maybeSnapshot(status.Applied)
	}
	g.publish(g.node.Status())
}

// processReady carries out one Ready. It returns true if the node may have more
// work that can be done at once.
func (g *Group) processReady(r raft.Ready) bool {
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
	g.writeInProgress = true
	began := time.Now()
	g.storage.write(r, func(err error) {
		if !g.isInMemory() {
			g.recordSync(began, len(r.Entries))
		}
		g.postResult(func() { g.written(r, err) })
	})
	return !g.writeInProgress
}

// recordSync updates the metrics after a completed write and warns if the write
// was slow. It runs on the goroutine of the log.
func (g *Group) recordSync(began time.Time, entries int) {
	g.metrics.recordSync(began, entries)
	if took := time.Since(began); took > g.host.cfg.Election {
		g.host.cfg.Logger.Warn().Str("group", g.cfg.Name).Dur("took_ms", took).Int("entries", entries).
			Msg("writing and syncing the log took longer than the election timeout; commits wait for this disk")
	}
}

func (g *Group) isInMemory() bool { return g.host.cfg.DataFolder == "" }

// postResult runs f on the control goroutine. Storage in memory reports from
// within the call, so f runs at once; storage on disk reports from another
// goroutine, so f is queued in the mailbox.
func (g *Group) postResult(f func()) {
	if g.isInMemory() {
		f()
		return
	}
	g.host.mailbox.put(f)
}

// written handles the end of a write. Messages that depend on the write are sent
// only now.
func (g *Group) written(r raft.Ready, err error) {
	g.writeInProgress = false
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
	if g.appliedBytes += len(e.GetData()); g.lastQuarter == 0 && g.appliedBytes >= DefaultSnapshotBytes/retentionDivisor*(retentionDivisor-1) {
		g.lastQuarter = e.GetIndex()
	}
	g.resolve(e, result)
}

// restore installs a snapshot that the leader sent.
func (g *Group) restore(s *pb.RaftSnapshot) {
	if err := g.cfg.Machine.Restore(s.GetData()); err != nil {
		g.host.fail(fmt.Errorf("group %q: restore snapshot %d: %w", g.cfg.Name, s.GetIndex(), err))
		return
	}
	g.snapshotAt, g.appliedBytes, g.lastQuarter = s.GetIndex(), 0, 0
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

// maybeSnapshot begins a snapshot once SnapshotEvery entries, or DefaultSnapshotBytes of them, were applied since the last one.
func (g *Group) maybeSnapshot(applied uint64) {
	every := g.host.cfg.SnapshotEvery
	due := applied >= g.snapshotAt+every || g.appliedBytes >= DefaultSnapshotBytes
	if g.host.fatal != nil || g.discarding || g.snapshotInProgress || !due {
		return
	}
	compactTo := max(applied-min(applied, every/retentionDivisor), g.lastQuarter)
	g.snapshotAt, g.appliedBytes, g.lastQuarter = applied, 0, 0
	if g.isInMemory() {
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
	g.snapshotInProgress = true
	g.storage.saveSnapshot(meta, func(err error) {
		g.postResult(func() { g.snapshotSaved(compactTo, err) })
	})
}

func (g *Group) snapshotSaved(compactTo uint64, err error) {
	g.snapshotInProgress = false
	if errors.Is(err, wal.ErrDiskFull) {
		g.snapshotAt -= min(g.snapshotAt, g.host.cfg.SnapshotEvery-g.host.cfg.SnapshotEvery/snapshotRetryDivisor)
		g.host.cfg.Logger.Warn().Str("group", g.cfg.Name).Err(err).Msg("no room for a snapshot; it is taken later, and the log grows until then")
		return
	}
	if err != nil {
		g.host.fail(fmt.Errorf("group %q: save snapshot: %w", g.cfg.Name, err))
		return
	}
	g.metrics.snapshots.Inc()
	if !g.discarding {
		g.node.Compact(compactTo)
	}
}

// checkNode reacts to conditions that the raft node only reports: a violated
// invariant, an outdated disk and messages of another group.
func (g *Group) checkNode(status *raft.Status) {
	switch {
	case status.Fault != nil:
		g.host.fail(fmt.Errorf("group %q: %w", g.cfg.Name, status.Fault))
	case status.StaleDisk && !g.discarding && !g.writeInProgress && !g.snapshotInProgress:
		g.discard()
	case status.OtherGroup && !g.otherGroupLogged:
		g.otherGroupLogged = true
		g.host.cfg.Logger.Error().Str("group", g.cfg.Name).
			Msg("another VM belongs to a separately bootstrapped group of this name; empty the data folder of the VMs whose state should be discarded")
	}
}

// discard deletes the state of this member and rejoins under a new incarnation.
// It is called when the disk is older than what this member had acknowledged.
func (g *Group) discard() {
	g.host.cfg.Logger.Warn().Str("group", g.cfg.Name).Str("incarnation", g.node.Self().String()).
		Msg("the data folder holds an older state than this VM had before; it is discarded and the VM rejoins as learner")
	g.metrics.discards.Inc()
	g.discarding = true
	g.failAll(ErrNotLeader{})
	identity := newIdentity()
	g.storage.reset(identity, func(err error) {
		g.postResult(func() { g.discarded(identity, err) })
	})
}

// discarded restarts the member once the storage was reset.
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
	g.discarding = false
}
