package raft

import "github.com/lentilyard/lentilyard/internal/pb"

// resetElectionTimer draws the time until this node campaigns. It exceeds the
// time for which the other voters still count a silent leader as alive.
func (n *Node) resetElectionTimer() {
	n.electionStart = n.now
	n.electionTimeout = n.cfg.ElectionTicks + 1 + int(n.cfg.Random(uint64(n.cfg.ElectionTicks)))
}

// shortenElectionTimer draws the time until an unsuccessful candidate tries
// again. No leader is known then, so there is none to wait for.
func (n *Node) shortenElectionTimer() {
	half := (n.cfg.ElectionTicks + 1) / 2
	n.electionStart = n.now
	n.electionTimeout = half + int(n.cfg.Random(uint64(half)))
}

// becomeFollower adopts term and leader; leader may be unknown.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term != n.term {
		n.term = term
		n.vote = ID{}
		n.hardStateNew = true
	}
	if n.role == Leader {
		n.abandonLeadership()
	}
	n.role = Learner
	if n.current().isVoter(n.self) {
		n.role = Follower
	}
	n.leader = leader
	n.resetElectionTimer()
}

func (n *Node) abandonLeadership() {
	for _, r := range n.reads {
		n.pending.reads = append(n.pending.reads, Read{Token: r.token})
	}
	n.reads = nil
	n.roundActive = false
	n.progress = nil
	n.joiners = nil
	n.transferee = ID{}
	n.snapshot = nil
	n.snapshotWanted = false
	n.uncommittedBytes = 0
}

// canCampaign reports whether this node may become a leader.
func (n *Node) canCampaign() bool {
	return n.current().isVoter(n.self) && n.identity.confirmed && n.identity.floorReached(n.log.lastTerm(), n.log.last())
}

// preCampaign asks the voters whether they would vote, without a change of term.
func (n *Node) preCampaign() {
	if !n.canCampaign() {
		return
	}
	n.role = PreCandidate
	n.leader = ID{}
	n.shortenElectionTimer()
	n.votes = map[ID]bool{}
	n.requestVotes(pb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, false)
	n.countVote(n.self, true)
}

// campaign starts an election. The node's own vote counts once it is persisted.
func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.term++
	n.vote = n.self
	n.leader = ID{}
	n.hardStateNew = true
	n.votes = map[ID]bool{}
	n.shortenElectionTimer()
	n.requestVotes(pb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE, transfer)
}

func (n *Node) requestVotes(kind pb.RaftMessageType, transfer bool) {
	for _, id := range n.current().voters {
		if id == n.self {
			continue
		}
		m := n.message(kind, id)
		m.Index, m.IndexTerm = n.log.last(), n.log.lastTerm()
		m.Transfer = transfer
		n.sendAfterSync(m)
	}
}

func (n *Node) countVote(from ID, granted bool) {
	n.votes[from] = granted
	if !n.current().quorum(func(id ID) bool { return n.votes[id] }) {
		return
	}
	if n.role == PreCandidate {
		n.campaign(false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.self
	n.progress = map[ID]*progress{}
	for _, id := range n.current().order {
		n.progress[id] = newProgress(n.log.last()+1, n.now)
	}
	n.uncommittedBytes = 0
	n.heartbeatElapsed = 0
	n.termStart = n.log.last() + 1
	n.appendOwn(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_TERM_START})
}

// leaderIsRecent reports whether a leader was heard of within the shortest election timeout.
func (n *Node) leaderIsRecent() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != (ID{}) && n.now-n.leaderHeard < n.cfg.ElectionTicks
}

// mayGrant reports whether the sender of a vote request is acceptable apart from terms.
func (n *Node) mayGrant(m *pb.RaftMessage) bool {
	return n.identity.confirmed &&
		n.log.upToDate(m.GetIndexTerm(), m.GetIndex()) &&
		n.identity.floorReached(m.GetIndexTerm(), m.GetIndex())
}

func (n *Node) stepPreVote(from ID, m *pb.RaftMessage) {
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_ANSWER, from)
	answer.Round = m.GetTerm()
	answer.Reject = m.GetTerm() < n.term || n.leaderIsRecent() || !n.mayGrant(m) || n.precedes(from, m)
	if !answer.GetReject() && n.role == PreCandidate {
		n.becomeFollower(n.term, ID{})
	}
	n.send(answer)
}

// precedes reports whether this node is about to campaign itself and goes
// first. Without that rule two nodes that time out together split the vote and
// leave the group without a leader for another timeout.
func (n *Node) precedes(from ID, m *pb.RaftMessage) bool {
	if n.role != PreCandidate || m.GetTerm() > n.term {
		return false
	}
	equal := m.GetIndexTerm() == n.log.lastTerm() && m.GetIndex() == n.log.last()
	return equal && n.self.VM > from.VM
}

func (n *Node) stepPreVoteAnswer(from ID, m *pb.RaftMessage) {
	if m.GetReject() && m.GetTerm() > n.term && n.role != Leader {
		n.becomeFollower(m.GetTerm(), ID{})
		return
	}
	if n.role == PreCandidate && m.GetRound() == n.term && !m.GetUnconfirmed() {
		n.countVote(from, !m.GetReject())
	}
}

func (n *Node) stepVote(from ID, m *pb.RaftMessage) {
	free := n.vote == (ID{}) && n.leader == (ID{}) || n.vote == from
	granted := free && n.role != Leader && n.mayGrant(m)
	if granted {
		n.hardStateNew = n.hardStateNew || n.vote != from
		n.vote = from
		n.resetElectionTimer()
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_VOTE_ANSWER, from)
	answer.Reject = !granted
	n.sendAfterSync(answer)
}

func (n *Node) stepVoteAnswer(from ID, m *pb.RaftMessage) {
	if n.role == Candidate && !m.GetUnconfirmed() {
		n.countVote(from, !m.GetReject())
	}
}

func (n *Node) stepTimeoutNow(from ID) {
	if from == n.leader && n.canCampaign() {
		n.campaign(true)
	}
}

// TransferLeadership asks the voter that holds the most to take over. It is
// abandoned if that does not happen within the shortest election timeout.
func (n *Node) TransferLeadership() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	var best ID
	for _, id := range n.current().voters {
		if id == n.self || !n.heardRecently(id) || !n.progress[id].counted {
			continue
		}
		if best == (ID{}) || n.progress[id].match > n.progress[best].match {
			best = id
		}
	}
	if best == (ID{}) {
		return ErrTransfer
	}
	n.transferee = best
	n.transferStart = n.now
	n.timeoutNowSent = false
	n.finishTransfer()
	return nil
}

// finishTransfer lets the chosen voter campaign once it holds the whole log.
func (n *Node) finishTransfer() {
	if n.transferee == (ID{}) || n.timeoutNowSent || n.progress[n.transferee] == nil || n.progress[n.transferee].match != n.log.last() {
		return
	}
	n.timeoutNowSent = true
	n.send(n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, n.transferee))
}
