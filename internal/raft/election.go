package raft

import "github.com/lentilyard/lentilyard/internal/pb"

// resetElectionTimer draws the time until this node campaigns. It exceeds the shortest election
// timeout, for which the other voters still consider a silent leader alive.
func (n *Node) resetElectionTimer() {
	n.electionTimerStart = n.now
	n.electionTimeout = n.cfg.ElectionTicks + 1 + int(n.cfg.Random(uint64(n.cfg.ElectionTicks)))
}

// resetCampaignRetryTimer draws the time until an unsuccessful candidate campaigns again. It is
// shorter than an election timeout because there is no known leader to wait for.
func (n *Node) resetCampaignRetryTimer() {
	half := (n.cfg.ElectionTicks + 1) / 2
	n.electionTimerStart = n.now
	n.electionTimeout = half + int(n.cfg.Random(uint64(half)))
}

// becomeFollower adopts the term and the leader, which may be unknown. The node becomes a learner
// if it is not a voter.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term != n.term {
		n.term = term
		n.vote = ID{}
		n.hardStateChanged = true
	}
	if n.role == Leader {
		n.clearLeaderState()
	}
	n.role = Learner
	if n.current().isVoter(n.self) {
		n.role = Follower
	}
	n.leader = leader
	n.resetElectionTimer()
}

// clearLeaderState reports all pending reads as failed and clears the state that only a leader
// keeps.
func (n *Node) clearLeaderState() {
	for _, r := range n.pendingReads {
		n.pending.reads = append(n.pending.reads, Read{Token: r.token})
	}
	n.pendingReads = nil
	n.readRoundActive = false
	n.progress = nil
	n.pendingJoins = nil
	n.transferee = ID{}
	n.outgoingSnapshot = nil
	n.snapshotWanted = false
	n.uncommittedBytes = 0
}

// canCampaign reports whether this node may become a leader.
func (n *Node) canCampaign() bool {
	return n.current().isVoter(n.self) && n.identity.confirmed && n.identity.reachesMinLog(n.log.lastTerm(), n.log.last())
}

// preCampaign asks the voters whether they would vote for this node, without raising the term.
func (n *Node) preCampaign() {
	if !n.canCampaign() {
		return
	}
	n.role = PreCandidate
	n.leader = ID{}
	n.resetCampaignRetryTimer()
	n.votes = map[ID]bool{}
	n.requestVotes(pb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE, false)
	n.countVote(n.self, true)
}

// campaign starts an election in a new term. The vote of the node for itself counts once it is
// persisted.
func (n *Node) campaign(transfer bool) {
	n.role = Candidate
	n.term++
	n.vote = n.self
	n.leader = ID{}
	n.hardStateChanged = true
	n.votes = map[ID]bool{}
	n.resetCampaignRetryTimer()
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

// countVote records a vote or pre-vote. Once a quorum has granted it, a pre-candidate starts the
// election and a candidate becomes leader.
func (n *Node) countVote(from ID, granted bool) {
	n.votes[from] = granted
	if !n.current().hasQuorum(func(id ID) bool { return n.votes[id] }) {
		return
	}
	if n.role == PreCandidate {
		n.campaign(false)
		return
	}
	n.becomeLeader()
}

// becomeLeader makes this node the leader and appends the first entry of the term. Only once that
// entry is committed does the leader know which earlier entries are committed.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.self
	n.progress = map[ID]*progress{}
	for _, id := range n.current().ids {
		n.progress[id] = newProgress(n.log.last()+1, n.now)
	}
	n.uncommittedBytes = 0
	n.heartbeatElapsed = 0
	n.termStartIndex = n.log.last() + 1
	n.appendEntry(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_TERM_START})
}

// hasRecentLeader reports whether this node is the leader or heard from one within the shortest
// election timeout.
func (n *Node) hasRecentLeader() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != (ID{}) && n.now-n.lastLeaderContact < n.cfg.ElectionTicks
}

// canGrantVote checks everything about a vote request except for terms and earlier votes: this
// node's boot counter is confirmed and the candidate's log is complete enough.
func (n *Node) canGrantVote(m *pb.RaftMessage) bool {
	return n.identity.confirmed &&
		n.log.isUpToDate(m.GetIndexTerm(), m.GetIndex()) &&
		n.identity.reachesMinLog(m.GetIndexTerm(), m.GetIndex())
}

func (n *Node) stepPreVote(from ID, m *pb.RaftMessage) {
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_PRE_VOTE_ANSWER, from)
	answer.Round = m.GetTerm()
	answer.Reject = m.GetTerm() < n.term || n.hasRecentLeader() || !n.canGrantVote(m) || n.hasCampaignPriority(from, m)
	if !answer.GetReject() && n.role == PreCandidate {
		n.becomeFollower(n.term, ID{})
	}
	n.send(answer)
}

// hasCampaignPriority reports whether this node is a pre-candidate that campaigns before the
// sender: their logs are equal and this node has the higher VM id. Without this rule two nodes
// that time out together split the vote and leave the group without a leader for another timeout.
func (n *Node) hasCampaignPriority(from ID, m *pb.RaftMessage) bool {
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
	available := n.vote == (ID{}) && n.leader == (ID{}) || n.vote == from
	granted := available && n.role != Leader && n.canGrantVote(m)
	if granted {
		n.hardStateChanged = n.hardStateChanged || n.vote != from
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

// TransferLeadership hands the leadership to the reachable voter with the longest acknowledged
// log. The transfer is given up if it does not complete within the shortest election timeout.
func (n *Node) TransferLeadership() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	var best ID
	for _, id := range n.current().voters {
		if id == n.self || !n.heardRecently(id) || !n.progress[id].bootConfirmed {
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
	n.maybeSendTimeoutNow()
	return nil
}

// maybeSendTimeoutNow tells the transferee to campaign as soon as it holds the whole log.
func (n *Node) maybeSendTimeoutNow() {
	if n.transferee == (ID{}) || n.timeoutNowSent || n.progress[n.transferee] == nil || n.progress[n.transferee].match != n.log.last() {
		return
	}
	n.timeoutNowSent = true
	n.send(n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_TIMEOUT_NOW, n.transferee))
}
