package raft

import (
	"fmt"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
)

func sameEntry(a, b *pb.RaftEntry) bool {
	return a.GetTerm() == b.GetTerm() && a.GetType() == b.GetType() && string(a.GetData()) == string(b.GetData())
}

// apply checks an applied entry: all nodes apply the same entry at an index,
// and no proposal is applied twice.
func (s *sim) apply(p *process, e *pb.RaftEntry) {
	if known := s.committed[e.GetIndex()]; known == nil {
		s.committed[e.GetIndex()] = e
		s.highest = max(s.highest, e.GetIndex())
	} else if !sameEntry(known, e) {
		s.fail("state machine safety: %s applies %v at index %d, another node applied %v", p.vm, e, e.GetIndex(), known)
	}
	if e.GetType() != pb.RaftEntryType_RAFT_ENTRY_TYPE_COMMAND {
		return
	}
	data := string(e.GetData())
	if slices.Contains(p.applied, data) {
		s.fail("at most one application: %s applies %q again at index %d", p.vm, data, e.GetIndex())
	}
	p.applied = append(p.applied, data)
	if p.node.role == Leader && s.proposed[e.GetIndex()<<20|e.GetTerm()] == data {
		s.acked[data] = e.GetIndex()
		s.events["acknowledged"]++
	}
}

// finishReads checks that a confirmed read covers everything committed before it began.
func (s *sim) finishReads(reads []Read) {
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

// observe checks what must hold after every step of a node.
func (s *sim) observe(p *process) {
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
	if p.leading != p.node.term {
		p.leading = p.node.term
		s.checkNewLeader(p)
	}
	s.checkPromotion(p)
}

// checkNewLeader checks election safety and leader completeness.
func (s *sim) checkNewLeader(p *process) {
	n := p.node
	if other, ok := s.leaders[n.term]; ok && other != n.self {
		s.fail("election safety: %v and %v both lead term %d", other, n.self, n.term)
	}
	s.leaders[n.term] = n.self
	s.events["election"]++
	for index, e := range s.committed {
		if e.GetTerm() < n.term && index > n.log.baseIndex && n.log.term(index) != e.GetTerm() {
			s.fail("leader completeness: %v leads term %d without committed entry %d of term %d", n.self, n.term, index, e.GetTerm())
		}
	}
	p.mark = n.current().index
}

// checkPromotion checks that a learner holds the leader's committed entries when it becomes a voter.
func (s *sim) checkPromotion(p *process) {
	n := p.node
	m := n.current()
	if m.index <= p.mark {
		return
	}
	p.mark = m.index
	before := n.membershipAt(m.index - 1)
	s.events["membership"]++
	for _, id := range m.voters {
		target := s.process(id.VM)
		if before.isVoter(id) || target.node == nil || target.node.self != id || target.node.term > n.term {
			continue // not a promotion, down, or already following a later leader
		}
		if target.node.log.last() < n.log.commit {
			s.fail("promotion: %v becomes a voter with entries up to %d of %d committed", id, target.node.log.last(), n.log.commit)
		}
	}
}

// checkLogs checks log matching: logs that agree on the term at an index agree on the entry and all before it.
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

// checkEnd connects everything and checks that the group works and has lost nothing.
func (s *sim) checkEnd() {
	s.checkLogs()
	before := len(s.acked)
	recovered := s.calm(2000, func() bool {
		if leader := s.leader(); leader != nil && len(s.acked) == before {
			s.propose(leader)
		}
		return len(s.acked) > before && s.allCurrent()
	})
	s.checkLogs()
	if s.violation != nil {
		return
	}
	if !recovered {
		s.fail("liveness: the group does not recover within 2000 rounds\n%s", s.describe())
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

// leader returns the running leader of the highest term.
func (s *sim) leader() *process {
	var best *process
	for _, p := range s.vms {
		if p.node != nil && !p.frozen && p.node.role == Leader && (best == nil || p.node.term > best.node.term) {
			best = p
		}
	}
	return best
}

// unrepaired returns the voter VMs whose present incarnation is not their only
// voting one, and false if no leader knows that.
func (s *sim) unrepaired() ([]string, bool) {
	leader := s.leader()
	if leader == nil || leader.node.current().index > leader.node.log.commit || leader.node.log.commit < leader.node.termStart {
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
		seat := leader.node.current().seats[vm]
		if p.disk == nil || p.disk.incarnation == p.old || len(seat) != 1 || seat[0].Incarnation != p.disk.incarnation {
			vms = append(vms, vm)
		}
	}
	return vms, true
}

// mayLose reports whether the state of a VM may be lost now: no other voter's state is.
func (s *sim) mayLose(p *process) bool {
	vms, known := s.unrepaired()
	return known && !slices.ContainsFunc(vms, func(vm string) bool { return vm != p.vm })
}

func (s *sim) allCurrent() bool {
	vms, known := s.unrepaired()
	if !known || len(vms) > 0 {
		return false
	}
	for _, p := range s.vms {
		if p.node.log.applied < s.highest {
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
