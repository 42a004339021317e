package raft

import "github.com/lentilyard/lentilyard/internal/pb"

// replicate sends every member the entries or the snapshot that it lacks, as far as flow control
// allows.
func (n *Node) replicate() {
	for _, id := range n.current().ids {
		if pr := n.progress[id]; id != n.self && pr != nil {
			n.replicateTo(id, pr)
		}
	}
}

func (n *Node) replicateTo(id ID, pr *progress) {
	if pr.state == sendingSnapshot {
		n.sendSnapshotChunk(id, pr)
		return
	}
	for pr.canSend() && (pr.next <= n.log.last() || pr.state == probing || pr.commitSent < n.log.commit) {
		if pr.next <= n.log.baseIndex {
			n.startSnapshot(id, pr)
			return
		}
		n.sendAppend(id, pr)
	}
}

func (n *Node) sendAppend(id ID, pr *progress) {
	m := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND, id)
	m.Index = pr.next - 1
	m.IndexTerm = n.log.term(m.GetIndex())
	m.Entries = n.log.entriesFrom(pr.next, maxAppendBytes)
	m.Commit = n.log.commit
	pr.commitSent = n.log.commit
	if len(pr.inFlight) == 0 {
		pr.lastAdvance = n.now
	}
	if pr.state == probing || len(m.GetEntries()) > 0 {
		pr.recordSent(m.GetIndex() + uint64(len(m.GetEntries())))
	}
	n.send(m)
}

// startSnapshot sends a snapshot to a member that needs compacted entries. If none is at hand, it
// asks the caller for one.
func (n *Node) startSnapshot(id ID, pr *progress) {
	if n.outgoingSnapshot == nil || n.outgoingSnapshot.GetIndex() < n.log.baseIndex {
		n.snapshotWanted = true
		return
	}
	pr.state = sendingSnapshot
	pr.snapshot = n.outgoingSnapshot
	pr.offset = 0
	pr.chunkReady = true
	n.sendSnapshotChunk(id, pr)
}

// ProvideSnapshot answers SnapshotWanted with the state of the state machine at the applied index.
func (n *Node) ProvideSnapshot(data []byte) {
	if n.role != Leader {
		return
	}
	n.outgoingSnapshot = n.SnapshotMeta()
	n.outgoingSnapshot.Data = data
}

// sendSnapshotChunk sends the next snapshot chunk if the previous one was answered or has to be
// repeated.
func (n *Node) sendSnapshotChunk(id ID, pr *progress) {
	if !pr.chunkReady {
		return
	}
	pr.chunkReady = false
	pr.chunkSent = n.now
	s := pr.snapshot
	total := uint64(len(s.GetData()))
	end := min(pr.offset+snapshotChunkBytes, total)
	m := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT, id)
	m.Commit = n.log.commit
	m.Chunk = &pb.RaftSnapshotChunk{
		Index: s.GetIndex(), Term: s.GetTerm(), Membership: s.GetMembership(),
		Offset: pr.offset, Total: total, Data: s.GetData()[pr.offset:end],
	}
	n.send(m)
}

// releaseSnapshot frees the snapshot once no member receives one any more.
func (n *Node) releaseSnapshot() {
	for _, pr := range n.progress {
		if pr.state == sendingSnapshot {
			return
		}
	}
	n.outgoingSnapshot = nil
}

// broadcastHeartbeat sends a heartbeat to the voters and, unless votersOnly is set, every
// learnerHeartbeatRatio-th time also to the learners.
func (n *Node) broadcastHeartbeat(votersOnly bool) {
	if !votersOnly {
		n.heartbeatCount++
	}
	m := n.current()
	for _, id := range m.ids {
		if id == n.self {
			continue
		}
		if m.isVoter(id) || !votersOnly && n.heartbeatCount%learnerHeartbeatRatio == 0 {
			n.sendHeartbeat(id)
		}
	}
}

func (n *Node) sendHeartbeat(id ID) {
	m := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, id)
	// With the term, a member whose disk was restored does not commit a different entry
	// at this index.
	m.Commit = min(n.progress[id].match, n.log.commit)
	m.IndexTerm = n.log.term(m.GetCommit())
	m.Round = n.readRound
	n.send(m)
}

// stepAnswer handles the answers to append, heartbeat and snapshot messages.
func (n *Node) stepAnswer(from ID, m *pb.RaftMessage) {
	pr := n.progress[from]
	if n.role != Leader || pr == nil {
		return
	}
	newlyConfirmed := !pr.bootConfirmed && !m.GetUnconfirmed()
	pr.bootConfirmed = !m.GetUnconfirmed()
	if pr.bootConfirmed {
		pr.lastHeard = n.now
		pr.highestMatch = max(pr.highestMatch, pr.match)
	}
	if newlyConfirmed {
		n.advanceCommit()
	}
	if n.role != Leader {
		return // the commit removed this node from the voters, so that it stepped down
	}
	switch m.GetType() {
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_APPEND_ANSWER:
		n.stepAppendAnswer(from, pr, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT_ANSWER:
		n.stepHeartbeatAnswer(pr, m)
	case pb.RaftMessageType_RAFT_MESSAGE_TYPE_SNAPSHOT_ANSWER:
		if pr.state == sendingSnapshot && m.GetIndex() == pr.snapshot.GetIndex() && m.GetRound() > pr.offset {
			pr.offset = m.GetRound()
			pr.chunkReady = true
		}
	}
}

func (n *Node) stepAppendAnswer(from ID, pr *progress, m *pb.RaftMessage) {
	if m.GetReject() {
		n.handleAppendReject(pr, m)
		return
	}
	if m.GetIndex() > pr.match {
		pr.lastAdvance = n.now
	}
	pr.recordAck(m.GetIndex())
	n.advanceCommit()
	n.releaseSnapshot()
	if n.role == Leader && from == n.transferee {
		n.maybeSendTimeoutNow()
	}
	if n.role == Leader && !n.current().isVoter(from) {
		n.changeMembership()
	}
}

// handleAppendReject moves the next append back to where both logs may agree. Rejections of
// outdated appends are ignored.
func (n *Node) handleAppendReject(pr *progress, m *pb.RaftMessage) {
	rejected := m.GetRound()
	if pr.state == sendingSnapshot || rejected <= pr.match && pr.match > 0 {
		return
	}
	if pr.state == probing && rejected != pr.next-1 {
		return
	}
	agreed, _ := n.log.findConflictByTerm(m.GetIndex(), m.GetIndexTerm())
	pr.probe(min(agreed, rejected-1) + 1)
}

// stepHeartbeatAnswer records what the member applied and which read round it answered. If
// replication to the member has stalled, it sends again from the last acknowledged point.
func (n *Node) stepHeartbeatAnswer(pr *progress, m *pb.RaftMessage) {
	pr.probeInFlight = false
	pr.applied = m.GetCommit()
	if pr.bootConfirmed {
		pr.readRound = max(pr.readRound, m.GetRound())
		n.completeReads()
	}
	switch {
	case pr.state == sendingSnapshot && n.now-pr.chunkSent >= 2*n.cfg.HeartbeatTicks:
		pr.chunkReady = true
	case pr.state == replicating && pr.match < n.log.last() && pr.stalled(n.now, 2*n.cfg.HeartbeatTicks):
		pr.probe(pr.match + 1)
	}
}

// advanceCommit raises the commit index to the highest entry that a quorum holds, if that entry is
// of the current term.
func (n *Node) advanceCommit() {
	index := n.current().quorumIndex(n.confirmedMatch)
	if index <= n.log.commit || n.log.term(index) != n.term {
		return
	}
	for _, e := range n.log.slice(n.log.commit, index) {
		n.uncommittedBytes -= len(e.GetData())
	}
	n.uncommittedBytes = max(0, n.uncommittedBytes)
	n.log.commit = index
	n.recordCaughtUp(index)
	if !n.current().isVoter(n.self) && n.current().index <= index {
		n.becomeFollower(n.term, ID{})
		return
	}
	n.changeMembership()
	n.completeReads()
}

// confirmedMatch returns the last entry that a member acknowledged and that counts towards a
// commit.
func (n *Node) confirmedMatch(id ID) uint64 {
	if id == n.self {
		return n.log.stable
	}
	if pr := n.progress[id]; pr != nil && pr.bootConfirmed {
		return pr.match
	}
	return 0
}

// ReadIndex starts a linearizable read. Its outcome appears in Ready.Reads under the given token.
func (n *Node) ReadIndex(token uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.pendingReads = append(n.pendingReads, pendingRead{token: token, round: n.readRound + 1})
	if !n.readRoundActive {
		n.startReadRound()
	}
	return nil
}

// startReadRound sends heartbeats whose answers confirm that this node is still the leader, for
// all reads pending so far.
func (n *Node) startReadRound() {
	n.readRound++
	n.readRoundActive = true
	n.broadcastHeartbeat(true)
	n.completeReads()
}

// completeReads confirms the reads whose round a quorum has answered. Before an entry of its own
// term is committed, a leader does not know the commit index and confirms none.
func (n *Node) completeReads() {
	if len(n.pendingReads) == 0 || n.log.commit < n.termStartIndex {
		return
	}
	confirmed := n.current().hasQuorum(func(id ID) bool {
		return id == n.self || n.progress[id] != nil && n.progress[id].readRound >= n.readRound
	})
	if !confirmed {
		return
	}
	n.readRoundActive = false
	reads := n.pendingReads
	n.pendingReads = nil
	for _, r := range reads {
		if r.round <= n.readRound {
			n.pending.reads = append(n.pending.reads, Read{Token: r.token, Index: n.log.commit, OK: true})
			continue
		}
		n.pendingReads = append(n.pendingReads, r)
	}
	if len(n.pendingReads) > 0 {
		n.startReadRound()
	}
}
