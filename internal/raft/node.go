package raft

import (
	"fmt"
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Node is one member of a group. It must be used from one goroutine.
type Node struct {
	cfg  Config
	self ID

	term        uint64
	vote        ID
	role        Role
	leader      ID
	log         *entryLog
	memberships []*membership

	now              int
	leaderHeard      int // tick of the last message of the leader
	electionStart    int
	electionTimeout  int
	heartbeatElapsed int
	heartbeats       uint64
	votes            map[ID]bool

	// Leader only.
	progress         map[ID]*progress
	termStart        uint64
	uncommittedBytes int
	transferee       ID
	transferStart    int
	timeoutNowSent   bool
	joiners          []ID
	round            uint64
	roundActive      bool
	reads            []pendingRead
	snapshot         *pb.RaftSnapshot
	snapshotWanted   bool

	identity identityState
	incoming *pb.RaftSnapshot // snapshot being received
	// caughtUpAt is the commit index of a leader at which this node first held
	// everything; 0 before that.
	caughtUpAt uint64

	pending      pendingWork
	inWrite      writeInFlight
	writes       uint64
	persisted    uint64 // term that is known to be persisted
	hardStateNew bool
	fault        error // set when an invariant does not hold; the node then does nothing
}

type pendingRead struct {
	token, round uint64
}

// pendingWork is collected between two calls of Ready.
type pendingWork struct {
	snapshot  *pb.RaftSnapshot
	messages  []*pb.RaftMessage
	afterSync []*pb.RaftMessage
	reads     []Read
}

type writeInFlight struct {
	write, index, indexTerm, term, confirmedBoot uint64
}

// New returns a node in the recovered state.
func New(cfg Config) (*Node, error) {
	if cfg.Self.VM == "" || cfg.Self.Incarnation == 0 || cfg.Boot == 0 || cfg.Start == 0 {
		return nil, fmt.Errorf("raft needs a VM id, an incarnation, a boot counter and a start value, got %v boot %d start %d", cfg.Self, cfg.Boot, cfg.Start)
	}
	if cfg.ElectionTicks <= cfg.HeartbeatTicks*learnerHeartbeatRatio || cfg.HeartbeatTicks < 1 {
		return nil, fmt.Errorf("election timeout of %d ticks must exceed %d heartbeats of %d ticks", cfg.ElectionTicks, learnerHeartbeatRatio, cfg.HeartbeatTicks)
	}
	log, err := newEntryLog(cfg.Snapshot, cfg.Entries, cfg.HardState.GetCommit())
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, self: cfg.Self, log: log, term: cfg.HardState.GetTerm(), vote: idOf(cfg.HardState.GetVote())}
	n.persisted = n.term
	n.hardStateNew = cfg.HardState == nil
	n.memberships = []*membership{parseMembership(cfg.Snapshot.GetIndex(), cfg.Snapshot.GetMembership())}
	for _, e := range log.entries {
		n.noteMembership(e)
	}
	n.startIdentity()
	n.role = Learner
	if n.current().isVoter(n.self) {
		n.role = Follower
	}
	n.resetElectionTimer()
	if n.isOnlyVoter() {
		n.electionTimeout = 1 // there is no other leader to wait for
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
	if n.leader != (ID{}) && n.now-n.leaderHeard > 2*n.cfg.ElectionTicks {
		n.leader = ID{}
	}
	if n.now-n.electionStart >= n.electionTimeout {
		n.resetElectionTimer()
		n.preCampaign()
	}
}

func (n *Node) tickLeader() {
	if !n.current().quorum(n.heardRecently) {
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

// heardRecently reports whether a member answered within the shortest election timeout.
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
	n.appendOwn(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_COMMAND, Data: data})
	return n.log.last(), n.term, nil
}

func (n *Node) appendOwn(e *pb.RaftEntry) {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.append(e)
	n.noteMembership(e)
}

// Compact drops entries up to index, which must be covered by a persisted snapshot.
func (n *Node) Compact(index uint64) {
	index = min(index, n.log.applied, n.log.stable)
	n.forgetMembershipsBefore(index)
	maps.DeleteFunc(n.identity.marks, func(id ID, _ mark) bool { return !n.isKnown(id) })
	n.log.compact(index)
}

// SnapshotMeta returns term and membership at the applied index, for a snapshot of the state machine.
func (n *Node) SnapshotMeta() *pb.RaftSnapshot {
	applied := n.log.applied
	return &pb.RaftSnapshot{Index: applied, Term: n.log.term(applied), Membership: n.membershipAt(applied).source}
}

// halted reports whether the node must not act on its state any more.
func (n *Node) halted() bool { return n.identity.stale || n.fault != nil }

// HardState returns the state to persist at the head of a log.
func (n *Node) HardState() *pb.RaftHardState {
	return &pb.RaftHardState{Term: n.term, Vote: n.vote.proto(), Commit: n.log.commit, Marks: n.markList(), ConfirmedBoot: n.identity.confirmedBoot}
}

// Progress returns what the leader knows of each member; nil on other nodes.
func (n *Node) Progress() []MemberProgress {
	if n.role != Leader {
		return nil
	}
	m := n.current()
	list := make([]MemberProgress, 0, len(m.order))
	for _, id := range m.order {
		known := MemberProgress{ID: id, Voter: m.isVoter(id), Match: n.log.stable, Applied: n.log.applied, Reachable: true}
		if pr := n.progress[id]; id != n.self && pr != nil {
			known.Match, known.Applied, known.Reachable = pr.match, pr.applied, n.heardRecently(id)
		}
		list = append(list, known)
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
		Confirmed: n.identity.confirmed, StaleDisk: n.identity.stale, OtherGroup: n.identity.otherGroup, CaughtUp: n.caughtUpAt > 0 && n.log.applied >= n.caughtUpAt, Fault: n.fault,
	}
}

// Ready returns the work that has come up. State to persist, and messages that
// wait for it, are included only if canPersist is true and the previous write
// has been reported with Persisted.
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
	if canPersist && n.inWrite.write == 0 {
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

func (n *Node) collectWrite(r *Ready) {
	r.AfterSync, n.pending.afterSync = n.pending.afterSync, nil
	r.Entries = slices.Clone(n.log.slice(n.log.handed, n.log.last()))
	if !n.hardStateNew && len(r.Entries) == 0 && r.Snapshot == nil {
		return
	}
	n.log.handed = n.log.last()
	r.Commit = n.log.commit
	if n.hardStateNew {
		r.HardState = n.HardState()
	}
	n.hardStateNew = false
	n.writes++
	r.Write = n.writes
	n.inWrite = writeInFlight{write: r.Write, index: n.log.last(), indexTerm: n.log.lastTerm(), term: n.term, confirmedBoot: n.identity.confirmedBoot}
}

// Persisted reports that the write of a Ready is synced.
func (n *Node) Persisted(write uint64) {
	if write == 0 || write != n.inWrite.write {
		return
	}
	w := n.inWrite
	n.inWrite = writeInFlight{}
	n.persisted = w.term
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

// takeCommitted returns entries that are committed and persisted here.
func (n *Node) takeCommitted() []*pb.RaftEntry {
	upTo := min(n.log.commit, n.log.stable)
	entries := n.log.slice(n.log.applied, upTo)
	n.log.applied = max(n.log.applied, upTo)
	n.forgetMembershipsBefore(n.log.baseIndex)
	return entries
}

func (n *Node) commitTo(index uint64) {
	if index <= n.log.commit {
		return
	}
	n.log.commit = min(index, n.log.last())
}

// message returns a message from this node to a member.
func (n *Node) message(kind pb.RaftMessageType, to ID) *pb.RaftMessage {
	return &pb.RaftMessage{
		Type: kind, From: n.self.proto(), To: to.proto(), Boot: n.cfg.Boot, Start: n.cfg.Start, Term: n.term,
		GroupId: n.current().source.GetGroupId(), Unconfirmed: !n.identity.confirmed,
	}
}

// send queues a message that promises nothing. It still waits for a sync while
// the term in it is not persisted, since peers record the terms they see.
func (n *Node) send(m *pb.RaftMessage) {
	if n.persisted != n.term {
		n.sendAfterSync(m)
		return
	}
	n.pending.messages = append(n.pending.messages, m)
}

// sendAfterSync queues a message that relies on state that may not be persisted yet.
func (n *Node) sendAfterSync(m *pb.RaftMessage) {
	n.pending.afterSync = append(n.pending.afterSync, m)
}
