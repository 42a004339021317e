package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// membership is a parsed RaftMembership and the index of its log entry.
type membership struct {
	index   uint64
	source  *pb.RaftMembership
	members map[ID]bool // value: voter
	// seats holds the voting incarnations of each voter VM.
	seats            map[string][]ID
	order            []ID
	voters, learners []ID
}

func parseMembership(index uint64, p *pb.RaftMembership) *membership {
	m := &membership{index: index, source: p, members: map[ID]bool{}, seats: map[string][]ID{}}
	for _, member := range p.GetMembers() {
		id := idOf(member.GetId())
		m.members[id] = member.GetVoter()
		m.order = append(m.order, id)
		if member.GetVoter() {
			m.seats[id.VM] = append(m.seats[id.VM], id)
			m.voters = append(m.voters, id)
			continue
		}
		m.learners = append(m.learners, id)
	}
	return m
}

func (m *membership) isVoter(id ID) bool { return m.members[id] }

func (m *membership) isMember(id ID) bool {
	_, ok := m.members[id]
	return ok
}

// quorum reports whether a majority of the voter VMs agrees.
func (m *membership) quorum(agrees func(ID) bool) bool {
	agreed := 0
	for _, incarnations := range m.seats {
		if !slices.ContainsFunc(incarnations, func(id ID) bool { return !agrees(id) }) {
			agreed++
		}
	}
	return 2*agreed > len(m.seats)
}

// quorumIndex returns the highest index that a majority of the voter VMs holds.
func (m *membership) quorumIndex(match func(ID) uint64) uint64 {
	indexes := make([]uint64, 0, len(m.seats))
	for _, incarnations := range m.seats {
		lowest := match(incarnations[0])
		for _, id := range incarnations[1:] {
			lowest = min(lowest, match(id))
		}
		indexes = append(indexes, lowest)
	}
	if len(indexes) == 0 {
		return 0
	}
	slices.Sort(indexes)
	return indexes[(len(indexes)-1)/2]
}

// with returns a copy in which id has the given role and the ids in drop are absent.
func (m *membership) with(id ID, voter bool, drop ...ID) *pb.RaftMembership {
	changed := &pb.RaftMembership{GroupId: m.source.GetGroupId()}
	for _, member := range m.source.GetMembers() {
		other := idOf(member.GetId())
		if other != id && !slices.Contains(drop, other) {
			changed.Members = append(changed.Members, proto.CloneOf(member))
		}
	}
	if !id.IsZero() {
		changed.Members = append(changed.Members, &pb.RaftMember{Id: id.proto(), Voter: voter})
	}
	return changed
}

// isKnown reports whether an ID belongs to a membership that is or may come into force.
func (n *Node) isKnown(id ID) bool {
	return slices.ContainsFunc(n.memberships, func(m *membership) bool { return m.isMember(id) })
}

func (n *Node) current() *membership { return n.memberships[len(n.memberships)-1] }

// membershipAt returns the newest membership at or below index.
func (n *Node) membershipAt(index uint64) *membership {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i]
		}
	}
	return n.memberships[0]
}

// noteMembership takes an appended membership into use.
func (n *Node) noteMembership(e *pb.RaftEntry) {
	if e.GetType() != pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP {
		return
	}
	n.memberships = append(n.memberships, parseMembership(e.GetIndex(), e.GetMembership()))
	n.membershipChanged()
}

// dropMembershipsAfter undoes memberships whose entries were removed from the log.
func (n *Node) dropMembershipsAfter(index uint64) {
	kept := n.memberships
	for len(kept) > 1 && kept[len(kept)-1].index > index {
		kept = kept[:len(kept)-1]
	}
	if len(kept) != len(n.memberships) {
		n.memberships = kept
		n.membershipChanged()
	}
}

// forgetMembershipsBefore drops memberships that were replaced at or before index.
func (n *Node) forgetMembershipsBefore(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

func (n *Node) membershipChanged() {
	m := n.current()
	if n.role == Leader {
		for id := range m.members {
			if n.progress[id] == nil {
				n.progress[id] = newProgress(n.log.last()+1, n.now)
			}
		}
		for id := range n.progress {
			if !m.isMember(id) {
				delete(n.progress, id)
			}
		}
		return
	}
	if !m.isVoter(n.self) && (n.role == PreCandidate || n.role == Candidate) {
		n.becomeFollower(n.term, ID{})
	}
	if n.role == Learner && m.isVoter(n.self) {
		n.role = Follower
	}
	if n.role == Follower && !m.isVoter(n.self) {
		n.role = Learner
	}
}

// changeMembership carries out the next pending change, one at a time: first
// the removal of a replaced incarnation, then a promotion, then the removal of
// an unlisted member, then a join.
func (n *Node) changeMembership() {
	m := n.current()
	if n.role != Leader || n.transferee != (ID{}) || m.index > n.log.commit || n.log.commit < n.termStart {
		return
	}
	if old, ok := n.replacedVoter(m); ok {
		n.proposeMembership(m.with(ID{}, false, old))
		return
	}
	if learner, ok := n.promotable(m); ok {
		n.proposeMembership(m.with(learner, true))
		return
	}
	if gone, ok := n.unlistedMember(m); ok {
		n.proposeMembership(m.with(ID{}, false, gone))
		return
	}
	n.admitJoiner(m)
}

// unlistedMember returns a member whose VM is no longer listed and has been
// silent for unlistedTimeouts. A voter is removed only after its replacement:
// every listed voter VM must vote.
func (n *Node) unlistedMember(m *membership) (ID, bool) {
	if n.cfg.Open {
		return n.silentMember(m)
	}
	complete := !slices.ContainsFunc(n.cfg.Voters, func(vm string) bool { return len(m.seats[vm]) == 0 })
	for _, id := range m.order {
		pr := n.progress[id]
		if id == n.self || pr == nil || n.isListed(id.VM) || m.isVoter(id) && !complete {
			continue
		}
		if n.now-pr.lastHeard > unlistedTimeouts*n.cfg.ElectionTicks {
			return id, true
		}
	}
	return ID{}, false
}

// silentMember returns a member of an open group that has been silent for
// unlistedTimeouts. A voter is removed only while enough others vote, all of
// which answer, so that a partition never shrinks the group.
func (n *Node) silentMember(m *membership) (ID, bool) {
	for _, id := range m.order {
		pr := n.progress[id]
		if id == n.self || pr == nil || n.now-pr.lastHeard <= unlistedTimeouts*n.cfg.ElectionTicks {
			continue
		}
		if !m.isVoter(id) || len(m.seats) > n.cfg.MinVoters && n.othersAnswer(m, id) {
			return id, true
		}
	}
	return ID{}, false
}

// othersAnswer reports whether at least MinVoters voter VMs besides silent have answered recently.
func (n *Node) othersAnswer(m *membership, silent ID) bool {
	answering := 0
	for vm, incarnations := range m.seats {
		if vm != silent.VM && !slices.ContainsFunc(incarnations, func(id ID) bool { return !n.heardRecently(id) }) {
			answering++
		}
	}
	return answering >= n.cfg.MinVoters
}

func (n *Node) isListed(vm string) bool {
	return n.cfg.Open || slices.Contains(n.cfg.Voters, vm) || slices.Contains(n.cfg.Learners, vm)
}

func (n *Node) proposeMembership(p *pb.RaftMembership) {
	n.appendOwn(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP, Membership: p})
}

// replacedVoter returns a voter whose VM has a voter that was promoted later.
func (n *Node) replacedVoter(m *membership) (ID, bool) {
	for _, id := range m.voters {
		if incarnations := m.seats[id.VM]; len(incarnations) > 1 {
			return incarnations[0], true
		}
	}
	return ID{}, false
}

// promotable returns a learner that is to become a voter and holds all committed entries.
func (n *Node) promotable(m *membership) (ID, bool) {
	for _, id := range m.learners {
		pr := n.progress[id]
		if !n.wantsVoter(m, id.VM) || pr == nil || n.now-pr.lastHeard > n.cfg.ElectionTicks {
			continue
		}
		if pr.match >= n.log.commit || n.cfg.faults.skipPromotionCheck {
			return id, true
		}
	}
	return ID{}, false
}

// wantsVoter reports whether a VM is an initial voter or has another incarnation that votes.
func (n *Node) wantsVoter(m *membership, vm string) bool {
	return n.cfg.Open || slices.Contains(n.cfg.Voters, vm) || len(m.seats[vm]) > 0
}

// admitJoiner adds the first waiting incarnation as learner. It replaces
// learners that are earlier incarnations of the same VM.
func (n *Node) admitJoiner(m *membership) {
	for len(n.joiners) > 0 {
		id := n.joiners[0]
		n.joiners = n.joiners[1:]
		if m.isMember(id) {
			continue
		}
		var drop []ID
		for _, other := range m.learners {
			if other.VM == id.VM {
				drop = append(drop, other)
			}
		}
		n.proposeMembership(m.with(id, false, drop...))
		return
	}
}

// stepJoin queues an incarnation that wants to become a member. A node that is
// not the leader passes the request on, since the leader's VM may be missing in
// the list of the VM that asks.
func (n *Node) stepJoin(from ID, m *pb.RaftMessage) {
	if m.GetJoiner() != nil {
		from = idOf(m.GetJoiner())
	} else if n.role != Leader && n.leader != (ID{}) {
		passed := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_JOIN, n.leader)
		passed.Joiner = from.proto()
		n.send(passed)
		return
	}
	if n.role != Leader || !n.isListed(from.VM) || n.current().isMember(from) || slices.Contains(n.joiners, from) {
		return
	}
	// A VM has one live incarnation: while another one answers, this request is a late one.
	if slices.ContainsFunc(n.current().order, func(id ID) bool { return id.VM == from.VM && n.heardRecently(id) }) {
		return
	}
	n.joiners = append(n.joiners, from)
	n.changeMembership()
}
