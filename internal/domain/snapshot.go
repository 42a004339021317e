package domain

import (
	"fmt"
	"unique"

	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Field numbers of pb.DomainSnapshot.
const (
	fieldTasks   = 1
	fieldWorkers = 2
	fieldRecords = 3
	fieldDrained = 4
	fieldUnixMs  = 5
	fieldHeld    = 6
	fieldIndex   = 7
	fieldTerm    = 8
)

// Field numbers of pb.RequestRecord.
const (
	fieldRecordMember   = 1
	fieldRecordKey      = 2
	fieldRecordDigest   = 3
	fieldRecordStage    = 4
	fieldRecordSender   = 5
	fieldRecordInstance = 6
	fieldRecordAnswer   = 7
	fieldRecordUnixMs   = 8
	fieldRecordIntent   = 9
)

// snapshotWriter appends one message after the other, so that encoding needs no second copy of the state.
type snapshotWriter struct {
	buffer  []byte
	scratch []byte
	err     error
}

func (w *snapshotWriter) message(field protowire.Number, m proto.Message) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(w.scratch[:0], m)
	if err != nil {
		w.err = err
		return
	}
	w.scratch = encoded
	w.bytes(field, encoded)
}

func (w *snapshotWriter) bytes(field protowire.Number, value []byte) {
	w.buffer = protowire.AppendTag(w.buffer, field, protowire.BytesType)
	w.buffer = protowire.AppendBytes(w.buffer, value)
}

func (w *snapshotWriter) number(field protowire.Number, value uint64) {
	w.buffer = appendNumber(w.buffer, field, value)
}

// Snapshot encodes the whole state as a pb.DomainSnapshot. Equal states have equal snapshots.
func (s *State) Snapshot() ([]byte, error) { return s.View().Encode() }

// Encode encodes the view as a pb.DomainSnapshot. It may run while the control goroutine applies further entries.
func (v *View) Encode() ([]byte, error) {
	w := &snapshotWriter{}
	w.number(fieldUnixMs, uint64(v.unixMs))
	w.number(fieldIndex, v.index)
	w.number(fieldTerm, v.term)
	for _, one := range v.workers.all {
		w.worker(one)
	}
	for _, t := range v.tasks.all {
		w.message(fieldTasks, t)
	}
	for id := range v.drained.all {
		w.bytes(fieldDrained, []byte(id))
	}
	for k, r := range v.records.all {
		w.record(k, r)
	}
	if w.err != nil {
		return nil, fmt.Errorf("encode snapshot at entry %d: %w", v.index, w.err)
	}
	return w.buffer, nil
}

func (w *snapshotWriter) worker(one *worker) {
	w.message(fieldWorkers, one.pb)
	for _, o := range one.held {
		w.message(fieldHeld, &pb.HeldAttempt{Worker: one.pb.GetId(), Task: o.task, Attempt: o.attempt, Resources: o.size.proto()})
	}
}

// record encodes a pb.RequestRecord field by field: there may be a million of them.
func (w *snapshotWriter) record(k recordKey, r *record) {
	from := r.sender.Value()
	one := appendText(w.scratch[:0], fieldRecordMember, k.member.Value())
	one = protowire.AppendTag(one, fieldRecordKey, protowire.BytesType)
	one = k.key.AppendText(protowire.AppendVarint(one, idempotency.TextLength))
	one = appendText(one, fieldRecordDigest, string(r.digest[:]))
	one = appendNumber(one, fieldRecordStage, uint64(r.stage))
	one = appendText(one, fieldRecordSender, from.vm)
	one = appendText(one, fieldRecordInstance, from.instance)
	if r.answer != nil {
		one = protowire.AppendBytes(protowire.AppendTag(one, fieldRecordAnswer, protowire.BytesType), r.answer)
	}
	one = appendNumber(one, fieldRecordUnixMs, uint64(k.key.UnixMs()))
	w.scratch = appendNumber(one, fieldRecordIntent, r.intent)
	w.bytes(fieldRecords, w.scratch)
}

func appendText(to []byte, field protowire.Number, value string) []byte {
	return protowire.AppendString(protowire.AppendTag(to, field, protowire.BytesType), value)
}

func appendNumber(to []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(to, field, protowire.VarintType), value)
}

// Restore replaces the state by a snapshot and reports the difference to subscribers.
func (s *State) Restore(snapshot []byte) error {
	former := s.content
	s.clear()
	if err := s.load(snapshot); err != nil {
		return fmt.Errorf("decode snapshot of domain %s: %w", s.name, err)
	}
	s.addRemoved(former)
	s.publish()
	s.notify()
	return nil
}

// load reads the fields in the order in which Snapshot writes them: workers come before tasks and held attempts.
func (s *State) load(snapshot []byte) error {
	for len(snapshot) > 0 {
		field, kind, n := protowire.ConsumeTag(snapshot)
		if n < 0 {
			return protowire.ParseError(n)
		}
		snapshot = snapshot[n:]
		n = protowire.ConsumeFieldValue(field, kind, snapshot)
		if n < 0 {
			return protowire.ParseError(n)
		}
		if err := s.loadField(field, kind, snapshot[:n]); err != nil {
			return fmt.Errorf("field %d: %w", field, err)
		}
		snapshot = snapshot[n:]
	}
	return nil
}

func (s *State) loadField(field protowire.Number, kind protowire.Type, raw []byte) error {
	switch kind {
	case protowire.VarintType:
		value, _ := protowire.ConsumeVarint(raw)
		s.loadNumber(field, value)
		return nil
	case protowire.BytesType:
		value, _ := protowire.ConsumeBytes(raw)
		return s.loadMessage(field, value)
	default:
		return nil
	}
}

func (s *State) loadNumber(field protowire.Number, value uint64) {
	switch field {
	case fieldUnixMs:
		s.unixMs = int64(value)
	case fieldIndex:
		s.index = value
	case fieldTerm:
		s.term = value
	}
}

func (s *State) loadMessage(field protowire.Number, raw []byte) error {
	switch field {
	case fieldTasks:
		return s.loadTask(raw)
	case fieldWorkers:
		return s.loadWorker(raw)
	case fieldRecords:
		return s.loadRecord(raw)
	case fieldHeld:
		return s.loadHeld(raw)
	case fieldDrained:
		s.drained.set(s.edit, string(raw), struct{}{})
	}
	return nil
}

func (s *State) loadWorker(raw []byte) error {
	p := &pb.Worker{}
	if err := proto.Unmarshal(raw, p); err != nil {
		return err
	}
	w := &worker{edit: s.edit}
	s.workers.set(s.edit, p.GetId(), w)
	s.storeWorker(w, p)
	return nil
}

func (s *State) loadHeld(raw []byte) error {
	h := &pb.HeldAttempt{}
	if err := proto.Unmarshal(raw, h); err != nil {
		return err
	}
	w := s.workers.value(h.GetWorker())
	if w == nil {
		return fmt.Errorf("attempt %d of task %s is held on unknown worker %s", h.GetAttempt(), h.GetTask(), h.GetWorker())
	}
	w.hold(occupant{h.GetTask(), h.GetAttempt(), fromPB(h.GetResources())})
	return nil
}

func (s *State) loadTask(raw []byte) error {
	t := &pb.Task{}
	if err := proto.Unmarshal(raw, t); err != nil {
		return err
	}
	internSpec(t.GetSpec())
	s.storeTask(t)
	if Ended(t.GetState()) {
		s.ended.add(t.GetEndedUnixMs(), t.GetId())
		return nil
	}
	s.countActive(t.GetSpec(), 1)
	if !Assigned(t.GetState()) {
		return nil
	}
	w := s.workers.value(t.GetWorker())
	if w == nil {
		return fmt.Errorf("task %s is on unknown worker %s", t.GetId(), t.GetWorker())
	}
	w.assign(occupant{t.GetId(), t.GetAttempt(), fromPB(t.GetSpec().GetResources())})
	return nil
}

func (s *State) loadRecord(raw []byte) error {
	p := &pb.RequestRecord{}
	if err := proto.Unmarshal(raw, p); err != nil {
		return err
	}
	k, err := newRecordKey(p.GetMember(), p.GetKey())
	if err != nil {
		return err
	}
	r := &record{stage: p.GetStage(), intent: p.GetIntentIndex(), sender: unique.Make(sender{p.GetSender(), p.GetSenderInstance()})}
	copy(r.digest[:], p.GetDigest())
	if p.GetAnswer() != nil {
		r.answer = encodeAnswer(p.GetAnswer())
	}
	s.putRecord(k, r)
	return nil
}

func (s *State) addRemoved(former content) {
	for id := range former.tasks.all {
		if _, ok := s.tasks.get(id); !ok {
			s.change.RemovedTasks = append(s.change.RemovedTasks, id)
		}
	}
	for id := range former.workers.all {
		if _, ok := s.workers.get(id); !ok {
			s.change.RemovedWorkers = append(s.change.RemovedWorkers, id)
		}
	}
}
