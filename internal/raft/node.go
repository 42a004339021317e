package raft

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Node is one member of a Raft group. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	self ID

	term        uint64
	vote        ID
	role        Role
	leader      ID
	log         *entryLog
	memberships []*membership

	// now counts the ticks since the node was created.
	now                int
	lastLeaderContact  int // tick of the last message from the leader
	electionTimerStart int // tick at which the election timer was reset
	electionTimeout    int
	heartbeatElapsed   int
	heartbeatCount     uint64
	votes              map[ID]bool // answers to the current vote or pre-vote requests

	// The following fields are used on the leader only.
	progress         map[ID]*progress
	termStartIndex   uint64 // index of the first entry of the term
	uncommittedBytes int
	transferee       ID // voter that is to take over the leadership, if any
	transferStart    int
	timeoutNowSent   bool
	pendingJoins     []ID
	readRound        uint64
	readRoundActive  bool
	pendingReads     []pendingRead
	outgoingSnapshot *pb.RaftSnapshot
	snapshotWanted   bool

	identity         identityState
	incomingSnapshot *pb.RaftSnapshot // snapshot that is being received
	// caughtUpIndex is the commit index of a leader at the moment when this node first held
	// everything committed; 0 before that.
	caughtUpIndex uint64

	pending          pendingWork
	currentWrite     writeInFlight
	lastWriteID      uint64
	persistedTerm    uint64 // highest term known to be persisted
	hardStateChanged bool   // the next write must include the hard state
	fault            error  // set once an invariant is violated; the node then does nothing more
}

// pendingRead is a read that waits until a quorum has answered a heartbeat of its round.
type pendingRead struct {
	token, round uint64
}

// pendingWork collects results between two calls of Ready.
type pendingWork struct {
	snapshot  *pb.RaftSnapshot
	messages  []*pb.RaftMessage
	afterSync []*pb.RaftMessage
	reads     []Read
}

// writeInFlight describes the state included in a write that is not yet reported with Persisted.
// The id is 0 if there is none.
type writeInFlight struct {
	id, index, indexTerm, term, confirmedBoot uint64
}

// New returns a node that continues from the recovered state in cfg.
func New(cfg Config) (*Node, error) {
	if cfg.Self.VM == "" || cfg.Self.Incarnation == 0 || cfg.Boot == 0 || cfg.Start == 0 {
		return nil, fmt.Errorf("raft config: VM id, incarnation, boot counter and start value must be set, got %v boot %d start %d", cfg.Self, cfg.Boot, cfg.Start)
	}
	if cfg.ElectionTicks <= cfg.HeartbeatTicks*learnerHeartbeatRatio || cfg.HeartbeatTicks < 1 {
		return nil, fmt.Errorf("raft config: election timeout of %d ticks must exceed %d heartbeat intervals of %d ticks", cfg.ElectionTicks, learnerHeartbeatRatio, cfg.HeartbeatTicks)
	}
	log, err := newEntryLog(cfg.Snapshot, cfg.Entries, cfg.HardState.GetCommit())
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, self: cfg.Self, log: log, term: cfg.HardState.GetTerm(), vote: idOf(cfg.HardState.GetVote())}
	n.persistedTerm = n.term
	n.hardStateChanged = cfg.HardState == nil
	n.memberships = []*membership{parseMembership(cfg.Snapshot.GetIndex(), cfg.Snapshot.GetMembership())}
	for _, e := range log.entries {
		n.adoptMembership(e)
	}
	n.initIdentity()
	n.role = Learner
	if n.current().isVoter(n.self) {
		n.role = Follower
	}
	n.resetElectionTimer()
	if n.isOnlyVoter() {
		n.electionTimeout = 1 // no other VM can be leader
	}
	return n, nil
}

// Tick advances the node's clock by one tick.
func (n *Node) Tick() {
	n.now++
	if n.halted() {
		return
	}
	n.tickIdentity()
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.leader != (ID{}) && n.now-n.lastLeaderContact > 2*n.cfg.ElectionTicks {
		n.leader = ID{}
	}
	if n.now-n.electionTimerStart >= n.electionTimeout {
		n.resetElectionTimer()
		n.preCampaign()
	}
}

// tickLeader steps down if no quorum has answered recently, ends an overdue leadership transfer
// and sends heartbeats.
func (n *Node) tickLeader() {
	if !n.current().hasQuorum(n.heardRecently) {
		n.becomeFollower(n.term, ID{})
		return
	}
	if n.transferee != (ID{}) && n.now-n.transferStart >= n.cfg.ElectionTicks {
		n.transferee = ID{}
	}
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= n.cfg.HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.broadcastHeartbeat(false)
		n.changeMembership()
	}
}

// heardRecently reports whether a member has answered within the shortest election timeout.
func (n *Node) heardRecently(id ID) bool {
	if id == n.self {
		return true
	}
	pr := n.progress[id]
	return pr != nil && n.now-pr.lastHeard <= n.cfg.ElectionTicks
}

// Propose appends an entry on the leader and returns its index and term.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if n.transferee != (ID{}) || n.uncommittedBytes > maxUncommittedBytes {
		return 0, 0, ErrBusy
	}
	n.uncommittedBytes += len(data)
	n.appendEntry(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_COMMAND, Data: data})
	return n.log.last(), n.term, nil
}

// appendEntry appends an entry of the current term to the log. A membership entry takes effect at
// once.
func (n *Node) appendEntry(e *pb.RaftEntry) {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.append(e)
	n.adoptMembership(e)
}

// Compact drops the entries up to index, which a persisted snapshot must cover.
func (n *Node) Compact(index uint64) {
	index = min(index, n.log.applied, n.log.stable)
	n.pruneMemberships(index)
	maps.DeleteFunc(n.identity.peerRecords, func(id ID, _ peerRecord) bool { return !n.inAnyMembership(id) })
	n.log.compact(index)
}

// SnapshotMeta returns a snapshot without data for the applied index: its index, term and
// membership.
func (n *Node) SnapshotMeta() *pb.RaftSnapshot {
	applied := n.log.applied
	return &pb.RaftSnapshot{Index: applied, Term: n.log.term(applied), Membership: n.membershipAt(applied).source}
}

// halted reports whether the node has stopped, because its disk is stale or an invariant is
// violated.
func (n *Node) halted() bool { return n.identity.staleDisk || n.fault != nil }

// HardState returns the current hard state, which the caller writes at the start of each log
// segment.
func (n *Node) HardState() *pb.RaftHardState {
	return &pb.RaftHardState{Term: n.term, Vote: n.vote.proto(), Commit: n.log.commit, Marks: n.peerRecordList(), ConfirmedBoot: n.identity.confirmedBoot}
}

// Progress returns the leader's view of each member, and nil on other nodes.
func (n *Node) Progress() []MemberProgress {
	if n.role != Leader {
		return nil
	}
	m := n.current()
	list := make([]MemberProgress, 0, len(m.ids))
	for _, id := range m.ids {
		member := MemberProgress{ID: id, Voter: m.isVoter(id), Match: n.log.stable, Applied: n.log.applied, Reachable: true}
		if pr := n.progress[id]; id != n.self && pr != nil {
			member.Match, member.Applied, member.Reachable = pr.match, pr.applied, n.heardRecently(id)
		}
		list = append(list, member)
	}
	return list
}

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Self returns the ID of this node.
func (n *Node) Self() ID { return n.self }

// Status returns a copy of the observable state.
func (n *Node) Status() Status {
	m := n.current()
	return Status{
		Role: n.role, Leader: n.leader, Term: n.term, Commit: n.log.commit, Applied: n.log.applied, Last: n.log.last(),
		Voters: m.voters, Learners: m.learners,
		Confirmed: n.identity.confirmed, SnapshotPending: n.pending.snapshot != nil, StaleDisk: n.identity.staleDisk, OtherGroup: n.identity.otherGroup, CaughtUp: n.caughtUpIndex > 0 && n.log.applied >= n.caughtUpIndex, Fault: n.fault,
	}
}

// Ready returns the work that has accumulated since the last call. State to persist, and messages
// that wait for it, are included only if canPersist is true and the previous write has been
// reported with Persisted.
func (n *Node) Ready(canPersist bool) Ready {
	if n.halted() {
		n.pending = pendingWork{}
		return Ready{}
	}
	if n.role == Leader {
		n.replicate()
	}
	r := Ready{Messages: n.pending.messages, Reads: n.pending.reads, Snapshot: n.pending.snapshot}
	n.pending.messages, n.pending.reads, n.pending.snapshot = nil, nil, nil
	if canPersist && n.currentWrite.id == 0 {
		n.collectWrite(&r)
	} else if r.Snapshot != nil {
		n.pending.snapshot, r.Snapshot = r.Snapshot, nil
	}
	if n.pending.snapshot == nil {
		r.Committed = n.takeCommitted()
	}
	r.SnapshotWanted, n.snapshotWanted = n.snapshotWanted, false
	return r
}

// collectWrite adds the state to persist and the messages that wait for its sync.
func (n *Node) collectWrite(r *Ready) {
	r.AfterSync, n.pending.afterSync = n.pending.afterSync, nil
	r.Entries = slices.Clone(n.log.slice(n.log.submitted, n.log.last()))
	if !n.hardStateChanged && len(r.Entries) == 0 && r.Snapshot == nil {
		return
	}
	n.log.submitted = n.log.last()
	r.Commit = n.log.commit
	if n.hardStateChanged {
		r.HardState = n.HardState()
	}
	n.hardStateChanged = false
	n.lastWriteID++
	r.Write = n.lastWriteID
	n.currentWrite = writeInFlight{id: r.Write, index: n.log.last(), indexTerm: n.log.lastTerm(), term: n.term, confirmedBoot: n.identity.confirmedBoot}
}

// Persisted reports that the given write of a Ready is synced.
func (n *Node) Persisted(write uint64) {
	if write == 0 || write != n.currentWrite.id {
		return
	}
	w := n.currentWrite
	n.currentWrite = writeInFlight{}
	n.persistedTerm = w.term
	n.identity.confirmed = n.identity.confirmed || w.confirmedBoot == n.cfg.Boot
	if n.log.holds(w.index, w.indexTerm) {
		n.log.stable = max(n.log.stable, w.index)
	}
	switch {
	case n.role == Candidate && w.term == n.term:
		n.countVote(n.self, true)
	case n.role == Leader:
		n.advanceCommit()
	}
}

// takeCommitted returns the entries that are committed and persisted on this node but not yet
// applied, and marks them as applied.
func (n *Node) takeCommitted() []*pb.RaftEntry {
	upTo := min(n.log.commit, n.log.stable)
	entries := n.log.slice(n.log.applied, upTo)
	n.log.applied = max(n.log.applied, upTo)
	n.pruneMemberships(n.log.baseIndex)
	return entries
}

// commitTo raises the commit index, at most to the end of the log.
func (n *Node) commitTo(index uint64) {
	if index <= n.log.commit {
		return
	}
	n.log.commit = min(index, n.log.last())
}

// message returns a message of the given type from this node to a member.
func (n *Node) message(kind pb.RaftMessageType, to ID) *pb.RaftMessage {
	return &pb.RaftMessage{
		Type: kind, From: n.self.proto(), To: to.proto(), Boot: n.cfg.Boot, Start: n.cfg.Start, Term: n.term,
		GroupId: n.current().source.GetGroupId(), Unconfirmed: !n.identity.confirmed,
	}
}

// send queues a message that does not rely on unsynced state. While the current term is not
// persisted the message still waits for the sync, since peers record the terms that they see.
func (n *Node) send(m *pb.RaftMessage) {
	if n.persistedTerm != n.term {
		n.sendAfterSync(m)
		return
	}
	n.pending.messages = append(n.pending.messages, m)
}

// sendAfterSync queues a message that may rely on state which is not persisted yet.
func (n *Node) sendAfterSync(m *pb.RaftMessage) {
	n.pending.afterSync = append(n.pending.afterSync, m)
}
