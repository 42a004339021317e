package raft

import (
	"maps"
	"slices"
	"strings"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// mark is the highest boot counter and term seen of a member.
type mark struct{ boot, start, term uint64 }

// identityState is what a node knows about its own standing and that of its peers' disks.
type identityState struct {
	// confirmed is false after a restart until enough voters confirmed the boot counter.
	confirmed   bool
	confirmedBy map[ID]bool
	// confirmedBoot is the boot counter that is, or is about to be, persisted
	// as confirmed. The node acts as confirmed only after that.
	confirmedBoot uint64
	// floorTerm and floorIndex are the last committed entry of any confirming
	// voter. A candidate whose log ends before it gets no vote: this node may
	// itself have lost entries that it acknowledged.
	floorTerm, floorIndex uint64
	stale                 bool
	otherGroup            bool
	marks                 map[ID]mark
	// bootstrapper is the VM incarnation that this node told that it holds nothing.
	bootstrapper ID
	// answers are the other initial voters that hold nothing.
	answers map[string]ID
}

func (s *identityState) floorReached(term, index uint64) bool {
	if term != s.floorTerm {
		return term > s.floorTerm
	}
	return index >= s.floorIndex
}

func (n *Node) startIdentity() {
	n.identity = identityState{confirmedBy: map[ID]bool{}, marks: map[ID]mark{}, answers: map[string]ID{}}
	for _, p := range n.cfg.HardState.GetMarks() {
		n.identity.marks[idOf(p.GetId())] = mark{boot: p.GetBoot(), start: p.GetStart(), term: p.GetTerm()}
	}
	n.identity.confirmedBoot = n.cfg.HardState.GetConfirmedBoot()
	if !n.cfg.Restarted || n.cfg.faults.skipBootCheck || n.isOnlyVoter() {
		n.identity.confirmed = true
		n.noteConfirmed()
	}
}

func (n *Node) noteConfirmed() {
	n.identity.confirmedBoot = n.cfg.Boot
	n.hardStateNew = true
}

// isOnlyVoter reports whether no other VM votes in the group.
func (n *Node) isOnlyVoter() bool {
	m := n.current()
	if len(m.seats) == 0 {
		return len(n.cfg.Voters) == 1 && n.cfg.Voters[0] == n.self.VM
	}
	return len(m.seats) == 1 && m.isVoter(n.self)
}

func (n *Node) holdsNothing() bool {
	return n.log.last() == 0 && len(n.current().members) == 0
}

// tickIdentity repeats the questions that a new or restarted node asks.
func (n *Node) tickIdentity() {
	if !n.identity.confirmed {
		n.checkConfirmed()
	}
	if !n.identity.confirmed && n.now%n.cfg.HeartbeatTicks == 0 {
		n.sendBootChecks()
	}
	if n.now%(n.cfg.HeartbeatTicks*2) != 0 {
		return
	}
	if n.mayBootstrap() {
		n.askBootstrap()
	}
	if n.identity.confirmed && (n.isLost() || !n.current().isMember(n.self)) {
		n.broadcastToVMs(pb.RaftMessageType_RAFT_MESSAGE_TYPE_JOIN)
	}
}

// isLost reports whether this node may have been removed from the group without knowing it.
func (n *Node) isLost() bool {
	if n.leader != (ID{}) || n.role == Leader {
		return false
	}
	return n.role == Learner || n.cfg.Open && n.now-n.leaderHeard > lostTimeouts*n.cfg.ElectionTicks
}

// lostTimeouts is the number of election timeouts without a leader after which
// a voter of an open group asks to join again; an election takes about two.
const lostTimeouts = 4

// AddContacts adds VMs that may know the group.
func (n *Node) AddContacts(vms []string) {
	for _, vm := range vms {
		if !slices.Contains(n.cfg.Contacts, vm) {
			n.cfg.Contacts = append(slices.Clip(n.cfg.Contacts), vm)
		}
	}
}

// broadcastToVMs sends a message to every other known VM, whatever its incarnation.
func (n *Node) broadcastToVMs(kind pb.RaftMessageType) {
	vms := slices.Concat(n.cfg.Voters, n.cfg.Learners, n.cfg.Contacts)
	for _, id := range n.current().order {
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

// admit records boot counter and term of the sender. It refuses a sender that
// runs on an older image of its disk.
func (n *Node) admit(from ID, m *pb.RaftMessage) bool {
	if n.cfg.faults.skipBootCheck || !n.holdsNothing() && !n.isKnown(from) {
		return true
	}
	seen := n.identity.marks[from]
	if n.isOlderDisk(seen, from, m) {
		n.sendBootAnswer(from, m, true)
		return false
	}
	// Only the boot check of an unconfirmed member carries what isRegression compares.
	if m.GetUnconfirmed() && m.GetType() != pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_CHECK {
		return true
	}
	if pr := n.progress[from]; pr != nil && m.GetBoot() > seen.boot && seen.boot != 0 {
		pr.restart()
	}
	raised := mark{boot: m.GetBoot(), start: m.GetStart(), term: max(seen.term, m.GetTerm())}
	if raised != seen {
		n.identity.marks[from] = raised
		n.hardStateNew = true
	}
	return true
}

// isOlderDisk reports whether the sender started from an older state than one
// that it used before. Every start raises the boot counter, so a second start
// with the same counter also shows that.
func (n *Node) isOlderDisk(seen mark, from ID, m *pb.RaftMessage) bool {
	if m.GetBoot() == seen.boot {
		return m.GetStart() != seen.start
	}
	return m.GetBoot() < seen.boot || n.isRegression(seen, from, m)
}

// isRegression reports whether a restarted member has lost a term or entries
// that it acknowledged. A boot counter alone cannot show that if the image of
// the disk was taken during the latest boot.
func (n *Node) isRegression(seen mark, from ID, m *pb.RaftMessage) bool {
	if m.GetType() != pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_CHECK {
		return false
	}
	pr := n.progress[from]
	return m.GetTerm() < seen.term || pr != nil && m.GetIndex() < pr.highest
}

func (n *Node) markList() []*pb.RaftPeerMark {
	var list []*pb.RaftPeerMark
	for id, m := range n.identity.marks {
		if n.isKnown(id) || n.holdsNothing() {
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

// stepBootCheck answers a restarted member whose boot counter was admitted.
func (n *Node) stepBootCheck(from ID, m *pb.RaftMessage) {
	if n.holdsNothing() || n.current().isMember(from) {
		n.sendBootAnswer(from, m, false)
		return
	}
	if n.role == Leader && n.log.commit >= n.termStart {
		n.sendBootAnswer(from, m, true)
	}
}

func (n *Node) sendBootAnswer(to ID, question *pb.RaftMessage, stale bool) {
	m := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOT_ANSWER, to)
	m.Reject = stale
	m.Round = question.GetStart()
	m.Index, m.IndexTerm = n.log.commit, n.log.term(n.log.commit)
	n.sendAfterSync(m)
}

func (n *Node) stepBootAnswer(from ID, m *pb.RaftMessage) {
	if m.GetRound() != n.cfg.Start {
		return // answers a message of an earlier process
	}
	if m.GetReject() {
		n.identity.stale = true
		if n.role == Leader {
			n.abandonLeadership()
		}
		n.role = Learner
		n.leader = ID{}
		return
	}
	if n.identity.confirmed {
		return
	}
	n.identity.confirmedBy[from] = true
	if n.identity.floorReached(m.GetIndexTerm(), m.GetIndex()) {
		n.identity.floorTerm, n.identity.floorIndex = m.GetIndexTerm(), m.GetIndex()
	}
	n.checkConfirmed()
}

// checkConfirmed ends the wait of a restarted node. Any quorum suffices, but
// the voter that would object may be among the others, so all of them get one
// election timeout to answer.
func (n *Node) checkConfirmed() {
	waited := n.now >= n.cfg.ElectionTicks || n.confirmedByAll()
	if waited && n.identity.confirmedBoot != n.cfg.Boot && n.confirmedByQuorum() {
		n.noteConfirmed()
	}
}

func (n *Node) confirmedByAll() bool {
	voters := n.current().voters
	return len(voters) > 0 && !slices.ContainsFunc(voters, func(id ID) bool { return id != n.self && !n.identity.confirmedBy[id] })
}

// confirmedByQuorum reports whether this VM and those that confirmed its boot
// counter are a majority of the voter VMs. Other incarnations of a VM do not
// matter here: this one may be the only one alive.
func (n *Node) confirmedByQuorum() bool {
	m := n.current()
	agreed := map[string]bool{n.self.VM: true}
	for id := range n.identity.confirmedBy {
		agreed[id.VM] = agreed[id.VM] || m.isVoter(id) || len(m.seats) == 0
	}
	vms := n.cfg.Voters
	if len(m.seats) > 0 {
		vms = slices.Collect(maps.Keys(m.seats))
	}
	count := 0
	for _, vm := range vms {
		if agreed[vm] {
			count++
		}
	}
	return 2*count > len(vms)
}

// mayBootstrap reports whether this node is the one that writes the initial membership.
func (n *Node) mayBootstrap() bool {
	return n.holdsNothing() && n.identity.confirmed && len(n.cfg.Voters) > 0 && slices.Min(n.cfg.Voters) == n.self.VM
}

func (n *Node) askBootstrap() {
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
		return // an older image of the disk may have held state
	}
	answer := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_BOOTSTRAP_ANSWER, from)
	answer.Reject = !n.holdsNothing()
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
		delete(n.identity.answers, from.VM)
		return
	}
	n.identity.answers[from.VM] = from
	if len(n.identity.answers) == len(n.cfg.Voters)-1 {
		n.bootstrap()
	}
}

// bootstrap writes the initial membership as the first entry of the log.
func (n *Node) bootstrap() {
	m := &pb.RaftMembership{GroupId: n.cfg.Random(1<<63) + 1}
	for _, vm := range n.cfg.Voters {
		id := n.self
		if vm != n.self.VM {
			id = n.identity.answers[vm]
		}
		m.Members = append(m.Members, &pb.RaftMember{Id: id.proto(), Voter: true})
	}
	n.term = max(n.term, 1)
	n.hardStateNew = true
	n.appendOwn(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP, Membership: m})
	n.preCampaign()
}

// fromOtherBootstrap reports whether a message stems from an earlier attempt to
// bootstrap than the one that this node agreed to.
func (n *Node) fromOtherBootstrap(from ID) bool {
	agreed := n.identity.bootstrapper
	return n.holdsNothing() && agreed.VM == from.VM && agreed != from
}
