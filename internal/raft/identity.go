package raft

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// peerRecord holds the highest boot counter seen of a member, the start value of that boot and the
// highest term seen.
type peerRecord struct{ boot, start, term uint64 }

// identityState is what a node knows about the validity of its own state and that of its peers.
type identityState struct {
	// confirmed is false after a restart until enough voters have confirmed the boot counter.
	confirmed   bool
	confirmedBy map[ID]bool
	// confirmedBoot is the boot counter that is persisted as confirmed, or is about to
	// be. After a restart, confirmed is set only once it is persisted.
	confirmedBoot uint64
	// minLogTerm and minLogIndex are the last committed entry that any confirming voter reported.
	// A candidate whose log ends before it gets no vote, since this node may have lost entries
	// that it had acknowledged.
	minLogTerm, minLogIndex uint64
	staleDisk               bool // a peer reported that this node runs on an older image of its disk
	otherGroup              bool // a message with another group id has arrived
	peerRecords             map[ID]peerRecord
	// bootstrapper is the incarnation to which this node last reported that it is empty.
	bootstrapper ID
	// emptyVoters are the other initial voters that reported that they are empty, by VM.
	emptyVoters map[string]ID
}

// reachesMinLog reports whether a log that ends with (term, index) contains the last commit
// reported by the confirming voters.
func (s *identityState) reachesMinLog(term, index uint64) bool {
	if term != s.minLogTerm {
		return term > s.minLogTerm
	}
	return index >= s.minLogIndex
}

// initIdentity restores the recorded state of the peers and decides whether this node has to wait
// for a confirmation of its boot counter.
func (n *Node) initIdentity() {
	n.identity = identityState{confirmedBy: map[ID]bool{}, peerRecords: map[ID]peerRecord{}, emptyVoters: map[string]ID{}}
	for _, p := range n.cfg.HardState.GetMarks() {
		n.identity.peerRecords[idOf(p.GetId())] = peerRecord{boot: p.GetBoot(), start: p.GetStart(), term: p.GetTerm()}
	}
	n.identity.confirmedBoot = n.cfg.HardState.GetConfirmedBoot()
	if !n.cfg.Restarted || n.cfg.disabledChecks.skipBootCheck || n.isOnlyVoter() {
		n.identity.confirmed = true
		n.recordConfirmedBoot()
	}
}

// recordConfirmedBoot records the current boot counter as confirmed in the hard state.
func (n *Node) recordConfirmedBoot() {
	n.identity.confirmedBoot = n.cfg.Boot
	n.hardStateChanged = true
}

// isOnlyVoter reports whether this VM is the only voter of the group.
func (n *Node) isOnlyVoter() bool {
	m := n.current()
	if len(m.votersByVM) == 0 {
		return len(n.cfg.Voters) == 1 && n.cfg.Voters[0] == n.self.VM
	}
	return len(m.votersByVM) == 1 && m.isVoter(n.self)
}

// isEmpty reports whether this node has neither entries nor a membership.
func (n *Node) isEmpty() bool {
	return n.log.last() == 0 && len(n.current().members) == 0
}

// tickIdentity periodically sends the requests of a new or restarted node: boot checks, bootstrap
// requests and join requests.
func (n *Node) tickIdentity() {
	if !n.identity.confirmed {
		n.tryConfirmBoot()
	}
	if !n.identity.confirmed && n.now%n.cfg.HeartbeatTicks == 0 {
		n.sendBootChecks()
	}
	if n.now%(n.cfg.HeartbeatTicks*2) != 0 {
		return
	}
	if n.mayBootstrap() {
		n.requestBootstrap()
	}
	if n.identity.confirmed && (n.mayBeRemoved() || !n.current().isMember(n.self)) {
		n.broadcastToVMs(pb.RaftMessageType_RAFT_MESSAGE_TYPE_JOIN)
	}
}

// mayBeRemoved reports whether this node may have been removed from the group without having
// received that change.
func (n *Node) mayBeRemoved() bool {
	if n.leader != (ID{}) || n.role == Leader {
		return false
	}
	return n.role == Learner || n.cfg.Open && n.now-n.lastLeaderContact > rejoinTimeouts*n.cfg.ElectionTicks
}

// rejoinTimeouts is the number of election timeouts without a leader after which a voter of an
// open group asks to join again. An election takes about two.
const rejoinTimeouts = 4

// AddContacts adds ids of VMs that may belong to the group.
func (n *Node) AddContacts(vms []string) {
	for _, vm := range vms {
		if !slices.Contains(n.cfg.Contacts, vm) {
			n.cfg.Contacts = append(slices.Clip(n.cfg.Contacts), vm)
		}
	}
}

// broadcastToVMs sends a message to every other known VM, whatever its current incarnation.
func (n *Node) broadcastToVMs(kind pb.RaftMessageType) {
	vms := slices.Concat(n.cfg.Voters, n.cfg.Learners, n.cfg.Contacts)
	for _, id := range n.current().ids {
		vms = append(vms, id.VM)
	}
	slices.Sort(vms)
	for _, vm := range slices.Compact(vms) {
		if vm == n.self.VM {
			continue
		}
		m := n.message(kind, ID{VM: vm})
		m.Index, m.IndexTerm = n.log.last(), n.log.lastTerm()
		n.send(m)
	}
}

// checkSenderBoot compares the boot counter and term of the sender with the record of that member
// and updates the record. It returns false for a sender that runs on an older image of its disk.
func (n *Node) checkSenderBoot(from ID, m *pb.RaftMessage) bool {
	if n.cfg.disabledChecks.skipBootCheck || !n.isEmpty() && !n.inAnyMembership(from) {
		return true
	}
	seen := n.identity.peerRecords[from]
	if n.hasStaleDisk(seen, from, m) {
		n.sendBootAnswer(from, m, true)
		return false
	}
	// hasLostState needs the boot check of an unconfirmed member. If another message
	// recorded the new boot counter first, hasStaleDisk would skip that comparison.
	if m.GetUnconfirmed() && m.GetType() != pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_CHECK {
		return true
	}
	if pr := n.progress[from]; pr != nil && m.GetBoot() > seen.boot && seen.boot != 0 {
		pr.resetAfterRestart()
	}
	updated := peerRecord{boot: m.GetBoot(), start: m.GetStart(), term: max(seen.term, m.GetTerm())}
	if updated != seen {
		n.identity.peerRecords[from] = updated
		n.hardStateChanged = true
	}
	return true
}

// hasStaleDisk reports whether the sender started from an older state than one that it used
// before. Every start raises the boot counter, so the same counter with another start value also
// shows that.
func (n *Node) hasStaleDisk(seen peerRecord, from ID, m *pb.RaftMessage) bool {
	if m.GetBoot() == seen.boot {
		return m.GetStart() != seen.start
	}
	return m.GetBoot() < seen.boot || n.hasLostState(seen, from, m)
}

// hasLostState reports whether the boot check of a restarted member shows that the member lost a
// term or entries that it acknowledged. The boot counter alone does not show this if the image of
// the disk was taken during the latest boot.
func (n *Node) hasLostState(seen peerRecord, from ID, m *pb.RaftMessage) bool {
	if m.GetType() != pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_CHECK {
		return false
	}
	pr := n.progress[from]
	return m.GetTerm() < seen.term || pr != nil && m.GetIndex() < pr.highestMatch
}

// peerRecordList returns the recorded state of the members in the form that is persisted, sorted
// by ID.
func (n *Node) peerRecordList() []*pb.RaftPeerMark {
	var list []*pb.RaftPeerMark
	for id, m := range n.identity.peerRecords {
		if n.inAnyMembership(id) || n.isEmpty() {
			list = append(list, &pb.RaftPeerMark{Id: id.proto(), Boot: m.boot, Start: m.start, Term: m.term})
		}
	}
	slices.SortFunc(list, func(a, b *pb.RaftPeerMark) int {
		return strings.Compare(idOf(a.GetId()).String(), idOf(b.GetId()).String())
	})
	return list
}

func (n *Node) sendBootChecks() {
	n.broadcastToVMs(pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_CHECK)
}

// stepBootCheck confirms the boot counter of a restarted member. A node without any state confirms
// every counter. A leader that knows the committed membership tells a node that is no longer a
// member to discard its state.
func (n *Node) stepBootCheck(from ID, m *pb.RaftMessage) {
	if n.isEmpty() || n.current().isMember(from) {
		n.sendBootAnswer(from, m, false)
		return
	}
	if n.role == Leader && n.log.commit >= n.termStartIndex {
		n.sendBootAnswer(from, m, true)
	}
}

func (n *Node) sendBootAnswer(to ID, request *pb.RaftMessage, stale bool) {
	m := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_ANSWER, to)
	m.Reject = stale
	m.Round = request.GetStart()
	m.Index, m.IndexTerm = n.log.commit, n.log.term(n.log.commit)
	n.sendAfterSync(m)
}

func (n *Node) stepBootAnswer(from ID, m *pb.RaftMessage) {
	if m.GetRound() != n.cfg.Start {
		return // the answer is meant for an earlier process
	}
	if m.GetReject() {
		n.identity.staleDisk = true
		if n.role == Leader {
			n.clearLeaderState()
		}
		n.role = Learner
		n.leader = ID{}
		return
	}
	if n.identity.confirmed {
		return
	}
	n.identity.confirmedBy[from] = true
	if n.identity.reachesMinLog(m.GetIndexTerm(), m.GetIndex()) {
		n.identity.minLogTerm, n.identity.minLogIndex = m.GetIndexTerm(), m.GetIndex()
	}
	n.tryConfirmBoot()
}

// tryConfirmBoot records this node's boot counter as confirmed once enough voters have confirmed
// it. Any quorum suffices, but the voter that would reject it may be among the others, so all
// voters get one election timeout to answer.
func (n *Node) tryConfirmBoot() {
	waitOver := n.now >= n.cfg.ElectionTicks || n.confirmedByAll()
	if waitOver && n.identity.confirmedBoot != n.cfg.Boot && n.confirmedByQuorum() {
		n.recordConfirmedBoot()
	}
}

func (n *Node) confirmedByAll() bool {
	voters := n.current().voters
	return len(voters) > 0 && !slices.ContainsFunc(voters, func(id ID) bool { return id != n.self && !n.identity.confirmedBy[id] })
}

// confirmedByQuorum reports whether this VM and those that confirmed its boot counter are a
// majority of the voter VMs. Unlike in hasQuorum, one incarnation is enough for each VM, since the
// others may no longer run.
func (n *Node) confirmedByQuorum() bool {
	m := n.current()
	agreed := map[string]bool{n.self.VM: true}
	for id := range n.identity.confirmedBy {
		agreed[id.VM] = agreed[id.VM] || m.isVoter(id) || len(m.votersByVM) == 0
	}
	vms := n.cfg.Voters
	if len(m.votersByVM) > 0 {
		vms = slices.Collect(maps.Keys(m.votersByVM))
	}
	count := 0
	for _, vm := range vms {
		if agreed[vm] {
			count++
		}
	}
	return 2*count > len(vms)
}

// mayBootstrap reports whether this node is the one that may write the initial membership.
func (n *Node) mayBootstrap() bool {
	return n.isEmpty() && n.identity.confirmed && len(n.cfg.Voters) > 0 && slices.Min(n.cfg.Voters) == n.self.VM
}

// requestBootstrap asks the other initial voters whether they are empty. A single voter bootstraps
// at once.
func (n *Node) requestBootstrap() {
	if len(n.cfg.Voters) == 1 {
		n.bootstrap()
		return
	}
	for _, vm := range n.cfg.Voters {
		if vm != n.self.VM {
			n.send(n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOTSTRAP, ID{VM: vm}))
		}
	}
}

func (n *Node) stepBootstrap(from ID) {
	if !n.identity.confirmed {
		return // the disk may have been restored from an image taken before it held state
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOTSTRAP_ANSWER, from)
	answer.Reject = !n.isEmpty()
	if !answer.GetReject() {
		n.identity.bootstrapper = from
	}
	n.send(answer)
}

func (n *Node) stepBootstrapAnswer(from ID, m *pb.RaftMessage) {
	if !n.mayBootstrap() || !slices.Contains(n.cfg.Voters, from.VM) {
		return
	}
	if m.GetReject() {
		delete(n.identity.emptyVoters, from.VM)
		return
	}
	n.identity.emptyVoters[from.VM] = from
	if len(n.identity.emptyVoters) == len(n.cfg.Voters)-1 {
		n.bootstrap()
	}
}

// bootstrap writes the initial membership as the first entry of the log.
func (n *Node) bootstrap() {
	m := &pb.RaftMembership{GroupId: n.cfg.Random(1<<63) + 1}
	for _, vm := range n.cfg.Voters {
		id := n.self
		if vm != n.self.VM {
			id = n.identity.emptyVoters[vm]
		}
		m.Members = append(m.Members, &pb.RaftMember{Id: id.proto(), Voter: true})
	}
	n.term = max(n.term, 1)
	n.hardStateChanged = true
	n.appendEntry(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP, Membership: m})
	n.preCampaign()
}

// fromSupersededBootstrap reports whether a message comes from another incarnation of the
// bootstrapping VM than the one to which this node reported that it is empty.
func (n *Node) fromSupersededBootstrap(from ID) bool {
	agreed := n.identity.bootstrapper
	return n.isEmpty() && agreed.VM == from.VM && agreed != from
}
