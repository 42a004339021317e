package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
)

const (
	// maxQueuedMessages and maxQueuedBytes limit the queue of one peer and channel. Consensus messages are small and are
	// sent again after a loss; at 3,100 task starts/s a queue of 1024 messages holds a third of a second.
	maxQueuedMessages = 1024
	maxQueuedBytes    = 2 * MaxMessageBytes
)

// Send queues a message for a channel of a VM and returns at once. The message is lost if there is no connection, if the
// queue is full, or if the connection is lost before the message arrives. Neither VM notifies the other of a loss. The
// caller must not modify the payload afterwards.
func (t *Transport) Send(to, channel string, payload []byte) {
	q := t.sendQueue(to, channel)
	if q == nil {
		t.dropped.Add(1)
		return
	}
	q.enqueue(payload)
}

// sendQueue returns the queue of a peer and channel and starts it on first use. It returns nil if there is no such peer,
// the name of the channel is too long or the transport is closed.
func (t *Transport) sendQueue(to, channel string) *sendQueue {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := sendQueueKey{to, channel}
	if q := t.sendQueues[key]; q != nil {
		return q
	}
	l := t.links[to]
	if t.closed || len(channel) > maxNameBytes || l == nil && to != t.config.ID {
		return nil
	}
	q := &sendQueue{t: t, link: l, ctx: t.ctx, channel: channel, messages: make(chan []byte, maxQueuedMessages)}
	if l != nil {
		q.ctx = l.ctx
	}
	q.droppedTotal = metrics.GetOrCreateCounter(fmt.Sprintf("lentilyard_peer_messages_dropped_total{peer=%q,channel=%q}", to, channel))
	t.sendQueues[key] = q
	if l == nil {
		go q.run() // not spawn: run calls the message handler, and Close does not wait for handlers
	} else {
		t.spawn(q.run)
	}
	return q
}

// sendQueue sends the messages of one channel to one VM, in order.
type sendQueue struct {
	t            *Transport
	link         *link           // nil for messages to this VM itself
	ctx          context.Context // of the link, or of the transport
	channel      string
	messages     chan []byte
	queuedBytes  atomic.Int64 // total size of the queued messages
	droppedTotal *metrics.Counter

	conn     *quic.Conn // the connection on which writer's stream is open
	writer   *bufio.Writer
	buffered int // number of messages in the buffer of writer
}

// enqueue adds a message to the queue, or drops it if it is too large, there is no connection or the queue is full.
func (q *sendQueue) enqueue(payload []byte) {
	size := int64(len(payload))
	if size > MaxMessageBytes || q.link != nil && q.link.conn.Load() == nil {
		q.drop()
		return
	}
	if q.queuedBytes.Add(size) > maxQueuedBytes {
		q.queuedBytes.Add(-size)
		q.drop()
		return
	}
	select {
	case q.messages <- payload:
	default:
		q.queuedBytes.Add(-size)
		q.drop()
	}
}

func (q *sendQueue) drop() {
	q.t.dropped.Add(1)
	q.droppedTotal.Inc()
}

func (q *sendQueue) run() {
	for {
		select {
		case <-q.ctx.Done():
			return
		case payload := <-q.messages:
			q.queuedBytes.Add(-int64(len(payload)))
			q.deliver(payload)
		}
	}
}

// deliver writes a message to the stream, or passes it to the handler of this VM. After a failed write, all buffered
// messages count as dropped, and the next message opens a new stream.
func (q *sendQueue) deliver(payload []byte) {
	if q.link == nil {
		q.t.dispatch(q.t.config.ID, q.channel, payload)
		return
	}
	q.buffered++
	if err := q.write(payload); err != nil {
		for range q.buffered {
			q.drop()
		}
		q.conn, q.buffered = nil, 0
	}
}

// write appends the message to the buffer and flushes the buffer when the queue is empty.
func (q *sendQueue) write(payload []byte) error {
	if err := q.ensureStream(); err != nil {
		return err
	}
	var header [binary.MaxVarintLen64]byte
	if _, err := q.writer.Write(binary.AppendUvarint(header[:0], uint64(len(payload)))); err != nil {
		return err
	}
	if _, err := q.writer.Write(payload); err != nil {
		return err
	}
	if len(q.messages) > 0 {
		return nil
	}
	if err := q.writer.Flush(); err != nil {
		return err
	}
	q.buffered = 0
	return nil
}

// ensureStream opens the stream of the channel unless one is open on the current connection.
func (q *sendQueue) ensureStream() error {
	conn := q.link.conn.Load()
	if conn == nil {
		return ErrNotSent
	}
	if conn == q.conn {
		return nil
	}
	stream, err := conn.OpenUniStreamSync(conn.Context())
	if err != nil {
		return err
	}
	const bufferBytes = 32 << 10
	q.conn, q.writer = conn, bufio.NewWriterSize(stream, bufferBytes)
	_, err = q.writer.Write(appendPreamble(nil, kindMessages, q.channel))
	return err
}

// dispatch passes a message to the handler of its channel.
func (t *Transport) dispatch(from, channel string, payload []byte) {
	if handler, ok := lookupHandler[MessageHandler](&t.messageHandlers, channel); ok {
		handler(from, payload)
	}
}
