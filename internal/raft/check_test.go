package raft

import (
	"fmt"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func sameEntry(a, b *pb.RaftEntry) bool {
	return a.GetTerm() == b.GetTerm() && a.GetType() == b.GetType() && string(a.GetData()) == string(b.GetData())
}

// apply records an applied entry and checks that all nodes apply the same entry at an index and
// that no node applies a proposal twice.
func (s *sim) apply(p *process, e *pb.RaftEntry) {
	if known := s.committed[e.GetIndex()]; known == nil {
		s.committed[e.GetIndex()] = e
		s.highestCommitted = max(s.highestCommitted, e.GetIndex())
	} else if !sameEntry(known, e) {
		s.fail("state machine safety: %s applied %v at index %d, another node applied %v", p.vm, e, e.GetIndex(), known)
	}
	if e.GetType() != pb.RaftEntryType_RAFT_ENTRY_TYPE_COMMAND {
		return
	}
	data := string(e.GetData())
	if slices.Contains(p.applied, data) {
		s.fail("duplicate proposal: %s applied %q again at index %d", p.vm, data, e.GetIndex())
	}
	p.applied = append(p.applied, data)
	if p.node.role == Leader && s.proposed[e.GetIndex()<<20|e.GetTerm()] == data {
		s.acked[data] = e.GetIndex()
		s.events["acknowledged"]++
	}
}

// checkReads checks that a confirmed read covers everything that was committed before it began.
func (s *sim) checkReads(reads []Read) {
	for _, r := range reads {
		if r.OK && r.Index < s.reads[r.Token] {
			s.fail("read barrier: confirmed at index %d, but %d was committed before the call", r.Index, s.reads[r.Token])
		}
		if r.OK {
			s.events["read"]++
		}
		delete(s.reads, r.Token)
	}
}

// checkNode checks the invariants that must hold after every step of a node.
func (s *sim) checkNode(p *process) {
	if p.node == nil {
		return
	}
	if p.node.fault != nil {
		s.fail("%s: %w", p.vm, p.node.fault)
		return
	}
	if p.node.role != Leader {
		return
	}
	if p.leaderTerm != p.node.term {
		p.leaderTerm = p.node.term
		s.checkNewLeader(p)
	}
	s.checkPromotion(p)
}

// checkNewLeader checks election safety and leader completeness.
func (s *sim) checkNewLeader(p *process) {
	n := p.node
	if other, ok := s.leaders[n.term]; ok && other != n.self {
		s.fail("election safety: %v and %v are both leaders of term %d", other, n.self, n.term)
	}
	s.leaders[n.term] = n.self
	s.events["election"]++
	for index, e := range s.committed {
		if e.GetTerm() < n.term && index > n.log.baseIndex && n.log.term(index) != e.GetTerm() {
			s.fail("leader completeness: the leader %v of term %d lacks committed entry %d of term %d", n.self, n.term, index, e.GetTerm())
		}
	}
	p.checkedMembershipIndex = n.current().index
}

// checkPromotion checks that a learner holds the leader's committed entries when it becomes a
// voter.
func (s *sim) checkPromotion(p *process) {
	n := p.node
	m := n.current()
	if m.index <= p.checkedMembershipIndex {
		return
	}
	p.checkedMembershipIndex = m.index
	before := n.membershipAt(m.index - 1)
	s.events["membership"]++
	for _, id := range m.voters {
		target := s.process(id.VM)
		if before.isVoter(id) || target.node == nil || target.node.self != id || target.node.term > n.term {
			continue // not a promotion, down, or already following a later leader
		}
		if target.node.log.last() < n.log.commit {
			s.fail("promotion: %v became a voter with entries up to %d, but %d are committed", id, target.node.log.last(), n.log.commit)
		}
	}
}

// checkLogs checks the log matching property: if two logs have the same term at an index, they are
// identical up to that index.
func (s *sim) checkLogs() {
	for i, p := range s.vms {
		for _, q := range s.vms[i+1:] {
			if p.node != nil && q.node != nil {
				s.checkPair(p.node.log, q.node.log, p.vm+" and "+q.vm)
			}
		}
	}
}

func (s *sim) checkPair(a, b *entryLog, names string) {
	agreed := false
	for index := min(a.last(), b.last()); index > max(a.baseIndex, b.baseIndex); index-- {
		x, y := a.entries[index-a.baseIndex-1], b.entries[index-b.baseIndex-1]
		agreed = agreed || x.GetTerm() == y.GetTerm()
		if agreed && !sameEntry(x, y) {
			s.fail("log matching: %s differ at index %d: %v, %v", names, index, x, y)
		}
	}
}

// checkEnd removes all partitions, starts all processes and checks that the group commits a
// proposal again and that no acknowledged proposal was lost.
func (s *sim) checkEnd() {
	s.checkLogs()
	before := len(s.acked)
	recovered := s.runConnected(2000, func() bool {
		if leader := s.leader(); leader != nil && len(s.acked) == before {
			s.propose(leader)
		}
		return len(s.acked) > before && s.allCaughtUp()
	})
	s.checkLogs()
	if s.violation != nil {
		return
	}
	if !recovered {
		s.fail("liveness: the group did not recover within 2000 rounds\n%s", s.describe())
		return
	}
	for data, index := range s.acked {
		for _, p := range s.vms {
			if !slices.Contains(p.applied, data) {
				s.fail("durability: %s has lost acknowledged proposal %q of index %d", p.vm, data, index)
			}
		}
	}
}

// leader returns the running leader of the highest term, or nil.
func (s *sim) leader() *process {
	var best *process
	for _, p := range s.vms {
		if p.node != nil && !p.frozen && p.node.role == Leader && (best == nil || p.node.term > best.node.term) {
			best = p
		}
	}
	return best
}

// unreplacedVoters returns the voter VMs whose current incarnation is not their only voting one.
// It returns false if there is no leader with a committed membership or if another node has a
// higher term.
func (s *sim) unreplacedVoters() ([]string, bool) {
	leader := s.leader()
	if leader == nil || leader.node.current().index > leader.node.log.commit || leader.node.log.commit < leader.node.termStartIndex {
		return nil, false
	}
	for _, p := range s.vms {
		if p.node != nil && p.node.term > leader.node.term {
			return nil, false
		}
	}
	var vms []string
	for _, vm := range s.voters {
		p := s.process(vm)
		voting := leader.node.current().votersByVM[vm]
		if p.disk == nil || p.disk.incarnation == p.rolledBackIncarnation || len(voting) != 1 || voting[0].Incarnation != p.disk.incarnation {
			vms = append(vms, vm)
		}
	}
	return vms, true
}

// canLoseState reports whether a VM may lose its state now, which the protocol survives only while
// no other voter has lost its state.
func (s *sim) canLoseState(p *process) bool {
	vms, known := s.unreplacedVoters()
	return known && !slices.ContainsFunc(vms, func(vm string) bool { return vm != p.vm })
}

// allCaughtUp reports whether every voter VM votes with its current incarnation and every node has
// applied all committed entries.
func (s *sim) allCaughtUp() bool {
	vms, known := s.unreplacedVoters()
	if !known || len(vms) > 0 {
		return false
	}
	for _, p := range s.vms {
		if p.node.log.applied < s.highestCommitted {
			return false
		}
	}
	return true
}

func (s *sim) describe() string {
	text := ""
	for _, p := range s.vms {
		if p.node != nil {
			text += fmt.Sprintf("%s: %+v pending=%v\n", p.vm, p.node.Status(), p.pending != nil)
		}
	}
	return text
}
