package raft

import (
	"flag"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// TestMain fixes the seed and the number of histories unless flags set them.
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

// historySteps is the number of events of a history.
const historySteps = 3000

// run carries out one history. Faults that lose state happen only while no
// other voter's state is lost, which is what the design page survives.
func (s *sim) run() {
	s.calm(200, func() bool { return s.leader() != nil })
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
		s.network(event)
	case event < 720:
		s.tick(p)
	case event < 900:
		s.sync(p)
	case event < 950:
		s.propose(p)
	case event < 960:
		s.read(p)
	default:
		s.disturb(p, event)
	}
}

// network delivers, repeats or loses messages. Any message may overtake others.
func (s *sim) network(event int) {
	for range 1 + event%4 {
		if len(s.messages) == 0 {
			return
		}
		i := s.src.IntN(min(len(s.messages), 8))
		m := s.messages[i]
		fate := s.src.IntN(100)
		if fate >= 3 { // 3 of 100 stay for another delivery
			s.messages = append(s.messages[:i:i], s.messages[i+1:]...)
		}
		if fate < 97 { // 3 of 100 are lost
			s.deliver(m)
		}
	}
	if len(s.messages) > 400 { // a slow receiver loses old messages
		s.messages = s.messages[100:]
	}
}

func (s *sim) disturb(p *process, event int) {
	switch {
	case event < 970:
		s.compact(p)
	case event < 972:
		s.cut[p.vm] = !s.cut[p.vm]
		s.events["partition"]++
	case event < 980:
		clear(s.cut)
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
		if p.node != nil && (p.durable || s.mayLose(p)) {
			s.crash(p, event%2 == 0)
		}
	case event < 997:
		if p.node == nil {
			s.start(p)
		}
		s.restartStale(p)
	case event < 998:
		s.wipe(p)
	default:
		s.rollBack(p)
	}
}

// wipe loses the disk of a VM.
func (s *sim) wipe(p *process) {
	if !p.durable || !s.mayLose(p) {
		return
	}
	s.events["wipe"]++
	s.crash(p, false)
	p.disk, p.images = nil, nil
	s.start(p)
}

// rollBack restarts a VM from an image that its disk held before an earlier
// start. All other voters must know of a later start, see doc.go.
func (s *sim) rollBack(p *process) {
	if len(p.images) == 0 || p.disk == nil || !s.mayLose(p) || !s.knowBoot(p) {
		return
	}
	old := p.images[s.src.IntN(len(p.images))].clone()
	if old.incarnation != p.disk.incarnation || old.boot >= p.disk.boot {
		return
	}
	s.events["rollback"]++
	s.crash(p, false)
	p.disk = old
	p.old = old.incarnation
	s.start(p)
}

func (s *sim) knowBoot(p *process) bool {
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

// Guards against lost, diverging or repeated entries, two leaders of a term,
// promotions without state, stale reads and groups that do not recover; and
// against histories in which one of the events never happens.
func TestHistories(t *testing.T) {
	t.Parallel()
	events := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		voters := rapid.SampledFrom([][]string{threeVoters, threeVoters, fiveVoters}).Draw(t, "voters")
		s := newSim(rapid.Uint64().Draw(t, "history"), variant{}, voters...)
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
			t.Errorf("no history contains the event %q", event)
		}
	}
}

// repair runs ordinary events until every voter VM votes with its present incarnation only.
func (s *sim) repair() bool {
	for i := 1; i <= 20_000 && s.violation == nil; i++ {
		s.quietStep()
		if i%100 != 0 {
			continue
		}
		if vms, known := s.unrepaired(); known && len(vms) == 0 {
			return true
		}
	}
	return false
}

// quietStep is a step in which messages may be lost and reordered, but no process fails.
func (s *sim) quietStep() {
	p := s.vms[s.src.IntN(len(s.vms))]
	switch event := s.src.IntN(100); {
	case event < 60:
		s.network(event)
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

// Guards against an acknowledged entry that is lost, or a group that stops,
// when another VM loses its state the moment a repair is complete.
func TestSecondLossRightAfterRepair(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(rapid.Uint64().Draw(t, "history"), variant{}, threeVoters...)
		s.settle()
		for range 3 {
			p := s.vms[s.src.IntN(len(s.voters))]
			s.crash(p, false)
			p.disk, p.images = nil, nil
			s.start(p)
			if !s.repair() {
				s.fail("liveness: %s is not replaced\n%s", p.vm, s.describe())
			}
		}
		s.checkEnd()
		if s.violation != nil {
			t.Fatal(s.violation)
		}
	})
}
