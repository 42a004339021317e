package relay

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// batchWait is how long a call or answer waits for others to the same VM: handling a message costs several times as
	// much as the calls in it.
	batchWait = 8 * time.Millisecond
	// batchBytes is the size at which a batch is sent at once.
	batchBytes = 128 << 10
)

// batch is what waits to be sent to one VM.
type batch struct {
	message *pb.RelayMessage
	bytes   int
	// timed is true while a timer will send the batch.
	timed bool
}

// enqueue adds a call or an answer to the next message to a VM. Without either, the message is a sign of life.
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
	full, timed := b.bytes >= batchBytes, b.timed
	b.timed = true
	r.mu.Unlock()
	switch {
	case full:
		r.flush(to)
	case !timed:
		time.AfterFunc(batchWait, func() {
			r.mu.Lock()
			b.timed = false
			r.mu.Unlock()
			r.flush(to)
		})
	}
}

// flush sends what waits for a VM.
func (r *Relay) flush(to string) {
	r.mu.Lock()
	b := r.batches[to]
	message := b.message
	message.FailureDomain = r.cfg.FailureDomain
	b.message, b.bytes = &pb.RelayMessage{}, 0
	r.mu.Unlock()
	payload, err := proto.Marshal(message)
	if err != nil {
		r.cfg.Logger.Error().Str("event", "encode-failed").Str("channel", Channel).Err(err).Msg("the calls in the message get no answer")
		return
	}
	r.cfg.Messenger.Send(to, Channel, payload)
}
