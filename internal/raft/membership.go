package raft

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// membership is a parsed RaftMembership together with the index of its log entry.
type membership struct {
	index   uint64
	source  *pb.RaftMembership
	members map[ID]bool // the value is true for a voter
	// votersByVM holds the voting incarnations of each voter VM, in the order of their promotion.
	votersByVM       map[string][]ID
	ids              []ID // all members, in the order of the membership entry
	voters, learners []ID
}

func parseMembership(index uint64, p *pb.RaftMembership) *membership {
	m := &membership{index: index, source: p, members: map[ID]bool{}, votersByVM: map[string][]ID{}}
	for _, member := range p.GetMembers() {
		id := idOf(member.GetId())
		m.members[id] = member.GetVoter()
		m.ids = append(m.ids, id)
		if member.GetVoter() {
			m.votersByVM[id.VM] = append(m.votersByVM[id.VM], id)
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

// hasQuorum reports whether a majority of the voter VMs agrees. A VM agrees if all its voting
// incarnations do.
func (m *membership) hasQuorum(agrees func(ID) bool) bool {
	agreed := 0
	for _, incarnations := range m.votersByVM {
		if !slices.ContainsFunc(incarnations, func(id ID) bool { return !agrees(id) }) {
			agreed++
		}
	}
	return 2*agreed > len(m.votersByVM)
}

// quorumIndex returns the highest index that a majority of the voter VMs holds, given the last
// entry that each voter holds.
func (m *membership) quorumIndex(match func(ID) uint64) uint64 {
	indexes := make([]uint64, 0, len(m.votersByVM))
	for _, incarnations := range m.votersByVM {
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

// copyWith returns a copy of the membership to which id is added with the given role, unless it is
// zero, and from which the ids in drop are removed.
func (m *membership) copyWith(id ID, voter bool, drop ...ID) *pb.RaftMembership {
	result := &pb.RaftMembership{GroupId: m.source.GetGroupId()}
	for _, member := range m.source.GetMembers() {
		other := idOf(member.GetId())
		if other != id && !slices.Contains(drop, other) {
			result.Members = append(result.Members, proto.CloneOf(member))
		}
	}
	if !id.IsZero() {
		result.Members = append(result.Members, &pb.RaftMember{Id: id.proto(), Voter: voter})
	}
	return result
}

// inAnyMembership reports whether an ID belongs to the latest membership or to one that would take
// effect again if uncommitted entries were removed.
func (n *Node) inAnyMembership(id ID) bool {
	return slices.ContainsFunc(n.memberships, func(m *membership) bool { return m.isMember(id) })
}

// current returns the membership in effect: the latest one in the log or, without one, that of the
// snapshot.
func (n *Node) current() *membership { return n.memberships[len(n.memberships)-1] }

// membershipAt returns the latest membership at or before index.
func (n *Node) membershipAt(index uint64) *membership {
	for i := len(n.memberships) - 1; i > 0; i-- {
		if n.memberships[i].index <= index {
			return n.memberships[i]
		}
	}
	return n.memberships[0]
}

// adoptMembership puts the membership of an appended entry into effect. It ignores entries of
// other types.
func (n *Node) adoptMembership(e *pb.RaftEntry) {
	if e.GetType() != pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP {
		return
	}
	n.memberships = append(n.memberships, parseMembership(e.GetIndex(), e.GetMembership()))
	n.onMembershipChange()
}

// revertMembershipsAfter removes the memberships whose entries were removed from the log.
func (n *Node) revertMembershipsAfter(index uint64) {
	kept := n.memberships
	for len(kept) > 1 && kept[len(kept)-1].index > index {
		kept = kept[:len(kept)-1]
	}
	if len(kept) != len(n.memberships) {
		n.memberships = kept
		n.onMembershipChange()
	}
}

// pruneMemberships removes the memberships that were replaced at or before index.
func (n *Node) pruneMemberships(index uint64) {
	for len(n.memberships) > 1 && n.memberships[1].index <= index {
		n.memberships = n.memberships[1:]
	}
}

// onMembershipChange updates the leader's progress records, or the role of any other node, after a
// change of membership.
func (n *Node) onMembershipChange() {
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

// changeMembership proposes the next pending change, one at a time. Replaced incarnations are
// removed first, then learners promoted, then unresponsive members removed, and then learners
// added.
func (n *Node) changeMembership() {
	m := n.current()
	if n.role != Leader || n.transferee != (ID{}) || m.index > n.log.commit || n.log.commit < n.termStartIndex {
		return
	}
	if old, ok := n.replacedVoter(m); ok {
		n.proposeMembership(m.copyWith(ID{}, false, old))
		return
	}
	if learner, ok := n.promotableLearner(m); ok {
		n.proposeMembership(m.copyWith(learner, true))
		return
	}
	if gone, ok := n.removableMember(m); ok {
		n.proposeMembership(m.copyWith(ID{}, false, gone))
		return
	}
	n.addNextLearner(m)
}

// removableMember returns a member whose VM is no longer listed and that has not answered for
// removalTimeouts. A voter is removed only after its replacement, that is once every listed voter
// VM votes. For open groups see unresponsiveMember.
func (n *Node) removableMember(m *membership) (ID, bool) {
	if n.cfg.Open {
		return n.unresponsiveMember(m)
	}
	complete := !slices.ContainsFunc(n.cfg.Voters, func(vm string) bool { return len(m.votersByVM[vm]) == 0 })
	for _, id := range m.ids {
		pr := n.progress[id]
		if id == n.self || pr == nil || n.isAllowedMember(id.VM) || m.isVoter(id) && !complete {
			continue
		}
		if n.now-pr.lastHeard > removalTimeouts*n.cfg.ElectionTicks {
			return id, true
		}
	}
	return ID{}, false
}

// unresponsiveMember returns a member of an open group that has not answered for removalTimeouts.
// A voter is removed only if more than MinVoters VMs vote and at least MinVoters others respond,
// so that a partition never reduces the number of voters below that.
func (n *Node) unresponsiveMember(m *membership) (ID, bool) {
	for _, id := range m.ids {
		pr := n.progress[id]
		if id == n.self || pr == nil || n.now-pr.lastHeard <= removalTimeouts*n.cfg.ElectionTicks {
			continue
		}
		if !m.isVoter(id) || len(m.votersByVM) > n.cfg.MinVoters && n.enoughOthersRespond(m, id) {
			return id, true
		}
	}
	return ID{}, false
}

// enoughOthersRespond reports whether at least MinVoters voter VMs other than that of silent have
// answered recently.
func (n *Node) enoughOthersRespond(m *membership, silent ID) bool {
	answering := 0
	for vm, incarnations := range m.votersByVM {
		if vm != silent.VM && !slices.ContainsFunc(incarnations, func(id ID) bool { return !n.heardRecently(id) }) {
			answering++
		}
	}
	return answering >= n.cfg.MinVoters
}

// isAllowedMember reports whether a VM may belong to the group.
func (n *Node) isAllowedMember(vm string) bool {
	return n.cfg.Open || slices.Contains(n.cfg.Voters, vm) || slices.Contains(n.cfg.Learners, vm)
}

func (n *Node) proposeMembership(p *pb.RaftMembership) {
	n.appendEntry(&pb.RaftEntry{Type: pb.RaftEntryType_RAFT_ENTRY_TYPE_MEMBERSHIP, Membership: p})
}

// replacedVoter returns a voter that is not the latest voting incarnation of its VM.
func (n *Node) replacedVoter(m *membership) (ID, bool) {
	for _, id := range m.voters {
		if incarnations := m.votersByVM[id.VM]; len(incarnations) > 1 {
			return incarnations[0], true
		}
	}
	return ID{}, false
}

// promotableLearner returns a reachable learner that should vote and holds all committed entries.
func (n *Node) promotableLearner(m *membership) (ID, bool) {
	for _, id := range m.learners {
		pr := n.progress[id]
		if !n.shouldVote(m, id.VM) || pr == nil || n.now-pr.lastHeard > n.cfg.ElectionTicks {
			continue
		}
		if pr.match >= n.log.commit || n.cfg.disabledChecks.skipPromotionCheck {
			return id, true
		}
	}
	return ID{}, false
}

// shouldVote reports whether a VM should have a vote: in an open group every VM, otherwise an
// initial voter or a VM with another voting incarnation.
func (n *Node) shouldVote(m *membership, vm string) bool {
	return n.cfg.Open || slices.Contains(n.cfg.Voters, vm) || len(m.votersByVM[vm]) > 0
}

// addNextLearner adds the first pending joiner as a learner and removes all other learners of its
// VM.
func (n *Node) addNextLearner(m *membership) {
	for len(n.pendingJoins) > 0 {
		id := n.pendingJoins[0]
		n.pendingJoins = n.pendingJoins[1:]
		if m.isMember(id) {
			continue
		}
		var drop []ID
		for _, other := range m.learners {
			if other.VM == id.VM {
				drop = append(drop, other)
			}
		}
		n.proposeMembership(m.copyWith(id, false, drop...))
		return
	}
}

// stepJoin queues an incarnation that wants to become a member. A node that is not the leader
// forwards the request, since the joining VM may not know the leader's VM.
func (n *Node) stepJoin(from ID, m *pb.RaftMessage) {
	if m.GetJoiner() != nil {
		from = idOf(m.GetJoiner())
	} else if n.role != Leader && n.leader != (ID{}) {
		forwarded := n.message(pb.RaftMessageType_RAFT_MESSAGE_TYPE_JOIN, n.leader)
		forwarded.Joiner = from.proto()
		n.send(forwarded)
		return
	}
	if n.role != Leader || !n.isAllowedMember(from.VM) || n.current().isMember(from) || slices.Contains(n.pendingJoins, from) {
		return
	}
	// A VM runs one incarnation at a time. While another one still answers, this
	// request is a delayed one of an earlier incarnation.
	if slices.ContainsFunc(n.current().ids, func(id ID) bool { return id.VM == from.VM && n.heardRecently(id) }) {
		return
	}
	n.pendingJoins = append(n.pendingJoins, from)
	n.changeMembership()
}
