package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// batchDelay is how long a call or answer is held back to be batched with others to the same VM. Handling a message
	// costs several times as much as handling the calls in it.
	batchDelay = 8 * time.Millisecond
	// batchBytes is the size at which a batch is sent without waiting for batchDelay.
	batchBytes = 128 << 10
)

// batch holds the calls and answers that wait to be sent to one VM.
type batch struct {
	message *pb.RelayMessage
	bytes   int
	// flushScheduled is true while a timer is set that sends the batch.
	flushScheduled bool
}

// enqueue adds a call or an answer to the next message to a VM. Without either, the message only announces this VM.
func (r *Relay) enqueue(to string, c *pb.RelayCall, a *pb.RelayAnswer) {
	r.mu.Lock()
	b := r.batches[to]
	if b == nil {
		b = &batch{message: &pb.RelayMessage{}}
		r.batches[to] = b
	}
	if c != nil {
		b.message.Calls = append(b.message.Calls, c)
		b.bytes += proto.Size(c)
	}
	if a != nil {
		b.message.Answers = append(b.message.Answers, a)
		b.bytes += proto.Size(a)
	}
	full, flushScheduled := b.bytes >= batchBytes, b.flushScheduled
	b.flushScheduled = true
	r.mu.Unlock()
	switch {
	case full:
		r.flush(to)
	case !flushScheduled:
		time.AfterFunc(batchDelay, func() {
			r.mu.Lock()
			b.flushScheduled = false
			r.mu.Unlock()
			r.flush(to)
		})
	}
}

// flush sends the current batch of a VM. There is none if recordHeard has removed the VM since the batch was begun.
func (r *Relay) flush(to string) {
	r.mu.Lock()
	b := r.batches[to]
	if b == nil {
		r.mu.Unlock()
		r.cfg.Logger.Info().Str("event", "batch-dropped").Str("vm", to).Msg("the VM has not announced itself for long; the calls to it get no answer")
		return
	}
	message := b.message
	message.FailureDomain, message.FromIntake, message.ClockMs = r.cfg.FailureDomain, r.cfg.Intake, r.ClockMs()
	b.message, b.bytes = &pb.RelayMessage{}, 0
	r.mu.Unlock()
	payload, err := proto.Marshal(message)
	if err != nil {
		r.cfg.Logger.Error().Str("event", "encode-failed").Str("channel", Channel).Err(err).Msg("relay message not sent; the calls in it get no answer")
		return
	}
	r.cfg.Messenger.Send(to, Channel, payload)
}
