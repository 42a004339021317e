package domain

import (
	"bytes"
	"unique"

	"github.com/cespare/xxhash/v2"
	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

const digestBytes = 32

// recordKey identifies a request record. The member name is stored once.
type recordKey struct {
	member unique.Handle[string]
	key    idempotency.Key
}

// hash depends only on the text of the key, so that replicas agree.
func (k recordKey) hash() uint64 {
	return xxhash.Sum64String(k.member.Value()) ^ xxhash.Sum64(k.key[:])
}

func newRecordKey(member, key string) (recordKey, error) {
	parsed, err := idempotency.Parse(key)
	return recordKey{unique.Make(member), parsed}, err
}

// record is the compact, immutable form of pb.RequestRecord.
type record struct {
	digest [digestBytes]byte
	sender unique.Handle[sender]
	stage  pb.RequestRecord_Stage
	answer []byte // encoded pb.StoredAnswer
	intent uint64 // index of the entry that created the intent
}

type sender struct{ vm, instance string }

// recordUse counts what the limits of request records refer to.
type recordUse struct {
	perMember   map[unique.Handle[string]]int
	intents     map[recordKey]struct{}
	answerBytes int64
	byAge       expiry[recordKey]
}

func newRecordUse() recordUse {
	return recordUse{perMember: map[unique.Handle[string]]int{}, intents: map[recordKey]struct{}{}}
}

func (r *record) proto(k recordKey) *pb.RequestRecord {
	from := r.sender.Value()
	p := &pb.RequestRecord{Member: k.member.Value(), Key: k.key.String(), Digest: bytes.Clone(r.digest[:]),
		Stage: r.stage, Sender: from.vm, SenderInstance: from.instance, KeyUnixMs: k.key.UnixMs(), IntentIndex: r.intent}
	if r.answer != nil {
		p.Answer = &pb.StoredAnswer{}
		_ = proto.Unmarshal(r.answer, p.Answer) // encoded by this package
	}
	return p
}

func (s *State) putRecord(k recordKey, r *record) {
	old := s.records.value(k)
	if old == nil {
		s.recordUse.perMember[k.member]++
		s.recordUse.byAge.add(k.key.UnixMs(), k)
	} else {
		s.recordUse.answerBytes -= int64(len(old.answer))
	}
	s.recordUse.answerBytes += int64(len(r.answer))
	if r.stage == pb.RequestRecord_STAGE_INTENT {
		s.recordUse.intents[k] = struct{}{}
	} else {
		delete(s.recordUse.intents, k)
	}
	s.records.set(s.edit, k, r)
}

func (s *State) removeRecord(k recordKey) {
	old := s.records.value(k)
	if old == nil {
		return
	}
	s.recordUse.answerBytes -= int64(len(old.answer))
	if s.recordUse.perMember[k.member]--; s.recordUse.perMember[k.member] == 0 {
		delete(s.recordUse.perMember, k.member)
	}
	delete(s.recordUse.intents, k)
	s.records.remove(s.edit, k)
}

// expireRecords drops the records whose keys were issued in the minutes before the given time.
func (s *State) expireRecords(beforeUnixMs int64) {
	for _, k := range s.recordUse.byAge.takeBefore(beforeUnixMs) {
		s.removeRecord(k)
	}
}

// commitIntent creates the record of a request before it is sent. Only the command that creates it may send.
func (s *State) commitIntent(c *pb.CommitIntent) Result {
	asked := c.GetRecord()
	k, err := newRecordKey(asked.GetMember(), asked.GetKey())
	if err != nil {
		return Result{Err: errs.From(err)}
	}
	if len(asked.GetDigest()) != digestBytes || asked.GetMember() == "" || asked.GetSender() == "" {
		return Result{Err: errs.ErrInvalid.With("an intent names its member, its sender and a digest of %d bytes", digestBytes)}
	}
	if old := s.records.value(k); old != nil {
		return repeated(k, old, asked)
	}
	if err := s.checkIntent(k); err != nil {
		return Result{Err: errs.From(err)}
	}
	r := &record{stage: pb.RequestRecord_STAGE_INTENT, intent: s.index, sender: unique.Make(sender{asked.GetSender(), asked.GetSenderInstance()})}
	copy(r.digest[:], asked.GetDigest())
	s.putRecord(k, r)
	return Result{Record: r.proto(k), Created: true}
}

func repeated(k recordKey, old *record, asked *pb.RequestRecord) Result {
	if !bytes.Equal(old.digest[:], asked.GetDigest()) {
		return Result{Err: ErrKeyReused.With("key %s of member %s was used for another request", asked.GetKey(), asked.GetMember())}
	}
	return Result{Record: old.proto(k)}
}

func (s *State) checkIntent(k recordKey) error {
	if err := k.key.CheckAge(s.unixMs); err != nil {
		return err
	}
	if s.records.size >= s.limits.MaxRecords {
		return ErrTooManyRecords.With("domain %s holds %d request records", s.name, s.limits.MaxRecords)
	}
	if s.recordUse.perMember[k.member] >= s.limits.MaxRecordsPerMember {
		return ErrTooManyRecords.With("member %s has %d request records", k.member.Value(), s.limits.MaxRecordsPerMember)
	}
	return nil
}

// commitOutcome ends an intent. The sender may also correct an outcome that was taken to be unknown.
func (s *State) commitOutcome(c *pb.CommitOutcome) Result {
	k, err := newRecordKey(c.GetMember(), c.GetKey())
	if err != nil {
		return Result{Err: errs.From(err)}
	}
	r := s.records.value(k)
	if r == nil {
		return Result{Err: errs.ErrNotFound.With("key %s of member %s has no record", c.GetKey(), c.GetMember())}
	}
	if from := r.sender.Value(); from != (sender{c.GetSender(), c.GetSenderInstance()}) {
		return Result{Err: ErrNotSender.With("key %s was sent by %s", c.GetKey(), from.vm)}
	}
	if r.stage == pb.RequestRecord_STAGE_EXECUTED {
		return Result{Record: r.proto(k)}
	}
	return s.setOutcome(k, r, c)
}

func (s *State) setOutcome(k recordKey, old *record, c *pb.CommitOutcome) Result {
	r := *old
	switch c.GetResult() {
	case pb.CommitOutcome_RESULT_NOT_RUN:
		if c.GetIntentIndex() != old.intent {
			return Result{Err: ErrNotSender.With("key %s has the intent of entry %d, not %d", c.GetKey(), old.intent, c.GetIntentIndex())}
		}
		s.removeRecord(k)
		return Result{}
	case pb.CommitOutcome_RESULT_EXECUTED:
		r.stage = pb.RequestRecord_STAGE_EXECUTED
		r.answer = s.storedAnswer(c.GetAnswer())
	case pb.CommitOutcome_RESULT_UNKNOWN:
		r.stage = pb.RequestRecord_STAGE_UNKNOWN
	default:
		return Result{Err: errs.ErrInvalid.With("outcome of key %s has no result", c.GetKey())}
	}
	s.putRecord(k, &r)
	return Result{Record: r.proto(k)}
}

// storedAnswer encodes an answer and drops its body once the stored answers together exceed their limit.
func (s *State) storedAnswer(a *pb.StoredAnswer) []byte {
	encoded := encodeAnswer(a)
	if s.recordUse.answerBytes+int64(len(encoded)) <= s.limits.MaxAnswerBytes {
		return encoded
	}
	return encodeAnswer(&pb.StoredAnswer{Status: a.GetStatus(), Target: a.GetTarget(), BodyDropped: true})
}

func encodeAnswer(a *pb.StoredAnswer) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(a)
	if err != nil {
		return nil
	}
	return encoded
}

// senderGone turns the intents of dead instances of an entry VM into unknown outcomes.
func (s *State) senderGone(c *pb.SenderGone) Result {
	for k := range s.recordUse.intents {
		old := s.records.value(k)
		from := old.sender.Value()
		if from.vm != c.GetSender() || from.instance == c.GetLiveInstance() {
			continue
		}
		r := *old
		r.stage = pb.RequestRecord_STAGE_UNKNOWN
		s.putRecord(k, &r)
	}
	return Result{}
}
