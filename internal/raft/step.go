package raft

import (
	"fmt"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// Step handles a message of another member.
func (n *Node) Step(m *pb.RaftMessage) {
	from, to := idOf(m.GetFrom()), idOf(m.GetTo())
	if n.halted() || to.VM != n.self.VM || to.Incarnation != 0 && to != n.self {
		return
	}
	if !n.sameGroup(m) || n.fromOtherBootstrap(from) || !n.admit(from, m) {
		return
	}
	if n.stepWithoutTerm(from, m) {
		return
	}
	switch {
	case m.GetTerm() > n.term:
		if !n.acceptTerm(from, m) {
			return
		}
	case m.GetTerm() < n.term:
		n.refuseTerm(from, m)
		return
	}
	n.stepInTerm(from, m)
}

// sameGroup refuses messages of a group that was bootstrapped separately.
func (n *Node) sameGroup(m *pb.RaftMessage) bool {
	own := n.current().source.GetGroupId()
	if own == 0 || m.GetGroupId() == 0 || own == m.GetGroupId() {
		return true
	}
	n.identity.otherGroup = true
	return false
}

// stepWithoutTerm handles the messages that do not depend on the sender's term.
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

func fromLeader(kind pb.RaftMessageType) bool {
	switch kind {
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT,
		pb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW:
		return true
	}
	return false
}

// acceptTerm adopts a higher term, unless the message is a vote request that a
// recent leader's existence overrides.
func (n *Node) acceptTerm(from ID, m *pb.RaftMessage) bool {
	if m.GetType() == pb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE && n.leaderIsRecent() && !m.GetTransfer() {
		return false
	}
	leader := ID{}
	if fromLeader(m.GetType()) {
		leader = from
	}
	n.becomeFollower(m.GetTerm(), leader)
	return true
}

// refuseTerm tells a leader of an earlier term that its term is over.
func (n *Node) refuseTerm(from ID, m *pb.RaftMessage) {
	if !fromLeader(m.GetType()) || !n.current().isMember(from) {
		return
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_ANSWER, from)
	answer.Reject = true
	n.sendAfterSync(answer)
}

func (n *Node) stepInTerm(from ID, m *pb.RaftMessage) {
	if fromLeader(m.GetType()) && !n.hearLeader(from) {
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

// hearLeader notes that the leader of the current term is alive.
func (n *Node) hearLeader(from ID) bool {
	if n.role == Leader || n.leader != (ID{}) && n.leader != from {
		n.fault = fmt.Errorf("both %v and %v lead term %d", n.leader, from, n.term)
		return false
	}
	if n.leader != from || n.role == Candidate || n.role == PreCandidate {
		n.becomeFollower(n.term, from)
	}
	n.leaderHeard = n.now
	n.electionStart = n.now
	return true
}

// stepAppend adds entries of the leader after the entry on which both logs agree.
func (n *Node) stepAppend(from ID, m *pb.RaftMessage) {
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER, from)
	switch {
	case m.GetIndex() < n.log.commit:
		answer.Index = n.log.commit
	case !n.log.holds(m.GetIndex(), m.GetIndexTerm()):
		answer.Reject = true
		answer.Round = m.GetIndex()
		answer.Index, answer.IndexTerm = n.log.conflictHint(m.GetIndex(), m.GetIndexTerm())
	default:
		n.adopt(m.GetEntries())
		answer.Index = m.GetIndex() + uint64(len(m.GetEntries()))
		n.commitTo(min(m.GetCommit(), answer.GetIndex()))
	}
	n.noteCaughtUp(m.GetCommit())
	n.sendAfterSync(answer)
}

// adopt appends the leader's entries and removes conflicting ones.
func (n *Node) adopt(entries []*pb.RaftEntry) {
	for i, e := range entries {
		if n.log.holds(e.GetIndex(), e.GetTerm()) {
			continue
		}
		if e.GetIndex() <= n.log.commit {
			n.fault = fmt.Errorf("the leader replaces committed entry %d of term %d with one of term %d",
				e.GetIndex(), n.log.term(e.GetIndex()), e.GetTerm())
			return
		}
		if e.GetIndex() <= n.log.last() {
			n.log.truncate(e.GetIndex() - 1)
			n.dropMembershipsAfter(e.GetIndex() - 1)
		}
		n.log.append(entries[i:]...)
		for _, added := range entries[i:] {
			n.noteMembership(added)
		}
		return
	}
}

// noteCaughtUp records that this node holds everything the leader had committed.
func (n *Node) noteCaughtUp(commit uint64) {
	if n.caughtUpAt == 0 && n.log.commit >= commit && n.current().isMember(n.self) {
		n.caughtUpAt = commit
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

// stepSnapshot collects the chunks of a snapshot and installs it when it is complete.
func (n *Node) stepSnapshot(from ID, m *pb.RaftMessage) {
	c := m.GetChunk()
	if n.log.holds(c.GetIndex(), c.GetTerm()) {
		// Entries after the snapshot may be acknowledged already and must stay.
		n.commitTo(c.GetIndex())
	}
	if c.GetIndex() <= n.log.commit {
		answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER, from)
		answer.Index = n.log.commit
		n.sendAfterSync(answer)
		return
	}
	if n.incoming.GetIndex() != c.GetIndex() || n.incoming.GetTerm() != c.GetTerm() {
		n.incoming = &pb.RaftSnapshot{Index: c.GetIndex(), Term: c.GetTerm(), Membership: c.GetMembership()}
	}
	if uint64(len(n.incoming.GetData())) == c.GetOffset() {
		n.incoming.Data = append(n.incoming.Data, c.GetData()...)
	}
	held := uint64(len(n.incoming.GetData()))
	if held == c.GetTotal() {
		n.install(from)
		return
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_ANSWER, from)
	answer.Index = c.GetIndex()
	answer.Round = held
	n.send(answer)
}

func (n *Node) install(from ID) {
	s := n.incoming
	n.incoming = nil
	n.log.reset(s.GetIndex(), s.GetTerm())
	n.memberships = []*membership{parseMembership(s.GetIndex(), s.GetMembership())}
	n.membershipChanged()
	n.pending.snapshot = s
	n.hardStateNew = true
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER, from)
	answer.Index = s.GetIndex()
	n.sendAfterSync(answer)
}
