package raft

import "github.com/lentilyard/lentilyard/internal/pb"

// replicate sends every member what it lacks, as far as flow control allows.
func (n *Node) replicate() {
	for _, id := range n.current().order {
		if pr := n.progress[id]; id != n.self && pr != nil {
			n.sendTo(id, pr)
		}
	}
}

func (n *Node) sendTo(id ID, pr *progress) {
	if pr.state == sendingSnapshot {
		n.sendChunk(id, pr)
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
	m.Entries = n.log.from(pr.next, maxAppendBytes)
	m.Commit = n.log.commit
	pr.commitSent = n.log.commit
	if len(pr.inFlight) == 0 {
		pr.advanced = n.now
	}
	if pr.state == probing || len(m.GetEntries()) > 0 {
		pr.sent(m.GetIndex() + uint64(len(m.GetEntries())))
	}
	n.send(m)
}

// startSnapshot switches a member that needs compacted entries to a snapshot.
func (n *Node) startSnapshot(id ID, pr *progress) {
	if n.snapshot == nil || n.snapshot.GetIndex() < n.log.baseIndex {
		n.snapshotWanted = true
		return
	}
	pr.state = sendingSnapshot
	pr.snapshot = n.snapshot
	pr.offset = 0
	pr.chunkReady = true
	n.sendChunk(id, pr)
}

// ProvideSnapshot answers SnapshotWanted with the state machine's state at the applied index.
func (n *Node) ProvideSnapshot(data []byte) {
	if n.role != Leader {
		return
	}
	n.snapshot = n.SnapshotMeta()
	n.snapshot.Data = data
}

func (n *Node) sendChunk(id ID, pr *progress) {
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

// releaseSnapshot drops the snapshot once no member is receiving it.
func (n *Node) releaseSnapshot() {
	for _, pr := range n.progress {
		if pr.state == sendingSnapshot {
			return
		}
	}
	n.snapshot = nil
}

// broadcastHeartbeat tells the members that this leader is alive. Learners
// receive every learnerHeartbeatRatio-th heartbeat.
func (n *Node) broadcastHeartbeat(votersOnly bool) {
	if !votersOnly {
		n.heartbeats++
	}
	m := n.current()
	for _, id := range m.order {
		if id == n.self {
			continue
		}
		if m.isVoter(id) || !votersOnly && n.heartbeats%learnerHeartbeatRatio == 0 {
			n.sendHeartbeat(id)
		}
	}
}

func (n *Node) sendHeartbeat(id ID) {
	m := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_HEARTBEAT, id)
	// The term lets a member whose disk was restored see that its log differs.
	m.Commit = min(n.progress[id].match, n.log.commit)
	m.IndexTerm = n.log.term(m.GetCommit())
	m.Round = n.round
	n.send(m)
}

// stepAnswer handles the answers to append, heartbeat and snapshot messages.
func (n *Node) stepAnswer(from ID, m *pb.RaftMessage) {
	pr := n.progress[from]
	if n.role != Leader || pr == nil {
		return
	}
	nowCounted := !pr.counted && !m.GetUnconfirmed()
	pr.counted = !m.GetUnconfirmed()
	if pr.counted {
		pr.lastHeard = n.now
		pr.highest = max(pr.highest, pr.match)
	}
	if nowCounted {
		n.advanceCommit()
	}
	if n.role != Leader {
		return // the commit removed this node from the voters
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
		n.locate(pr, m)
		return
	}
	if m.GetIndex() > pr.match {
		pr.advanced = n.now
	}
	pr.acknowledged(m.GetIndex())
	n.advanceCommit()
	n.releaseSnapshot()
	if n.role == Leader && from == n.transferee {
		n.finishTransfer()
	}
	if n.role == Leader && !n.current().isVoter(from) {
		n.changeMembership()
	}
}

// locate moves the next append back to where both logs may agree.
func (n *Node) locate(pr *progress, m *pb.RaftMessage) {
	refused := m.GetRound()
	if pr.state == sendingSnapshot || refused <= pr.match && pr.match > 0 {
		return
	}
	if pr.state == probing && refused != pr.next-1 {
		return
	}
	agreed, _ := n.log.conflictHint(m.GetIndex(), m.GetIndexTerm())
	pr.probe(min(agreed, refused-1) + 1)
}

func (n *Node) stepHeartbeatAnswer(pr *progress, m *pb.RaftMessage) {
	pr.waiting = false
	pr.applied = m.GetCommit()
	if pr.counted {
		pr.round = max(pr.round, m.GetRound())
		n.finishReads()
	}
	switch {
	case pr.state == sendingSnapshot && n.now-pr.chunkSent >= 2*n.cfg.HeartbeatTicks:
		pr.chunkReady = true
	case pr.state == replicating && pr.match < n.log.last() && pr.stalled(n.now, 2*n.cfg.HeartbeatTicks):
		pr.probe(pr.match + 1)
	}
}

// advanceCommit commits what a quorum holds, if it is of this term.
func (n *Node) advanceCommit() {
	index := n.current().quorumIndex(n.countedMatch)
	if index <= n.log.commit || n.log.term(index) != n.term {
		return
	}
	for _, e := range n.log.slice(n.log.commit, index) {
		n.uncommittedBytes -= len(e.GetData())
	}
	n.uncommittedBytes = max(0, n.uncommittedBytes)
	n.log.commit = index
	n.noteCaughtUp(index)
	if !n.current().isVoter(n.self) && n.current().index <= index {
		n.becomeFollower(n.term, ID{})
		return
	}
	n.changeMembership()
	n.finishReads()
}

func (n *Node) countedMatch(id ID) uint64 {
	if id == n.self {
		return n.log.stable
	}
	if pr := n.progress[id]; pr != nil && pr.counted {
		return pr.match
	}
	return 0
}

// ReadIndex starts a read barrier. Its outcome appears in Ready.Reads.
func (n *Node) ReadIndex(token uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.reads = append(n.reads, pendingRead{token: token, round: n.round + 1})
	if !n.roundActive {
		n.startRound()
	}
	return nil
}

// startRound asks the voters to confirm this leader for all reads known so far.
func (n *Node) startRound() {
	n.round++
	n.roundActive = true
	n.broadcastHeartbeat(true)
	n.finishReads()
}

// finishReads completes the reads whose round a quorum has answered. A leader
// knows the commit index only once an entry of its own term is committed.
func (n *Node) finishReads() {
	if len(n.reads) == 0 || n.log.commit < n.termStart {
		return
	}
	confirmed := n.current().quorum(func(id ID) bool { return id == n.self || n.progress[id] != nil && n.progress[id].round >= n.round })
	if !confirmed {
		return
	}
	n.roundActive = false
	waiting := n.reads
	n.reads = nil
	for _, r := range waiting {
		if r.round <= n.round {
			n.pending.reads = append(n.pending.reads, Read{Token: r.token, Index: n.log.commit, OK: true})
			continue
		}
		n.reads = append(n.reads, r)
	}
	if len(n.reads) > 0 {
		n.startRound()
	}
}
