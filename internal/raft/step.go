package raft

import (
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Step handles a message from another member.
func (n *Node) Step(m *pb.RaftMessage) {
	from, to := idOf(m.GetFrom()), idOf(m.GetTo())
	if n.halted() || to.VM != n.self.VM || to.Incarnation != 0 && to != n.self {
		return
	}
	if !n.checkGroup(m) || n.fromSupersededBootstrap(from) || !n.checkSenderBoot(from, m) {
		return
	}
	if n.stepWithoutTerm(from, m) {
		return
	}
	switch {
	case m.GetTerm() > n.term:
		if !n.adoptHigherTerm(from, m) {
			return
		}
	case m.GetTerm() < n.term:
		n.rejectStaleTerm(from, m)
		return
	}
	n.stepCurrentTerm(from, m)
}

// checkGroup reports whether a message may belong to the group of this node. It rejects messages
// of a group that was bootstrapped separately.
func (n *Node) checkGroup(m *pb.RaftMessage) bool {
	groupID := n.current().source.GetGroupId()
	if groupID == 0 || m.GetGroupId() == 0 || groupID == m.GetGroupId() {
		return true
	}
	n.identity.otherGroup = true
	return false
}

// stepWithoutTerm handles the message types that do not depend on the sender's term. It returns
// false for all other types.
func (n *Node) stepWithoutTerm(from ID, m *pb.RaftMessage) bool {
	switch m.GetType() {
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE:
		n.stepPreVote(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_ANSWER:
		n.stepPreVoteAnswer(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_JOIN:
		n.stepJoin(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_CHECK:
		n.stepBootCheck(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_ANSWER:
		n.stepBootAnswer(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOTSTRAP:
		n.stepBootstrap(from)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOTSTRAP_ANSWER:
		n.stepBootstrapAnswer(from, m)
	default:
		return false
	}
	return true
}

// isLeaderMessage reports whether only a leader sends messages of this type.
func isLeaderMessage(kind pb.RaftMessageType) bool {
	switch kind {
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		return true
	}
	return false
}

// adoptHigherTerm adopts the term of a message. It returns false without doing so for a vote
// request while a leader was heard from recently, unless the request belongs to a leadership
// transfer.
func (n *Node) adoptHigherTerm(from ID, m *pb.RaftMessage) bool {
	if m.GetType() == pb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE && n.hasRecentLeader() && !m.GetTransfer() {
		return false
	}
	leader := ID{}
	if isLeaderMessage(m.GetType()) {
		leader = from
	}
	n.becomeFollower(m.GetTerm(), leader)
	return true
}

// rejectStaleTerm tells a leader of an earlier term that there is a higher one.
func (n *Node) rejectStaleTerm(from ID, m *pb.RaftMessage) {
	if !isLeaderMessage(m.GetType()) || !n.current().isMember(from) {
		return
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_ANSWER, from)
	answer.Reject = true
	n.sendAfterSync(answer)
}

// stepCurrentTerm handles a message of the current term.
func (n *Node) stepCurrentTerm(from ID, m *pb.RaftMessage) {
	if isLeaderMessage(m.GetType()) && !n.acceptLeader(from) {
		return
	}
	switch m.GetType() {
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE:
		n.stepVote(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_ANSWER:
		n.stepVoteAnswer(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND:
		n.stepAppend(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT:
		n.stepHeartbeat(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT:
		n.stepSnapshot(from, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		n.stepTimeoutNow(from)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_ANSWER,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_ANSWER:
		n.stepAnswer(from, m)
	}
}

// acceptLeader records contact from the leader of the current term. It returns false if another
// leader of this term is known, which violates election safety.
func (n *Node) acceptLeader(from ID) bool {
	if n.role == Leader || n.leader != (ID{}) && n.leader != from {
		n.fault = fmt.Errorf("election safety violated: both %v and %v are leaders of term %d", n.leader, from, n.term)
		return false
	}
	if n.leader != from || n.role == Candidate || n.role == PreCandidate {
		n.becomeFollower(n.term, from)
	}
	n.lastLeaderContact = n.now
	n.electionTimerStart = n.now
	return true
}

// stepAppend appends the leader's entries if the log contains the entry that precedes them, and
// otherwise answers where both logs may agree.
func (n *Node) stepAppend(from ID, m *pb.RaftMessage) {
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER, from)
	switch {
	case m.GetIndex() < n.log.commit:
		answer.Index = n.log.commit
	case !n.log.holds(m.GetIndex(), m.GetIndexTerm()):
		answer.Reject = true
		answer.Round = m.GetIndex()
		answer.Index, answer.IndexTerm = n.log.findConflictByTerm(m.GetIndex(), m.GetIndexTerm())
	default:
		n.appendLeaderEntries(m.GetEntries())
		answer.Index = m.GetIndex() + uint64(len(m.GetEntries()))
		n.commitTo(min(m.GetCommit(), answer.GetIndex()))
	}
	n.recordCaughtUp(m.GetCommit())
	n.sendAfterSync(answer)
}

// appendLeaderEntries appends the leader's entries that the log lacks and first removes
// conflicting ones.
func (n *Node) appendLeaderEntries(entries []*pb.RaftEntry) {
	for i, e := range entries {
		if n.log.holds(e.GetIndex(), e.GetTerm()) {
			continue
		}
		if e.GetIndex() <= n.log.commit {
			n.fault = fmt.Errorf("the leader's log conflicts with committed entry %d: its term is %d here and %d on the leader",
				e.GetIndex(), n.log.term(e.GetIndex()), e.GetTerm())
			return
		}
		if e.GetIndex() <= n.log.last() {
			n.log.truncateAfter(e.GetIndex() - 1)
			n.revertMembershipsAfter(e.GetIndex() - 1)
		}
		n.log.append(entries[i:]...)
		for _, added := range entries[i:] {
			n.adoptMembership(added)
		}
		return
	}
}

// recordCaughtUp records when this node first holds everything that the leader has committed.
func (n *Node) recordCaughtUp(commit uint64) {
	if n.caughtUpIndex == 0 && n.log.commit >= commit && n.current().isMember(n.self) {
		n.caughtUpIndex = commit
	}
}

func (n *Node) stepHeartbeat(from ID, m *pb.RaftMessage) {
	if n.log.holds(m.GetCommit(), m.GetIndexTerm()) {
		n.commitTo(m.GetCommit())
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_ANSWER, from)
	answer.Round = m.GetRound()
	answer.Commit = n.log.applied
	n.send(answer)
}

// stepSnapshot collects the chunks of a snapshot and installs the snapshot when it is complete.
func (n *Node) stepSnapshot(from ID, m *pb.RaftMessage) {
	c := m.GetChunk()
	if n.log.holds(c.GetIndex(), c.GetTerm()) {
		// The log already contains what the snapshot covers. Entries after it may have
		// been acknowledged and must not be discarded.
		n.commitTo(c.GetIndex())
	}
	if c.GetIndex() <= n.log.commit {
		answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER, from)
		answer.Index = n.log.commit
		n.sendAfterSync(answer)
		return
	}
	if n.incomingSnapshot.GetIndex() != c.GetIndex() || n.incomingSnapshot.GetTerm() != c.GetTerm() {
		n.incomingSnapshot = &pb.RaftSnapshot{Index: c.GetIndex(), Term: c.GetTerm(), Membership: c.GetMembership()}
	}
	if uint64(len(n.incomingSnapshot.GetData())) == c.GetOffset() {
		n.incomingSnapshot.Data = append(n.incomingSnapshot.Data, c.GetData()...)
	}
	received := uint64(len(n.incomingSnapshot.GetData()))
	if received == c.GetTotal() {
		n.install(from)
		return
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_ANSWER, from)
	answer.Index = c.GetIndex()
	answer.Round = received
	n.send(answer)
}

// install replaces log and membership with the snapshot that was received.
func (n *Node) install(from ID) {
	s := n.incomingSnapshot
	n.incomingSnapshot = nil
	n.log.reset(s.GetIndex(), s.GetTerm())
	n.memberships = []*membership{parseMembership(s.GetIndex(), s.GetMembership())}
	n.onMembershipChange()
	n.pending.snapshot = s
	n.hardStateChanged = true
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER, from)
	answer.Index = s.GetIndex()
	n.sendAfterSync(answer)
}
