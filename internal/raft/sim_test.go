package raft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

// variant leaves out one protection, to show that the checkers report it.
type variant struct {
	faults
	skipSync   bool // acknowledge before the write is on disk
	forgetVote bool // the vote is not written to disk
	open       bool // VMs that are not listed may join
}

// image is what a disk holds after a sync.
type image struct {
	incarnation, boot, start uint64
	hardState                *pb.RaftHardState
	snapshot                 *pb.RaftSnapshot
	entries                  []*pb.RaftEntry
}

func (d *image) clone() *image {
	c := *d
	c.entries = slices.Clone(d.entries)
	return &c
}

func (d *image) write(r Ready) {
	if r.Snapshot != nil {
		d.snapshot, d.entries = r.Snapshot, nil
	}
	if r.HardState != nil {
		d.hardState = r.HardState
	}
	d.hardState = proto.CloneOf(d.hardState) // images share it
	d.hardState.Commit = r.Commit
	for _, e := range r.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].GetIndex() >= e.GetIndex() {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(slices.Clip(d.entries), e)
	}
}

// process is one VM.
type process struct {
	vm      string
	durable bool
	started bool     // there was an earlier process
	gone    bool     // never started again
	disk    *image   // nil: empty
	images  []*image // copies of the disk from earlier boots
	node    *Node    // nil: not running
	frozen  bool
	old     uint64 // incarnation whose disk was rolled back
	pending *Ready // write without sync
	applied []string
	leading uint64
	mark    uint64 // index of the membership that was checked for promotions
}

// sim is a group of VMs with a network that loses, repeats and reorders.
type sim struct {
	src      *rand.Rand
	variant  variant
	vms      []*process
	voters   []string
	learners []string
	messages []*pb.RaftMessage
	cut      map[string]bool
	random   uint64

	proposals int
	proposed  map[uint64]string // by index and term, see key
	acked     map[string]uint64 // data to index
	committed map[uint64]*pb.RaftEntry
	highest   uint64
	leaders   map[uint64]ID
	reads     map[uint64]uint64 // token to the least acceptable index
	tokens    uint64
	violation error
	events    map[string]int // how often each kind of event happened
}

// newSim starts a group of 3 or 5 voters, of which a majority has a disk, and a learner without one.
func newSim(seed uint64, v variant, voters ...string) *sim {
	s := &sim{
		src: rand.New(rand.NewPCG(seed, 1)), variant: v, voters: voters, learners: []string{"d"}, cut: map[string]bool{},
		proposed: map[uint64]string{}, acked: map[string]uint64{}, committed: map[uint64]*pb.RaftEntry{},
		leaders: map[uint64]ID{}, reads: map[uint64]uint64{}, events: map[string]int{},
	}
	for i, vm := range append(slices.Clip(voters), s.learners...) {
		p := &process{vm: vm, durable: i <= len(voters)/2}
		s.vms = append(s.vms, p)
		s.start(p)
	}
	return s
}

func (s *sim) fail(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// next returns numbers that are unique within the history.
func (s *sim) next() uint64 {
	s.random++
	return s.random * 0x9e3779b97f4a7c15
}

// start runs a process from its disk.
func (s *sim) start(p *process) {
	restarted := p.disk != nil
	if !restarted {
		p.disk = &image{incarnation: s.next()}
	} else {
		p.images = append(p.images, p.disk.clone())
	}
	if p.disk.boot <= p.disk.hardState.GetConfirmedBoot() {
		p.disk.boot++
		p.disk.start = s.next()
	}
	voters, learners, contacts := s.voters, s.learners, []string(nil)
	if s.variant.open {
		contacts, learners = s.voters, nil
		if p.started || !slices.Contains(s.voters, p.vm) {
			voters = nil
		}
	}
	p.started = true
	node, err := New(Config{
		Self: ID{VM: p.vm, Incarnation: p.disk.incarnation}, Boot: p.disk.boot, Start: p.disk.start, Restarted: restarted,
		Voters: voters, Learners: learners, Open: s.variant.open, Contacts: contacts, MinVoters: len(s.voters), ElectionTicks: 10, HeartbeatTicks: 2,
		Random:    func(n uint64) uint64 { return s.next() >> 11 % n },
		HardState: p.disk.hardState, Snapshot: p.disk.snapshot, Entries: p.disk.entries, faults: s.variant.faults,
	})
	if err != nil {
		s.fail("start %s: %w", p.vm, err)
		return
	}
	p.node, p.pending, p.frozen, p.leading, p.mark = node, nil, false, 0, 0
	p.applied = decodeApplied(p.disk.snapshot)
	s.advance(p)
}

// crash ends a process. A write without sync is lost unless keep is set.
func (s *sim) crash(p *process, keep bool) {
	s.events["crash"]++
	if p.pending != nil && keep {
		s.store(p, *p.pending)
	}
	p.node, p.pending = nil, nil
	if !p.durable {
		p.disk = nil
	}
}

func (s *sim) store(p *process, r Ready) {
	p.disk.write(r)
	if s.variant.forgetVote && r.HardState != nil {
		p.disk.hardState.Vote = nil
	}
}

// advance carries out the work of a node up to the next write.
func (s *sim) advance(p *process) {
	for p.node != nil {
		r := p.node.Ready(p.pending == nil)
		if r.Snapshot != nil {
			s.events["install"]++
			p.applied = decodeApplied(r.Snapshot)
		}
		s.messages = append(s.messages, r.Messages...)
		for _, e := range r.Committed {
			s.apply(p, e)
		}
		s.finishReads(r.Reads)
		if r.SnapshotWanted {
			p.node.ProvideSnapshot(encodeApplied(p.applied))
		}
		if r.MustSync() {
			p.pending = &r
			if s.variant.skipSync {
				s.messages = append(s.messages, r.AfterSync...)
				p.node.Persisted(r.Write)
			}
			break
		}
		s.messages = append(s.messages, r.AfterSync...)
		if len(r.Committed) == 0 && !r.SnapshotWanted {
			break
		}
	}
	s.observe(p)
}

// sync completes the write in progress.
func (s *sim) sync(p *process) {
	if p.pending == nil || p.node == nil || p.frozen {
		return
	}
	r := *p.pending
	p.pending = nil
	s.store(p, r)
	if !s.variant.skipSync {
		s.messages = append(s.messages, r.AfterSync...)
		p.node.Persisted(r.Write)
	}
	s.advance(p)
}

func (s *sim) process(vm string) *process {
	return s.vms[slices.IndexFunc(s.vms, func(p *process) bool { return p.vm == vm })]
}

func (s *sim) deliver(m *pb.RaftMessage) {
	from, to := m.GetFrom().GetVm(), m.GetTo().GetVm()
	p := s.process(to)
	if p.node == nil || p.frozen || s.cut[from] != s.cut[to] {
		return
	}
	p.node.Step(m)
	s.advance(p)
}

func (s *sim) tick(p *process) {
	if p.node != nil && !p.frozen {
		p.node.Tick()
		s.advance(p)
	}
}

func encodeApplied(applied []string) []byte { return []byte(strings.Join(applied, ",")) }

func decodeApplied(snapshot *pb.RaftSnapshot) []string {
	if len(snapshot.GetData()) == 0 {
		return nil
	}
	return strings.Split(string(snapshot.GetData()), ",")
}

// compact snapshots a node's state and drops all but a few entries.
func (s *sim) compact(p *process) {
	if p.node == nil || p.frozen || p.pending != nil {
		return
	}
	meta := p.node.SnapshotMeta()
	if meta.GetIndex() == 0 || meta.GetIndex() <= p.disk.snapshot.GetIndex() {
		return
	}
	meta.Data = encodeApplied(p.applied)
	p.disk.snapshot = meta
	p.disk.entries = slices.DeleteFunc(slices.Clone(p.disk.entries), func(e *pb.RaftEntry) bool { return e.GetIndex() <= meta.GetIndex() })
	p.node.Compact(meta.GetIndex() - uint64(s.src.IntN(3)))
}

func (s *sim) propose(p *process) {
	if p.node == nil || p.frozen {
		return
	}
	s.proposals++
	data := fmt.Sprint(s.proposals)
	index, term, err := p.node.Propose([]byte(data))
	if err == nil {
		s.proposed[index<<20|term] = data
	}
	s.advance(p)
}

func (s *sim) read(p *process) {
	if p.node == nil || p.frozen {
		return
	}
	s.tokens++
	if err := p.node.ReadIndex(s.tokens); err == nil {
		s.reads[s.tokens] = s.highest
	} else if !errors.Is(err, ErrNotLeader) {
		s.fail("read: %w", err)
	}
	s.advance(p)
}

// calm connects everything and runs rounds in which nothing is lost.
func (s *sim) calm(rounds int, until func() bool) bool {
	clear(s.cut)
	for _, p := range s.vms {
		p.frozen = false
		if p.node == nil && !p.gone {
			s.start(p)
		}
	}
	for range rounds {
		s.round()
		if s.violation != nil || until() {
			return true
		}
	}
	return until()
}

// round lets a tick pass everywhere and delivers every message in between.
func (s *sim) round() {
	for _, p := range s.vms {
		s.tick(p)
		s.sync(p)
		s.restartStale(p)
	}
	queue := s.messages
	s.messages = nil
	for _, m := range queue {
		s.deliver(m)
	}
	for _, p := range s.vms {
		s.sync(p)
	}
}

// restartStale discards the state of a node that was told that its disk is older.
func (s *sim) restartStale(p *process) {
	if p.node == nil || !p.node.Status().StaleDisk {
		return
	}
	s.events["discard"]++
	leader := s.leader()
	if leader != nil && leader.node.current().isVoter(p.node.self) && p.old != p.disk.incarnation {
		s.fail("discard: voter %v is told to discard a disk that was not rolled back", p.node.self)
	}
	p.disk, p.images = nil, nil
	s.start(p)
}
