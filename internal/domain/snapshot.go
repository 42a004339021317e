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

// snapshotWriter encodes a snapshot message by message, so that no pb.DomainSnapshot with a second copy of the state is
// needed.
type snapshotWriter struct {
	buffer  []byte
	scratch []byte // reused for the encoding of single messages
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

// Snapshot encodes the whole state as a pb.DomainSnapshot. Replicas with equal states produce identical snapshots.
func (s *State) Snapshot() ([]byte, error) { return s.View().Encode() }

// Encode encodes the view as a pb.DomainSnapshot. The control goroutine may apply further entries meanwhile.
func (v *View) Encode() ([]byte, error) {
	w := &snapshotWriter{}
	w.number(fieldUnixMs, uint64(v.unixMs))
	w.number(fieldIndex, v.index)
	w.number(fieldTerm, v.term)
	for _, registered := range v.workers.all {
		w.worker(registered)
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

func (w *snapshotWriter) worker(registered *worker) {
	w.message(fieldWorkers, registered.pb)
	for _, a := range registered.held {
		w.message(fieldHeld, &pb.HeldAttempt{Worker: registered.pb.GetId(), Task: a.task, Attempt: a.attempt, Resources: a.size.proto()})
	}
}

// record encodes a pb.RequestRecord field by field. Building the messages would be too costly for the default limit of
// a million records.
func (w *snapshotWriter) record(k recordKey, r *record) {
	from := r.sender.Value()
	encoded := appendText(w.scratch[:0], fieldRecordMember, k.member.Value())
	encoded = protowire.AppendTag(encoded, fieldRecordKey, protowire.BytesType)
	encoded = k.key.AppendText(protowire.AppendVarint(encoded, idempotency.TextLength))
	encoded = appendText(encoded, fieldRecordDigest, string(r.digest[:]))
	encoded = appendNumber(encoded, fieldRecordStage, uint64(r.stage))
	encoded = appendText(encoded, fieldRecordSender, from.vm)
	encoded = appendText(encoded, fieldRecordInstance, from.instance)
	if r.answer != nil {
		encoded = protowire.AppendBytes(protowire.AppendTag(encoded, fieldRecordAnswer, protowire.BytesType), r.answer)
	}
	encoded = appendNumber(encoded, fieldRecordUnixMs, uint64(k.key.UnixMs()))
	w.scratch = appendNumber(encoded, fieldRecordIntent, r.intent)
	w.bytes(fieldRecords, w.scratch)
}

func appendText(to []byte, field protowire.Number, value string) []byte {
	return protowire.AppendString(protowire.AppendTag(to, field, protowire.BytesType), value)
}

func appendNumber(to []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(to, field, protowire.VarintType), value)
}

// Restore replaces the state by a snapshot and notifies the subscribers of all tasks and workers in it and of those
// that it no longer contains.
func (s *State) Restore(snapshot []byte) error {
	previous := s.content
	s.clear()
	if err := s.load(snapshot); err != nil {
		return fmt.Errorf("decode snapshot of domain %s: %w", s.name, err)
	}
	s.appendRemoved(previous)
	s.publish()
	s.notify()
	return nil
}

// load decodes a snapshot into the empty state. It relies on the order in which Encode writes the fields: each worker
// precedes the tasks and held attempts that refer to it.
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
		s.drained.set(s.generation, string(raw), struct{}{})
	}
	return nil
}

func (s *State) loadWorker(raw []byte) error {
	p := &pb.Worker{}
	if err := proto.Unmarshal(raw, p); err != nil {
		return err
	}
	w := &worker{generation: s.generation}
	s.workers.set(s.generation, p.GetId(), w)
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
		return fmt.Errorf("attempt %d of task %s is held on worker %s, which the snapshot does not contain", h.GetAttempt(), h.GetTask(), h.GetWorker())
	}
	w.hold(allocation{h.GetTask(), h.GetAttempt(), resourcesFromProto(h.GetResources())})
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
		s.endedTasks.add(t.GetEndedUnixMs(), t.GetId())
		return nil
	}
	s.addActive(t.GetSpec(), 1)
	if !Assigned(t.GetState()) {
		return nil
	}
	w := s.workers.value(t.GetWorker())
	if w == nil {
		return fmt.Errorf("task %s is assigned to worker %s, which the snapshot does not contain", t.GetId(), t.GetWorker())
	}
	w.assign(allocation{t.GetId(), t.GetAttempt(), resourcesFromProto(t.GetSpec().GetResources())})
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

// appendRemoved adds the tasks and workers that exist in the previous content only to the current change.
func (s *State) appendRemoved(previous content) {
	for id := range previous.tasks.all {
		if _, ok := s.tasks.get(id); !ok {
			s.change.RemovedTasks = append(s.change.RemovedTasks, id)
		}
	}
	for id := range previous.workers.all {
		if _, ok := s.workers.get(id); !ok {
			s.change.RemovedWorkers = append(s.change.RemovedWorkers, id)
		}
	}
}
