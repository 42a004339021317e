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

// digestBytes is the length of a request digest (SHA-256).
const digestBytes = 32

// recordKey identifies a request record. Keys of the same member share one copy of its name.
type recordKey struct {
	member unique.Handle[string]
	key    idempotency.Key
}

// hash depends only on the content of the key, so that all replicas build the same trie.
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
	intent uint64 // index of the log entry that created the intent
}

// sender identifies one process of an entry VM.
type sender struct{ vm, instance string }

// recordUsage holds the counters for the limits on request records, and indexes of the records.
type recordUsage struct {
	perMember   map[unique.Handle[string]]int
	intents     map[recordKey]struct{} // keys whose record is in the intent stage
	answerBytes int64
	byAge       expiry[recordKey] // by the time at which the key was issued
}

func newRecordUsage() recordUsage {
	return recordUsage{perMember: map[unique.Handle[string]]int{}, intents: map[recordKey]struct{}{}}
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

// putRecord stores a record and updates the counters and indexes.
func (s *State) putRecord(k recordKey, r *record) {
	old := s.records.value(k)
	if old == nil {
		s.recordUsage.perMember[k.member]++
		s.recordUsage.byAge.add(k.key.UnixMs(), k)
	} else {
		s.recordUsage.answerBytes -= int64(len(old.answer))
	}
	s.recordUsage.answerBytes += int64(len(r.answer))
	if r.stage == pb.RequestRecord_STAGE_INTENT {
		s.recordUsage.intents[k] = struct{}{}
	} else {
		delete(s.recordUsage.intents, k)
	}
	s.records.set(s.generation, k, r)
}

func (s *State) removeRecord(k recordKey) {
	old := s.records.value(k)
	if old == nil {
		return
	}
	s.recordUsage.answerBytes -= int64(len(old.answer))
	if s.recordUsage.perMember[k.member]--; s.recordUsage.perMember[k.member] == 0 {
		delete(s.recordUsage.perMember, k.member)
	}
	delete(s.recordUsage.intents, k)
	s.records.remove(s.generation, k)
}

// expireRecords removes the records whose keys were issued before the minute of the given time.
func (s *State) expireRecords(beforeUnixMs int64) {
	for _, k := range s.recordUsage.byAge.takeBefore(beforeUnixMs) {
		s.removeRecord(k)
	}
}

// commitIntent creates the record of a request before the request is sent to its executor. Only the proposer whose
// command created the record may send the request.
func (s *State) commitIntent(c *pb.CommitIntent) Result {
	requested := c.GetRecord()
	k, err := newRecordKey(requested.GetMember(), requested.GetKey())
	if err != nil {
		return Result{Err: errs.From(err)}
	}
	if len(requested.GetDigest()) != digestBytes || requested.GetMember() == "" || requested.GetSender() == "" {
		return Result{Err: errs.ErrInvalid.With("an intent names its member, its sender and a digest of %d bytes", digestBytes)}
	}
	if old := s.records.value(k); old != nil {
		return repeatedIntent(k, old, requested)
	}
	if err := s.checkIntent(k); err != nil {
		return Result{Err: errs.From(err)}
	}
	r := &record{stage: pb.RequestRecord_STAGE_INTENT, intent: s.index, sender: unique.Make(sender{requested.GetSender(), requested.GetSenderInstance()})}
	copy(r.digest[:], requested.GetDigest())
	s.putRecord(k, r)
	return Result{Record: r.proto(k), Created: true}
}

// repeatedIntent returns the result of an intent whose key already has a record.
func repeatedIntent(k recordKey, old *record, requested *pb.RequestRecord) Result {
	if !bytes.Equal(old.digest[:], requested.GetDigest()) {
		return Result{Err: ErrKeyReused.With("key %s of member %s was used for another request", requested.GetKey(), requested.GetMember())}
	}
	return Result{Record: old.proto(k)}
}

// checkIntent checks the age of the key and the limits on request records.
func (s *State) checkIntent(k recordKey) error {
	if err := k.key.CheckAge(s.unixMs); err != nil {
		return err
	}
	if s.records.size >= s.limits.MaxRecords {
		return ErrTooManyRecords.With("domain %s holds %d request records", s.name, s.limits.MaxRecords)
	}
	if s.recordUsage.perMember[k.member] >= s.limits.MaxRecordsPerMember {
		return ErrTooManyRecords.With("member %s has %d request records", k.member.Value(), s.limits.MaxRecordsPerMember)
	}
	return nil
}

// commitOutcome records the outcome of a request. Its sender may still replace an unknown outcome; an executed outcome
// is final.
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

// setOutcome applies an outcome to a record. The outcome "not run" removes the record, so that the key can be tried
// again; it must name the intent that it ends, because a delayed one could otherwise remove the intent of a later try.
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

// storedAnswer encodes an answer, without its body if the body would exceed the limit on all stored answers.
func (s *State) storedAnswer(a *pb.StoredAnswer) []byte {
	encoded := encodeAnswer(a)
	if s.recordUsage.answerBytes+int64(len(encoded)) <= s.limits.MaxAnswerBytes {
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

// senderGone marks the outcome of every intent as unknown whose sender is a former instance of the entry VM.
func (s *State) senderGone(c *pb.SenderGone) Result {
	for k := range s.recordUsage.intents {
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
