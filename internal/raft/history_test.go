package raft

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// TestMain fixes the seed and the number of simulated histories unless flags set them.
func TestMain(m *testing.M) {
	flag.Parse()
	defaults := map[string]string{"rapid.seed": "20261204", "rapid.checks": "600", "rapid.nofailfile": "true", "rapid.shrinktime": "5s"}
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var threeVoters, fiveVoters = []string{"a", "b", "c"}, []string{"a", "b", "c", "e", "f"}

// historySteps is the number of random events in a history.
const historySteps = 3000

// run simulates one history of random events and checks it. A VM loses its state only while no
// other voter has lost its own, see canLoseState.
func (s *sim) run() {
	s.runConnected(200, func() bool { return s.leader() != nil })
	for i := 0; i < historySteps && s.violation == nil; i++ {
		s.step()
		if i%100 == 0 {
			s.checkLogs()
		}
	}
	if s.violation == nil {
		s.checkEnd()
	}
}

func (s *sim) step() {
	p := s.vms[s.src.IntN(len(s.vms))]
	switch event := s.src.IntN(1000); {
	case event < 600:
		s.networkEvent(event)
	case event < 720:
		s.tick(p)
	case event < 900:
		s.sync(p)
	case event < 950:
		s.propose(p)
	case event < 960:
		s.read(p)
	default:
		s.injectFault(p, event)
	}
}

// networkEvent delivers, duplicates or drops messages. Messages may be reordered.
func (s *sim) networkEvent(event int) {
	for range 1 + event%4 {
		if len(s.messages) == 0 {
			return
		}
		i := s.src.IntN(min(len(s.messages), 8))
		m := s.messages[i]
		fate := s.src.IntN(100)
		if fate >= 3 { // 3 of 100 stay queued and are delivered again
			s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
		}
		if fate < 97 { // 3 of 100 are lost
			s.deliver(m)
		}
	}
	if len(s.messages) > 400 { // a full queue drops its oldest messages
		s.messages = s.messages[100:]
	}
}

// injectFault compacts a log, or causes or heals a fault: partitions, frozen, crashed, wiped or
// rolled-back VMs and leadership transfers.
func (s *sim) injectFault(p *process, event int) {
	switch {
	case event < 970:
		s.compact(p)
	case event < 972:
		s.partitioned[p.vm] = !s.partitioned[p.vm]
		s.events["partition"]++
	case event < 980:
		clear(s.partitioned)
	case event < 982:
		p.frozen = true
		s.events["freeze"]++
	case event < 984:
		for _, q := range s.vms {
			q.frozen = false
		}
	case event < 986:
		if p.node != nil && !p.frozen {
			if p.node.TransferLeadership() == nil {
				s.events["transfer"]++
			}
			s.advance(p)
		}
	case event < 989:
		if p.node != nil && (p.durable || s.canLoseState(p)) {
			s.crash(p, event%2 == 0)
		}
	case event < 997:
		if p.node == nil {
			s.start(p)
		}
		s.discardStaleDisk(p)
	case event < 998:
		s.wipe(p)
	default:
		s.rollBack(p)
	}
}

// wipe erases the disk of a VM and restarts the VM.
func (s *sim) wipe(p *process) {
	if !p.durable || !s.canLoseState(p) {
		return
	}
	s.events["wipe"]++
	s.crash(p, false)
	p.disk, p.images = nil, nil
	s.start(p)
}

// rollBack restarts a VM from a disk image of an earlier boot. All other voters must have recorded
// a later boot, since the rollback may otherwise go undetected, see doc.go.
func (s *sim) rollBack(p *process) {
	if len(p.images) == 0 || p.disk == nil || !s.canLoseState(p) || !s.votersKnowBoot(p) {
		return
	}
	old := p.images[s.src.IntN(len(p.images))].clone()
	if old.incarnation != p.disk.incarnation || old.boot >= p.disk.boot {
		return
	}
	s.events["rollback"]++
	s.crash(p, false)
	p.disk = old
	p.rolledBackIncarnation = old.incarnation
	s.start(p)
}

// votersKnowBoot reports whether all other voters have persisted the current boot counter of a VM.
func (s *sim) votersKnowBoot(p *process) bool {
	for _, vm := range s.voters {
		q := s.process(vm)
		knows := q == p || q.node != nil && slices.ContainsFunc(q.disk.hardState.GetMarks(), func(m *pb.RaftPeerMark) bool {
			return idOf(m.GetId()) == ID{VM: p.vm, Incarnation: p.disk.incarnation} && m.GetBoot() == p.disk.boot
		})
		if !knows {
			return false
		}
	}
	return true
}

// Guards against lost, diverging or repeated entries, two leaders in a term, promotion of learners
// that lack entries, stale reads and groups that do not recover. It also fails if one kind of
// event never occurs, since the histories would then not cover it.
func TestRandomHistories(t *testing.T) {
	t.Parallel()
	events := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([][]string{threeVoters, threeVoters, fiveVoters}).Draw(t, "voters")
		s := newSim(rapid.Uint64().Draw(t, "history"), simOptions{}, voters...)
		s.run()
		if s.violation != nil {
			t.Fatal(s.violation)
		}
		for event, count := range s.events {
			events[event] += count
		}
	})
	t.Log(events)
	for _, event := range []string{"acknowledged", "election", "membership", "read", "transfer", "install",
		"crash", "partition", "freeze", "wipe", "rollback", "discard"} {
		if events[event] == 0 {
			t.Errorf("no simulated history contains the event %q", event)
		}
	}
}

// runUntilReplaced runs events without crashes until every voter VM votes with its current
// incarnation only. It returns false if that does not happen.
func (s *sim) runUntilReplaced() bool {
	for i := 1; i <= 20_000 && s.violation == nil; i++ {
		s.stepWithoutCrashes()
		if i%100 != 0 {
			continue
		}
		if vms, known := s.unreplacedVoters(); known && len(vms) == 0 {
			return true
		}
	}
	return false
}

// stepWithoutCrashes is a random event in which messages may be lost and reordered, but no process
// fails.
func (s *sim) stepWithoutCrashes() {
	p := s.vms[s.src.IntN(len(s.vms))]
	switch event := s.src.IntN(100); {
	case event < 60:
		s.networkEvent(event)
	case event < 72:
		s.tick(p)
	case event < 94:
		s.sync(p)
	case event < 99:
		s.propose(p)
	default:
		s.compact(p)
	}
}

// Guards against a lost acknowledged entry, or a group that stops, when a second VM loses its
// state immediately after the first one was replaced.
func TestSecondLossRightAfterRepair(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "history"), simOptions{}, threeVoters...)
		s.settle()
		for range 3 {
			p := s.vms[s.src.IntN(len(s.voters))]
			s.crash(p, false)
			p.disk, p.images = nil, nil
			s.start(p)
			if !s.runUntilReplaced() {
				s.fail("liveness: %s was not replaced\n%s", p.vm, s.describe())
			}
		}
		s.checkEnd()
		if s.violation != nil {
			t.Fatal(s.violation)
		}
	})
}
