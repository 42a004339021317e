package domain

import (
	"bytes"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
	"google.golang.org/protobuf/proto"
)

const digestBytes = 32

// recordKey identifies a request record. Members are numbered to keep the key small.
type recordKey struct {
	member uint32
	key    uuid
}

// record is the compact form of pb.RequestRecord.
type record struct {
	digest [digestBytes]byte
	sender uint32 // index into records.senders
	stage  pb.RequestRecord_Stage
	answer []byte // encoded pb.StoredAnswer
}

type sender struct{ vm, instance string }

// records holds the request records of the domain.
type records struct {
	byKey       map[recordKey]record
	members     map[string]uint32
	memberNames []string
	perMember   map[uint32]int
	senders     []sender
	senderIndex map[sender]uint32
	answerBytes int64
}

func newRecords() records {
	return records{byKey: map[recordKey]record{}, members: map[string]uint32{}, perMember: map[uint32]int{},
		senderIndex: map[sender]uint32{}}
}

// find returns the key of a record that may or may not exist. Unknown members have none.
func (r *records) find(member, key string) (recordKey, bool) {
	number, ok := r.members[member]
	if !ok {
		return recordKey{}, false
	}
	u, err := parseKey(key)
	return recordKey{number, u}, err == nil
}

func (r *records) member(name string) uint32 {
	number, ok := r.members[name]
	if !ok {
		number = uint32(len(r.memberNames))
		r.members[name] = number
		r.memberNames = append(r.memberNames, name)
	}
	return number
}

func (r *records) senderNumber(s sender) uint32 {
	number, ok := r.senderIndex[s]
	if !ok {
		number = uint32(len(r.senders))
		r.senderIndex[s] = number
		r.senders = append(r.senders, s)
	}
	return number
}

func (r *records) proto(k recordKey, v record) *pb.RequestRecord {
	from := r.senders[v.sender]
	p := &pb.RequestRecord{Member: r.memberNames[k.member], Key: k.key.String(), Digest: bytes.Clone(v.digest[:]),
		Stage: v.stage, Sender: from.vm, SenderInstance: from.instance, KeyUnixMs: k.key.unixMs()}
	if v.answer != nil {
		p.Answer = &pb.StoredAnswer{}
		_ = proto.Unmarshal(v.answer, p.Answer) // encoded by this package
	}
	return p
}

func (r *records) put(k recordKey, v record) {
	old, exists := r.byKey[k]
	if !exists {
		r.perMember[k.member]++
	}
	r.answerBytes += int64(len(v.answer) - len(old.answer))
	r.byKey[k] = v
}

func (r *records) remove(k recordKey) {
	r.answerBytes -= int64(len(r.byKey[k].answer))
	r.perMember[k.member]--
	delete(r.byKey, k)
}

func (r *records) expire(beforeUnixMs int64) {
	for k := range r.byKey {
		if k.key.unixMs() < beforeUnixMs {
			r.remove(k)
		}
	}
}

// commitIntent creates the record of a request before it is sent. Only the command that creates it may send.
func (s *State) commitIntent(c *pb.CommitIntent) Result {
	asked := c.GetRecord()
	u, err := parseKey(asked.GetKey())
	if err != nil {
		return Result{Err: errs.From(err)}
	}
	if len(asked.GetDigest()) != digestBytes || asked.GetMember() == "" || asked.GetSender() == "" {
		return Result{Err: errs.ErrInvalid.With("an intent names its member, its sender and a digest of %d bytes", digestBytes)}
	}
	if k, ok := s.records.find(asked.GetMember(), asked.GetKey()); ok {
		if old, exists := s.records.byKey[k]; exists {
			return s.repeated(k, old, asked)
		}
	}
	if err := checkKeyAge(u, s.unixMs); err != nil {
		return Result{Err: errs.From(err)}
	}
	return s.newIntent(u, asked)
}

func (s *State) repeated(k recordKey, old record, asked *pb.RequestRecord) Result {
	if !bytes.Equal(old.digest[:], asked.GetDigest()) {
		return Result{Err: ErrKeyReused.With("key %s of member %s was used for another request", asked.GetKey(), asked.GetMember())}
	}
	return Result{Record: s.records.proto(k, old)}
}

func (s *State) newIntent(u uuid, asked *pb.RequestRecord) Result {
	if len(s.records.byKey) >= s.limits.MaxRecords {
		return Result{Err: ErrTooManyRecords.With("domain %s holds %d request records", s.name, s.limits.MaxRecords)}
	}
	k := recordKey{s.records.member(asked.GetMember()), u}
	if s.records.perMember[k.member] >= s.limits.MaxRecordsPerMember {
		return Result{Err: ErrTooManyRecords.With("member %s has %d request records", asked.GetMember(), s.limits.MaxRecordsPerMember)}
	}
	v := record{stage: pb.RequestRecord_STAGE_INTENT,
		sender: s.records.senderNumber(sender{asked.GetSender(), asked.GetSenderInstance()})}
	copy(v.digest[:], asked.GetDigest())
	s.records.put(k, v)
	return Result{Record: s.records.proto(k, v), Created: true}
}

// commitOutcome ends an intent. The sender may also correct an outcome that was taken to be unknown.
func (s *State) commitOutcome(c *pb.CommitOutcome) Result {
	k, ok := s.records.find(c.GetMember(), c.GetKey())
	if !ok {
		return Result{Err: errs.ErrNotFound.With("key %s of member %s has no record", c.GetKey(), c.GetMember())}
	}
	v, exists := s.records.byKey[k]
	if !exists {
		return Result{Err: errs.ErrNotFound.With("key %s of member %s has no record", c.GetKey(), c.GetMember())}
	}
	if s.records.senders[v.sender] != (sender{c.GetSender(), c.GetSenderInstance()}) {
		return Result{Err: ErrNotSender.With("key %s was sent by %s", c.GetKey(), s.records.senders[v.sender].vm)}
	}
	if v.stage == pb.RequestRecord_STAGE_EXECUTED {
		return Result{Record: s.records.proto(k, v)}
	}
	return s.setOutcome(k, v, c)
}

func (s *State) setOutcome(k recordKey, v record, c *pb.CommitOutcome) Result {
	switch c.GetResult() {
	case pb.CommitOutcome_RESULT_NOT_RUN:
		s.records.remove(k)
		return Result{}
	case pb.CommitOutcome_RESULT_EXECUTED:
		v.stage = pb.RequestRecord_STAGE_EXECUTED
		v.answer = s.storedAnswer(c.GetAnswer())
	case pb.CommitOutcome_RESULT_UNKNOWN:
		v.stage = pb.RequestRecord_STAGE_UNKNOWN
	default:
		return Result{Err: errs.ErrInvalid.With("outcome of key %s has no result", c.GetKey())}
	}
	s.records.put(k, v)
	return Result{Record: s.records.proto(k, v)}
}

// storedAnswer encodes an answer and drops its body once the stored answers together exceed their limit.
func (s *State) storedAnswer(a *pb.StoredAnswer) []byte {
	encoded := encodeAnswer(a)
	if s.records.answerBytes+int64(len(encoded)) <= s.limits.MaxAnswerBytes {
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
	for k, v := range s.records.byKey {
		from := s.records.senders[v.sender]
		if v.stage != pb.RequestRecord_STAGE_INTENT || from.vm != c.GetSender() || from.instance == c.GetLiveInstance() {
			continue
		}
		v.stage = pb.RequestRecord_STAGE_UNKNOWN
		s.records.byKey[k] = v
	}
	return Result{}
}
