package raft

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// violation runs histories until one of the given checks reports one.
func violation(v variant, histories uint64, checks ...string) error {
	for seed := range histories {
		s := newSim(seed, v, threeVoters...)
		s.run()
		if s.violation == nil {
			continue
		}
		check, _, _ := strings.Cut(s.violation.Error(), ":")
		if slices.Contains(checks, check) {
			return s.violation
		}
	}
	return nil
}

// Guards against checkers that accept a node which acknowledges before its sync.
func TestCheckersReportMissingSync(t *testing.T) {
	err := violation(variant{skipSync: true}, 1000, "leader completeness", "state machine safety", "durability")
	t.Log(err)
	is.New(t).True(err != nil)
}

// Guards against checkers that accept the promotion of a learner without the state.
func TestCheckersReportEarlyPromotion(t *testing.T) {
	is := is.New(t)
	err := violation(variant{faults: faults{skipPromotionCheck: true}}, 500, "promotion")
	t.Log(err)
	is.True(err != nil)
}

// settle runs the group until it has a leader that all follow.
func (s *sim) settle() {
	s.calm(300, func() bool { return s.leader() != nil && s.allCurrent() })
}

// lead moves the leadership to a VM.
func (s *sim) lead(vm string) {
	for s.leader() != s.process(vm) && s.violation == nil {
		_ = s.leader().node.TransferLeadership() // refused while one is in progress
		s.commitOn(s.voters...)
	}
	s.settle()
}

// commitOn proposes on the leader until 4 more proposals are acknowledged,
// among the VMs that are connected. It returns false if that does not happen.
func (s *sim) commitOn(vms ...string) bool {
	before := len(s.acked)
	for range 400 {
		for _, vm := range vms {
			s.tick(s.process(vm))
			s.sync(s.process(vm))
		}
		s.deliverAmong(vms...)
		if leader := s.leader(); leader != nil {
			s.propose(leader)
		}
		if len(s.acked) > before+3 || s.violation != nil {
			return true
		}
	}
	return false
}

// deliverAmong delivers the messages between the given VMs and loses all others.
func (s *sim) deliverAmong(vms ...string) {
	queue := s.messages
	s.messages = nil
	for _, m := range queue {
		if slices.Contains(vms, m.GetFrom().GetVm()) && slices.Contains(vms, m.GetTo().GetVm()) {
			s.deliver(m)
		}
	}
	for _, vm := range vms {
		s.sync(s.process(vm))
		s.restartStale(s.process(vm))
	}
}

// rollBackBehindPartition lets a and b commit without c, restores a disk of a
// from before that, and then connects a only with c.
func rollBackBehindPartition(v variant) *sim {
	s := newSim(1, v, threeVoters...)
	s.settle()
	a := s.process("a")
	s.crash(a, false)
	s.start(a)
	s.settle()
	s.lead("b")
	s.process("c").frozen = true
	if !s.commitOn("a", "b") {
		s.fail("scenario: a and b do not commit without c")
	}
	s.process("c").frozen = false
	s.process("b").frozen = true
	s.crash(a, false)
	a.disk = a.images[0].clone()
	a.old = a.disk.incarnation
	s.start(a)
	s.commitOn("a", "c")
	if s.violation == nil {
		s.checkEnd()
	}
	return s
}

// Guards against a voter that acts on a disk restored from an older image, and
// against checkers that accept one.
func TestRolledBackDiskDoesNotVote(t *testing.T) {
	is := is.New(t)
	s := rollBackBehindPartition(variant{})
	is.NoErr(s.violation)
	is.Equal(s.events["discard"], 1)
	s = rollBackBehindPartition(variant{faults: faults{skipBootCheck: true}})
	t.Log(s.violation)
	is.True(s.violation != nil)
	is.True(strings.HasPrefix(s.violation.Error(), "leader completeness:"))
}

// Guards against a voter whose disk was restored from an image of its latest
// boot, which the boot counter does not show, while the leader that received
// its acknowledgements lives.
func TestRollBackWithinBootIsDetectedByLeader(t *testing.T) {
	is := is.New(t)
	s := newSim(1, variant{}, threeVoters...)
	s.settle()
	leader := s.leader()
	follower := s.process("a")
	if leader == follower {
		follower = s.process("b")
	}
	image := follower.disk.clone()
	s.commitOn("a", "b", "c")
	s.crash(follower, false)
	follower.disk = image
	follower.old = image.incarnation
	s.start(follower)
	s.checkEnd()
	is.NoErr(s.violation)
	is.Equal(s.events["discard"], 1)
}

// voteTwice lets b and c campaign in the same term while a restarts between their requests.
func voteTwice(v variant) *sim {
	s := newSim(1, v, threeVoters...)
	s.settle()
	s.lead("a") // b and c must be followers with equal logs
	s.messages = nil
	a, b, c := s.process("a"), s.process("b"), s.process("c")
	for _, p := range []*process{b, c} {
		p.node.campaign(true)
		s.advance(p)
		s.sync(p)
	}
	var later []*pb.RaftMessage // requests of c for a's vote
	for _, m := range s.messages {
		if m.GetFrom().GetVm() == "c" && m.GetTo().GetVm() == "a" {
			later = append(later, m)
		}
	}
	for range 2 { // request and answer; a third round would bring a an entry that c lacks
		s.deliverAmong("a", "b")
	}
	s.crash(a, true)
	s.start(a)
	for !a.node.identity.confirmed { // by c
		s.tick(a)
		s.sync(a)
		s.deliverAmong("a", "c")
	}
	for _, m := range later {
		s.deliver(m)
	}
	for range 3 {
		s.deliverAmong("a", "c")
	}
	return s
}

// Guards against a voter that forgets its vote when it restarts, and against a checker that accepts two leaders of a term.
func TestVoteIsPersisted(t *testing.T) {
	is := is.New(t)
	is.NoErr(voteTwice(variant{}).violation)
	err := voteTwice(variant{forgetVote: true}).violation
	t.Log(err)
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "election safety:"))
}
