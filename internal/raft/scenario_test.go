package raft

import (
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// findViolation runs the given number of histories and returns the first violation that one of the
// given checks reports.
func findViolation(options simOptions, histories uint64, checks ...string) error {
	for seed := range histories {
		s := newSim(seed, options, threeVoters...)
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

// Guards against invariant checks that do not detect a node which acknowledges before its sync.
func TestCheckersReportMissingSync(t *testing.T) {
	err := findViolation(simOptions{skipSync: true}, 1000, "leader completeness", "state machine safety", "durability")
	t.Log(err)
	is.New(t).True(err != nil)
}

// Guards against invariant checks that do not detect the promotion of a learner that lacks
// committed entries.
func TestCheckersReportEarlyPromotion(t *testing.T) {
	is := is.New(t)
	err := findViolation(simOptions{disabledChecks: disabledChecks{skipPromotionCheck: true}}, 500, "promotion")
	t.Log(err)
	is.True(err != nil)
}

// settle runs the group until it has a leader and every node has applied all committed entries.
func (s *sim) settle() {
	s.runConnected(300, func() bool { return s.leader() != nil && s.allCaughtUp() })
}

// moveLeadershipTo transfers the leadership until the given VM is the leader.
func (s *sim) moveLeadershipTo(vm string) {
	for s.leader() != s.process(vm) && s.violation == nil {
		_ = s.leader().node.TransferLeadership() // fails while a transfer is in progress
		s.commitAmong(s.voters...)
	}
	s.settle()
}

// commitAmong runs only the given VMs until 4 more proposals are acknowledged. It returns false if
// that does not happen.
func (s *sim) commitAmong(vms ...string) bool {
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

// deliverAmong delivers the queued messages between the given VMs and drops all others.
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
		s.discardStaleDisk(s.process(vm))
	}
}

// rollBackBehindPartition lets a and b commit without c, then restores a from an image taken
// before that, and connects it with c only.
func rollBackBehindPartition(options simOptions) *sim {
	s := newSim(1, options, threeVoters...)
	s.settle()
	a := s.process("a")
	s.crash(a, false)
	s.start(a)
	s.settle()
	s.moveLeadershipTo("b")
	s.process("c").frozen = true
	if !s.commitAmong("a", "b") {
		s.fail("scenario: a and b do not commit without c")
	}
	s.process("c").frozen = false
	s.process("b").frozen = true
	s.crash(a, false)
	a.disk = a.images[0].clone()
	a.rolledBackIncarnation = a.disk.incarnation
	s.start(a)
	s.commitAmong("a", "c")
	if s.violation == nil {
		s.checkEnd()
	}
	return s
}

// Guards against a voter that votes with a disk restored from an older image, and against
// invariant checks that do not detect this.
func TestRolledBackDiskDoesNotVote(t *testing.T) {
	is := is.New(t)
	s := rollBackBehindPartition(simOptions{})
	is.NoErr(s.violation)
	is.Equal(s.events["discard"], 1)
	s = rollBackBehindPartition(simOptions{disabledChecks: disabledChecks{skipBootCheck: true}})
	t.Log(s.violation)
	is.True(s.violation != nil)
	is.True(strings.HasPrefix(s.violation.Error(), "leader completeness:"))
}

// Guards against an undetected rollback to an image of the latest boot, which the boot counter
// does not reveal, while the leader that received the acknowledgements of the voter is still
// alive.
func TestRollBackWithinBootIsDetectedByLeader(t *testing.T) {
	is := is.New(t)
	s := newSim(1, simOptions{}, threeVoters...)
	s.settle()
	leader := s.leader()
	follower := s.process("a")
	if leader == follower {
		follower = s.process("b")
	}
	image := follower.disk.clone()
	s.commitAmong("a", "b", "c")
	s.crash(follower, false)
	follower.disk = image
	follower.rolledBackIncarnation = image.incarnation
	s.start(follower)
	s.checkEnd()
	is.NoErr(s.violation)
	is.Equal(s.events["discard"], 1)
}

// campaignConcurrently lets b and c campaign in the same term. VM a votes for b, restarts, and
// then receives the vote request of c.
func campaignConcurrently(options simOptions) *sim {
	s := newSim(1, options, threeVoters...)
	s.settle()
	s.moveLeadershipTo("a") // b and c must be followers with equal logs
	s.messages = nil
	a, b, c := s.process("a"), s.process("b"), s.process("c")
	for _, p := range []*process{b, c} {
		p.node.campaign(true)
		s.advance(p)
		s.sync(p)
	}
	var later []*pb.RaftMessage // c's vote requests to a, delivered after the restart
	for _, m := range s.messages {
		if m.GetFrom().GetVm() == "c" && m.GetTo().GetVm() == "a" {
			later = append(later, m)
		}
	}
	for range 2 { // request and answer; a third round would replicate an entry to a that c lacks
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

// Guards against a voter that forgets its vote when it restarts, and against invariant checks that
// do not detect two leaders in a term.
func TestVoteIsPersisted(t *testing.T) {
	is := is.New(t)
	is.NoErr(campaignConcurrently(simOptions{}).violation)
	err := campaignConcurrently(simOptions{forgetVote: true}).violation
	t.Log(err)
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "election safety:"))
}
