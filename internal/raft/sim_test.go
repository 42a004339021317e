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

// simOptions configures a simulation. Apart from open, each option turns off a safety measure, to
// show that the checks detect the resulting errors.
type simOptions struct {
	disabledChecks
	skipSync   bool // send acknowledgements before the write is on disk
	forgetVote bool // do not write the vote to disk
	open       bool // run an open group: VMs that are not listed may join
}

// image is the content of a disk after a sync.
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
	d.hardState = proto.CloneOf(d.hardState) // images share the hard state, so change a copy
	d.hardState.Commit = r.Commit
	for _, e := range r.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].GetIndex() >= e.GetIndex() {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(slices.Clip(d.entries), e)
	}
}

// process is a VM that runs one node.
type process struct {
	vm                     string
	durable                bool     // the disk survives a crash
	started                bool     // the process has run before
	keepStopped            bool     // runConnected does not start it
	disk                   *image   // nil if empty
	images                 []*image // copies of the disk from earlier boots
	node                   *Node    // nil if not running
	frozen                 bool     // neither ticks nor receives messages
	rolledBackIncarnation  uint64   // incarnation whose disk was rolled back
	pending                *Ready   // write that is not synced yet
	applied                []string // proposals that the state machine has applied
	leaderTerm             uint64   // last term in which checkNode saw it lead
	checkedMembershipIndex uint64   // index of the membership that was checked for promotions
}

// sim simulates a group of VMs and a network that drops, duplicates and reorders messages, and
// checks the invariants of Raft.
type sim struct {
	src         *rand.Rand
	options     simOptions
	vms         []*process
	voters      []string
	learners    []string
	messages    []*pb.RaftMessage
	partitioned map[string]bool // VMs on one side of a partition; they reach only each other
	random      uint64

	proposals        int
	proposed         map[uint64]string // by index<<20 | term
	acked            map[string]uint64 // index by data
	committed        map[uint64]*pb.RaftEntry
	highestCommitted uint64
	leaders          map[uint64]ID
	reads            map[uint64]uint64 // lowest acceptable index by token
	tokens           uint64
	violation        error
	events           map[string]int // number of events by kind
}

// newSim starts a group of 3 or 5 voters, of which a majority has a disk, and one learner without
// a disk.
func newSim(seed uint64, options simOptions, voters ...string) *sim {
	s := &sim{
		src: rand.New(rand.NewPCG(seed, 1)), options: options, voters: voters, learners: []string{"d"}, partitioned: map[string]bool{},
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

// nextUnique returns a number that is unique within the simulation.
func (s *sim) nextUnique() uint64 {
	s.random++
	return s.random * 0x9e3779b97f4a7c15
}

// start starts a process from its disk.
func (s *sim) start(p *process) {
	restarted := p.disk != nil
	if !restarted {
		p.disk = &image{incarnation: s.nextUnique()}
	} else {
		p.images = append(p.images, p.disk.clone())
	}
	if p.disk.boot <= p.disk.hardState.GetConfirmedBoot() {
		p.disk.boot++
		p.disk.start = s.nextUnique()
	}
	voters, learners, contacts := s.voters, s.learners, []string(nil)
	if s.options.open {
		contacts, learners = s.voters, nil
		if p.started || !slices.Contains(s.voters, p.vm) {
			voters = nil
		}
	}
	p.started = true
	node, err := New(Config{
		Self: ID{VM: p.vm, Incarnation: p.disk.incarnation}, Boot: p.disk.boot, Start: p.disk.start, Restarted: restarted,
		Voters: voters, Learners: learners, Open: s.options.open, Contacts: contacts, MinVoters: len(s.voters), ElectionTicks: 10, HeartbeatTicks: 2,
		Random:    func(n uint64) uint64 { return s.nextUnique() >> 11 % n },
		HardState: p.disk.hardState, Snapshot: p.disk.snapshot, Entries: p.disk.entries, disabledChecks: s.options.disabledChecks,
	})
	if err != nil {
		s.fail("start %s: %w", p.vm, err)
		return
	}
	p.node, p.pending, p.frozen, p.leaderTerm, p.checkedMembershipIndex = node, nil, false, 0, 0
	p.applied = decodeApplied(p.disk.snapshot)
	s.advance(p)
}

// crash stops a process. A write that is not synced is lost unless keep is set.
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
	if s.options.forgetVote && r.HardState != nil {
		p.disk.hardState.Vote = nil
	}
}

// advance carries out the work that a node returns, until it has to wait for a sync or nothing is
// left.
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
		s.checkReads(r.Reads)
		if r.SnapshotWanted {
			p.node.ProvideSnapshot(encodeApplied(p.applied))
		}
		if r.MustSync() {
			p.pending = &r
			if s.options.skipSync {
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
	s.checkNode(p)
}

// sync completes the pending write of a process.
func (s *sim) sync(p *process) {
	if p.pending == nil || p.node == nil || p.frozen {
		return
	}
	r := *p.pending
	p.pending = nil
	s.store(p, r)
	if !s.options.skipSync {
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
	if p.node == nil || p.frozen || s.partitioned[from] != s.partitioned[to] {
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

// compact saves a snapshot and drops all but the last few entries that it covers.
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
		s.reads[s.tokens] = s.highestCommitted
	} else if !errors.Is(err, ErrNotLeader) {
		s.fail("read: %w", err)
	}
	s.advance(p)
}

// runConnected removes all partitions, unfreezes and starts all processes, and runs rounds without
// message loss until the condition holds or a check fails.
func (s *sim) runConnected(rounds int, until func() bool) bool {
	clear(s.partitioned)
	for _, p := range s.vms {
		p.frozen = false
		if p.node == nil && !p.keepStopped {
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

// round advances every node by one tick and then delivers every queued message once.
func (s *sim) round() {
	for _, p := range s.vms {
		s.tick(p)
		s.sync(p)
		s.discardStaleDisk(p)
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

// discardStaleDisk discards the state of a node that was told that its disk is stale, and restarts
// it as a new incarnation.
func (s *sim) discardStaleDisk(p *process) {
	if p.node == nil || !p.node.Status().StaleDisk {
		return
	}
	s.events["discard"]++
	leader := s.leader()
	if leader != nil && leader.node.current().isVoter(p.node.self) && p.rolledBackIncarnation != p.disk.incarnation {
		s.fail("discard: voter %v was told to discard a disk that was not rolled back", p.node.self)
	}
	p.disk, p.images = nil, nil
	s.start(p)
}
