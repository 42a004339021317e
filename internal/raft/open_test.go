package raft

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// openSim is an open group of three VMs with disks that has a leader.
func openSim(is *is.I) *sim {
	s := newSim(1, variant{open: true}, "a", "b", "c")
	for _, p := range s.vms {
		p.durable = true
	}
	s.process("d").gone = true
	s.crash(s.process("d"), false)
	is.True(s.calm(200, func() bool { return s.leader() != nil && len(s.leader().node.Status().Voters) == 3 }))
	return s
}

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

// Guards against a VM that was replaced by one at another address and keeps its vote, so that a second loss stops the group.
func TestOpenGroupReplacesLostVoter(t *testing.T) {
	is := is.New(t)
	s := openSim(is)
	lost := s.process("b")
	s.crash(lost, false)
	lost.gone = true
	is.True(s.calm(200, func() bool { return s.leader() != nil }))
	is.True(!s.calm(300, func() bool { return s.votersAre("a", "c") })) // none is dropped before another votes
	s.process("d").gone = false
	is.True(s.calm(400, func() bool { return s.votersAre("a", "c", "d") }))
	s.crash(s.process("a"), false)
	s.process("a").gone = true
	is.True(s.calm(400, func() bool { return s.leader() != nil && s.leader().vm != "a" }))
	is.NoErr(s.violation)
}

// Guards against a voter that was removed while it was cut off, does not know it and never takes part again.
func TestRemovedVoterJoinsAgain(t *testing.T) {
	is := is.New(t)
	s := openSim(is)
	s.process("d").gone = false
	is.True(s.calm(400, func() bool { return s.votersAre("a", "b", "c", "d") }))
	var cut *process
	for _, p := range s.vms {
		if p != s.leader() {
			cut = p
		}
	}
	cut.frozen = true // calm thaws everything, so that rounds are played here
	for range 400 {
		s.round()
	}
	is.True(!s.votersAre("a", "b", "c", "d"))
	is.True(s.calm(400, func() bool { return s.votersAre("a", "b", "c", "d") }))
	is.NoErr(s.violation)
}

// Guards against a VM whose disk was wiped and that never votes again, and against one that restarts before it joined.
func TestOpenGroupTakesBackEmptyDisk(t *testing.T) {
	is := is.New(t)
	s := openSim(is)
	wiped := s.process("c")
	s.crash(wiped, false)
	wiped.disk, wiped.images = nil, nil
	is.True(s.calm(400, func() bool {
		return s.votersAre("a", "b", "c") && s.leader().node.current().isVoter(wiped.node.self)
	}))
	is.NoErr(s.violation)
}
