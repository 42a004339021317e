package domain

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/idempotency"
	"github.com/lentilyard/lentilyard/internal/pb"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

const testNow = int64(1_780_000_000_000)

func testKey(n int) string {
	var u idempotency.Key
	binary.BigEndian.PutUint64(u[:8], uint64(testNow)<<16)
	binary.BigEndian.PutUint32(u[12:], uint32(n))
	u[6], u[8] = 7<<4, 0x80
	return u.String()
}

// applier applies commands as consecutive entries.
type applier struct {
	state *State
	index uint64
}

func (a *applier) apply(c *pb.DomainCommand) Result {
	c.UnixMs = max(c.UnixMs, testNow)
	entry, err := proto.Marshal(c)
	if err != nil {
		panic(err)
	}
	a.index++
	return a.state.Apply(a.index, 1, entry).(Result)
}

func intent(key int, sender, instance string) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_CommitIntent{CommitIntent: &pb.CommitIntent{Record: &pb.RequestRecord{
		Member: "hanbit", Key: testKey(key), Digest: make([]byte, digestBytes), Sender: sender, SenderInstance: instance}}}}
}

func outcome(key int, sender, instance string, result pb.CommitOutcome_Result, index uint64) *pb.DomainCommand {
	return &pb.DomainCommand{Command: &pb.DomainCommand_CommitOutcome{CommitOutcome: &pb.CommitOutcome{Member: "hanbit", Key: testKey(key),
		Sender: sender, SenderInstance: instance, Result: result, IntentIndex: index, Answer: &pb.StoredAnswer{Status: 200, Body: []byte("ok")}}}}
}

// requestSim simulates gateways that propose intents and outcomes over a network that loses, delays, reorders and
// duplicates proposals. It records each request that is sent.
type requestSim struct {
	applier
	// dropRecords removes the record of a key before each intent, to simulate a missing check for existing records.
	dropRecords bool
	// ignoreIntentIndex makes a not-run outcome apply to any intent of its key, not just the one that it names.
	ignoreIntentIndex bool
	inFlight          []proposal
	instances         map[string]int // instance number of each sender
	sent              []string
}

type proposal struct {
	key      int
	sender   string
	instance string
	command  *pb.DomainCommand
	copies   int
}

func (r *requestSim) instance(sender string) string { return fmt.Sprint(sender, r.instances[sender]) }

func (r *requestSim) propose(key int, sender string, command *pb.DomainCommand, copies int) {
	r.inFlight = append(r.inFlight, proposal{key, sender, r.instance(sender), command, copies})
}

// deliver applies a proposal that is in flight. Unless the answer is lost, the sender then sends the request if the
// executor is reachable, and proposes the outcome.
func (r *requestSim) deliver(at int, lostAnswer, reachable bool, copies int) {
	f := r.inFlight[at]
	if r.inFlight[at].copies--; r.inFlight[at].copies <= 0 {
		r.inFlight = slices.Delete(r.inFlight, at, at+1)
	}
	r.disableChecks(f)
	result := r.apply(proto.CloneOf(f.command))
	if lostAnswer || !result.Created || f.instance != r.instance(f.sender) {
		return
	}
	if !reachable { // the sender knows for certain that the request was not sent
		r.propose(f.key, f.sender, outcome(f.key, f.sender, f.instance, pb.CommitOutcome_RESULT_NOT_RUN, result.Record.GetIntentIndex()), copies)
		return
	}
	r.sent = append(r.sent, testKey(f.key))
	r.propose(f.key, f.sender, outcome(f.key, f.sender, f.instance, pb.CommitOutcome_RESULT_EXECUTED, result.Record.GetIntentIndex()), copies)
}

func (r *requestSim) disableChecks(f proposal) {
	k, _ := newRecordKey("hanbit", testKey(f.key))
	if r.dropRecords && f.command.GetCommitIntent() != nil {
		r.state.removeRecord(k)
	}
	if old := r.state.records.value(k); r.ignoreIntentIndex && old != nil && f.command.GetCommitOutcome() != nil {
		f.command.GetCommitOutcome().IntentIndex = old.intent
	}
}

func (r *requestSim) restart(sender string) {
	r.instances[sender]++
	r.apply(&pb.DomainCommand{Command: &pb.DomainCommand_SenderGone{SenderGone: &pb.SenderGone{Sender: sender, LiveInstance: r.instance(sender)}}})
}

// checkSentOnce checks property P6: no request is sent twice.
func checkSentOnce(sent []string) error {
	seen := map[string]bool{}
	for _, key := range sent {
		if seen[key] {
			return fmt.Errorf("P6: request with key %s is sent twice", key)
		}
		seen[key] = true
	}
	return nil
}

func (r *requestSim) step(t *rapid.T) {
	sender := rapid.SampledFrom([]string{"vm1", "vm2"}).Draw(t, "sender")
	switch rapid.SampledFrom([]string{"propose", "propose", "deliver", "deliver", "deliver", "restart", "restore"}).Draw(t, "step") {
	case "propose":
		key := rapid.IntRange(0, 2).Draw(t, "key")
		r.propose(key, sender, intent(key, sender, r.instance(sender)), rapid.IntRange(1, 2).Draw(t, "copies"))
	case "deliver":
		if len(r.inFlight) > 0 {
			r.deliver(rapid.IntRange(0, len(r.inFlight)-1).Draw(t, "which"), rapid.IntRange(0, 9).Draw(t, "lost") == 0,
				rapid.Bool().Draw(t, "reachable"), rapid.IntRange(1, 2).Draw(t, "copies"))
		}
	case "restart":
		r.restart(sender)
	case "restore":
		snapshot, _ := r.state.Snapshot()
		r.state = New("d1", Limits{})
		if err := r.state.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
	}
}

func newRequestSim() *requestSim {
	return &requestSim{applier: applier{state: New("d1", Limits{})}, instances: map[string]int{}}
}

// TestRequestsAreSentAtMostOnce checks that no request is sent twice (P6) when proposals are lost, delayed, reordered
// and duplicated, senders restart and the state is restored from snapshots.
func TestRequestsAreSentAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRequestSim()
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r.step(t)
		}
		if err := checkSentOnce(r.sent); err != nil {
			t.Fatal(err)
		}
	})
}

// TestSentOnceCheckerDetectsInjectedBugs checks that checkSentOnce reports a violation if a protection is disabled.
func TestSentOnceCheckerDetectsInjectedBugs(t *testing.T) {
	for name, injectBug := range map[string]func(*requestSim){
		"record is forgotten":                    func(r *requestSim) { r.dropRecords = true },
		"late outcome ends a later try's intent": func(r *requestSim) { r.ignoreIntentIndex = true },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			found := false
			for n := 0; n < 2000 && !found; n++ {
				r := newRequestSim()
				injectBug(r)
				rapid.Custom(func(t *rapid.T) int {
					for range 60 {
						r.step(t)
					}
					return 0
				}).Example(n)
				found = checkSentOnce(r.sent) != nil
			}
			is.True(found) // the checker must report the injected bug
		})
	}
}

// TestRepeatedKeys checks the answers to repeated idempotency keys, the commit of outcomes and the limits on records.
func TestRepeatedKeys(t *testing.T) {
	is := is.New(t)
	a := &applier{state: New("d1", Limits{MaxRecordsPerMember: 3, MaxAnswerBytes: 30})}
	first := a.apply(intent(1, "vm1", "a"))
	is.True(first.Created)
	again := a.apply(intent(1, "vm2", "b"))
	is.True(!again.Created)
	is.Equal(again.Record.GetStage(), pb.RequestRecord_STAGE_INTENT) // in progress
	other := intent(1, "vm2", "b")
	other.GetCommitIntent().Record.Digest = bytes.Repeat([]byte{1}, digestBytes)
	is.True(errors.Is(a.apply(other).Err, ErrKeyReused))
	is.True(errors.Is(a.apply(outcome(1, "vm2", "b", pb.CommitOutcome_RESULT_EXECUTED, 1)).Err, ErrNotSender))

	a.apply(&pb.DomainCommand{Command: &pb.DomainCommand_SenderGone{SenderGone: &pb.SenderGone{Sender: "vm1", LiveInstance: "b"}}})
	is.Equal(a.state.View().Record("hanbit", testKey(1)).GetStage(), pb.RequestRecord_STAGE_UNKNOWN)
	a.apply(outcome(1, "vm1", "a", pb.CommitOutcome_RESULT_EXECUTED, 1)) // the sender is still alive
	is.Equal(a.state.View().Record("hanbit", testKey(1)).GetAnswer().GetBody(), []byte("ok"))

	a.apply(intent(2, "vm1", "a"))
	large := outcome(2, "vm1", "a", pb.CommitOutcome_RESULT_EXECUTED, 0)
	large.GetCommitOutcome().Answer.Body = make([]byte, 40)
	is.True(a.apply(large).Record.GetAnswer().GetBodyDropped()) // beyond MaxAnswerBytes

	a.apply(intent(3, "vm1", "a"))
	is.True(errors.Is(a.apply(intent(4, "vm1", "a")).Err, ErrTooManyRecords))
	is.Equal(a.apply(intent(4, "vm1", "a")).Err.Outcome, errs.OutcomeNotRun)
}

// TestKeyAge checks that expired keys and keys from the future are refused, and that a record is removed only when its
// key can no longer be accepted.
func TestKeyAge(t *testing.T) {
	is := is.New(t)
	a := &applier{state: New("d1", Limits{})}
	a.apply(intent(1, "vm1", "a"))
	late := intent(2, "vm1", "a")
	late.UnixMs = testNow + idempotency.KeyLifetime.Milliseconds() + 1
	refused := a.apply(late)
	is.True(errors.Is(refused.Err, idempotency.ErrExpired))
	is.Equal(refused.Err.Outcome, errs.OutcomeUnknown)
	is.True(a.state.View().Record("hanbit", testKey(1)) != nil)
	expire := &pb.DomainCommand{Command: &pb.DomainCommand_ExpireRecords{
		ExpireRecords: &pb.ExpireRecords{RecordsBeforeUnixMs: testNow + time.Hour.Milliseconds()}}}
	a.apply(expire)
	is.True(a.state.View().Record("hanbit", testKey(1)) != nil) // not yet older than RecordLifetime
	expire.UnixMs = testNow + idempotency.RecordLifetime.Milliseconds() + time.Minute.Milliseconds()
	a.apply(expire)
	is.True(a.state.View().Record("hanbit", testKey(1)) == nil)

	early := &applier{state: New("d1", Limits{})}
	ahead := intent(1, "vm1", "a")
	ahead.GetCommitIntent().Record.Key = idempotency.NewKey(time.UnixMilli(testNow).Add(idempotency.MaxAhead + time.Second))
	is.True(errors.Is(early.apply(ahead).Err, idempotency.ErrAhead))
	parsed, err := idempotency.Parse(idempotency.NewKey(time.UnixMilli(testNow)))
	at := parsed.Issued()
	is.NoErr(err)
	is.Equal(at.UnixMilli(), testNow)
}
