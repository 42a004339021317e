package raft

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// openSim returns an open group of three VMs with disks that has elected a leader. VM d is stopped
// and joins later.
func openSim(is *is.I) *sim {
	s := newSim(1, simOptions{open: true}, "a", "b", "c")
	for _, p := range s.vms {
		p.durable = true
	}
	s.process("d").keepStopped = true
	s.crash(s.process("d"), false)
	is.True(s.runConnected(200, func() bool { return s.leader() != nil && len(s.leader().node.Status().Voters) == 3 }))
	return s
}

// votersAre reports whether the voters of the current leader are exactly the given VMs.
func (s *sim) votersAre(vms ...string) bool {
	leader := s.leader()
	if leader == nil {
		return false
	}
	var names []string
	for _, id := range leader.node.Status().Voters {
		names = append(names, id.VM)
	}
	slices.Sort(names)
	return slices.Equal(names, vms)
}

// Guards against a lost voter that keeps its vote although a VM at another address has replaced
// it, so that the loss of a second VM stops the group.
func TestOpenGroupReplacesLostVoter(t *testing.T) {
	is := is.New(t)
	s := openSim(is)
	lost := s.process("b")
	s.crash(lost, false)
	lost.keepStopped = true
	is.True(s.runConnected(200, func() bool { return s.leader() != nil }))
	is.True(!s.runConnected(300, func() bool { return s.votersAre("a", "c") })) // no voter is removed before a replacement votes
	s.process("d").keepStopped = false
	is.True(s.runConnected(400, func() bool { return s.votersAre("a", "c", "d") }))
	s.crash(s.process("a"), false)
	s.process("a").keepStopped = true
	is.True(s.runConnected(400, func() bool { return s.leader() != nil && s.leader().vm != "a" }))
	is.NoErr(s.violation)
}

// Guards against a voter that is removed while it is disconnected, does not learn of its removal
// and never rejoins.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	is := is.New(t)
	s := openSim(is)
	s.process("d").keepStopped = false
	is.True(s.runConnected(400, func() bool { return s.votersAre("a", "b", "c", "d") }))
	var frozen *process
	for _, p := range s.vms {
		if p != s.leader() {
			frozen = p
		}
	}
	frozen.frozen = true // runConnected would unfreeze it
	for range 400 {
		s.round()
	}
	is.True(!s.votersAre("a", "b", "c", "d"))
	is.True(s.runConnected(400, func() bool { return s.votersAre("a", "b", "c", "d") }))
	is.NoErr(s.violation)
}

// Guards against a VM that never votes again after its disk was wiped. It starts like a VM that
// restarts before it joined: empty and without a list of voters.
func TestOpenGroupReadmitsWipedVM(t *testing.T) {
	is := is.New(t)
	s := openSim(is)
	wiped := s.process("c")
	s.crash(wiped, false)
	wiped.disk, wiped.images = nil, nil
	is.True(s.runConnected(400, func() bool {
		return s.votersAre("a", "b", "c") && s.leader().node.current().isVoter(wiped.node.self)
	}))
	is.NoErr(s.violation)
}
