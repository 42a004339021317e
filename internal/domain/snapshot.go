package domain

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

// Snapshot encodes the whole state. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) {
	p := &pb.DomainSnapshot{UnixMs: s.unixMs, Index: s.index, Term: s.term}
	for _, id := range slices.Sorted(maps.Keys(s.tasks)) {
		p.Tasks = append(p.Tasks, s.tasks[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.workers)) {
		p.Workers = append(p.Workers, s.workers[id].pb)
		p.Held = append(p.Held, s.workers[id].heldProto()...)
	}
	p.Records = s.records.snapshot()
	p.DrainedTargets = slices.Sorted(maps.Keys(s.drained))
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of domain %s: %w", s.name, err)
	}
	return encoded, nil
}

func (w *worker) heldProto() []*pb.HeldAttempt {
	var held []*pb.HeldAttempt
	for k, r := range w.held {
		held = append(held, &pb.HeldAttempt{Worker: w.pb.GetId(), Task: k.task, Attempt: k.attempt, Resources: r.proto()})
	}
	slices.SortFunc(held, compareHeld)
	return held
}

func (r *records) snapshot() []*pb.RequestRecord {
	all := make([]*pb.RequestRecord, 0, len(r.byKey))
	for _, k := range slices.SortedFunc(maps.Keys(r.byKey), r.compare) {
		all = append(all, r.proto(k, r.byKey[k]))
	}
	return all
}

// Restore replaces the state by a snapshot and reports the difference to subscribers.
func (s *State) Restore(snapshot []byte) error {
	p := &pb.DomainSnapshot{}
	if err := proto.Unmarshal(snapshot, p); err != nil {
		return fmt.Errorf("decode snapshot of domain %s: %w", s.name, err)
	}
	s.mu.Lock()
	oldTasks, oldWorkers := s.tasks, s.workers
	s.clear()
	err := s.load(p)
	s.addRemoved(oldTasks, oldWorkers)
	change := s.change
	s.change = Change{}
	s.mu.Unlock()
	s.notify(change)
	return err
}

func (s *State) load(p *pb.DomainSnapshot) error {
	s.unixMs, s.index, s.term = p.GetUnixMs(), p.GetIndex(), p.GetTerm()
	for _, w := range p.GetWorkers() {
		loaded := &worker{tasks: map[string]uint32{}}
		s.workers[w.GetId()] = loaded
		s.storeWorker(loaded, w)
	}
	for _, h := range p.GetHeld() {
		if w := s.workers[h.GetWorker()]; w != nil {
			w.hold(attemptKey{h.GetTask(), h.GetAttempt()}, fromPB(h.GetResources()))
		}
	}
	for _, t := range p.GetTasks() {
		if err := s.loadTask(t); err != nil {
			return err
		}
	}
	for _, id := range p.GetDrainedTargets() {
		s.drained[id] = struct{}{}
	}
	return s.loadRecords(p.GetRecords())
}

func (s *State) loadTask(t *pb.Task) error {
	internSpec(t.GetSpec())
	s.storeTask(t)
	if !Ended(t.GetState()) {
		s.active++
	}
	if !Assigned(t.GetState()) {
		return nil
	}
	w := s.workers[t.GetWorker()]
	if w == nil {
		return fmt.Errorf("snapshot of domain %s: task %s is on unknown worker %s", s.name, t.GetId(), t.GetWorker())
	}
	w.tasks[t.GetId()] = t.GetAttempt()
	w.used = w.used.plus(fromPB(t.GetSpec().GetResources()))
	return nil
}

func (s *State) loadRecords(all []*pb.RequestRecord) error {
	for _, p := range all {
		u, err := parseKey(p.GetKey())
		if err != nil {
			return fmt.Errorf("snapshot of domain %s: %w", s.name, err)
		}
		v := record{stage: p.GetStage(), sender: s.records.senderNumber(sender{p.GetSender(), p.GetSenderInstance()})}
		copy(v.digest[:], p.GetDigest())
		if p.GetAnswer() != nil {
			v.answer = encodeAnswer(p.GetAnswer())
		}
		s.records.put(recordKey{s.records.member(p.GetMember()), u}, v)
	}
	return nil
}

func (s *State) addRemoved(oldTasks map[string]*pb.Task, oldWorkers map[string]*worker) {
	for id := range oldTasks {
		if _, ok := s.tasks[id]; !ok {
			s.change.RemovedTasks = append(s.change.RemovedTasks, id)
		}
	}
	for id := range oldWorkers {
		if _, ok := s.workers[id]; !ok {
			s.change.RemovedWorkers = append(s.change.RemovedWorkers, id)
		}
	}
}

func compareHeld(a, b *pb.HeldAttempt) int {
	return cmp.Or(cmp.Compare(a.GetTask(), b.GetTask()), cmp.Compare(a.GetAttempt(), b.GetAttempt()))
}

// compare orders keys by member name, because the numbers of members differ between replicas.
func (r *records) compare(a, b recordKey) int {
	return cmp.Or(cmp.Compare(r.memberNames[a.member], r.memberNames[b.member]), bytes.Compare(a.key[:], b.key[:]))
}
