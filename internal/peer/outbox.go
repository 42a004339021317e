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
	// queueMessages and queueBytes bound what waits for one peer and channel. Consensus messages are small and sent
	// again after a loss; at 3,100 task starts/s a queue of 1024 covers a third of a second.
	queueMessages = 1024
	queueBytes    = 2 * MaxMessageBytes
)

// Send queues a message and returns at once. The message is dropped if there is no connection, if the queue is full, or
// if the connection is lost before the message arrived. Neither side reports a loss to the other. The payload must not be
// changed afterwards.
func (t *Transport) Send(to, channel string, payload []byte) {
	o := t.outbox(to, channel)
	if o == nil {
		t.dropped.Add(1)
		return
	}
	o.put(payload)
}

// outbox returns the queue of a peer and channel, or nil if the peer is unknown, the name is too long, or the transport
// is closed.
func (t *Transport) outbox(to, channel string) *outbox {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := outboxKey{to, channel}
	if o := t.outboxes[key]; o != nil {
		return o
	}
	l := t.links[to]
	if t.closed || len(channel) > maxNameBytes || l == nil && to != t.config.ID {
		return nil
	}
	o := &outbox{t: t, link: l, ctx: t.ctx, channel: channel, queue: make(chan []byte, queueMessages)}
	if l != nil {
		o.ctx = l.ctx
	}
	o.drops = metrics.GetOrCreateCounter(fmt.Sprintf("lentilyard_peer_messages_dropped_total{peer=%q,channel=%q}", to, channel))
	t.outboxes[key] = o
	if l == nil {
		go o.run() // calls the handler, for which Close does not wait
	} else {
		t.spawn(o.run)
	}
	return o
}

// outbox sends the messages of one channel to one peer, in order. link is nil for messages to this VM itself.
type outbox struct {
	t       *Transport
	link    *link
	ctx     context.Context // of the link, or of the transport
	channel string
	queue   chan []byte
	bytes   atomic.Int64 // queued
	drops   *metrics.Counter

	conn   *quic.Conn // of the open stream
	writer *bufio.Writer
	unsent int // messages in the buffer of writer
}

func (o *outbox) put(payload []byte) {
	size := int64(len(payload))
	if size > MaxMessageBytes || o.link != nil && o.link.conn.Load() == nil {
		o.drop()
		return
	}
	if o.bytes.Add(size) > queueBytes {
		o.bytes.Add(-size)
		o.drop()
		return
	}
	select {
	case o.queue <- payload:
	default:
		o.bytes.Add(-size)
		o.drop()
	}
}

func (o *outbox) drop() {
	o.t.dropped.Add(1)
	o.drops.Inc()
}

func (o *outbox) run() {
	for {
		select {
		case <-o.ctx.Done():
			return
		case payload := <-o.queue:
			o.bytes.Add(-int64(len(payload)))
			o.deliver(payload)
		}
	}
}

func (o *outbox) deliver(payload []byte) {
	if o.link == nil {
		o.t.dispatch(o.t.config.ID, o.channel, payload)
		return
	}
	o.unsent++
	if err := o.write(payload); err != nil {
		for range o.unsent {
			o.drop()
		}
		o.conn, o.unsent = nil, 0
	}
}

// write puts the message into the buffer, and sends the buffer when no other message waits.
func (o *outbox) write(payload []byte) error {
	if err := o.open(); err != nil {
		return err
	}
	var head [binary.MaxVarintLen64]byte
	if _, err := o.writer.Write(binary.AppendUvarint(head[:0], uint64(len(payload)))); err != nil {
		return err
	}
	if _, err := o.writer.Write(payload); err != nil {
		return err
	}
	if len(o.queue) > 0 {
		return nil
	}
	if err := o.writer.Flush(); err != nil {
		return err
	}
	o.unsent = 0
	return nil
}

// open makes sure that there is a stream on the current connection.
func (o *outbox) open() error {
	conn := o.link.conn.Load()
	if conn == nil {
		return ErrNotSent
	}
	if conn == o.conn {
		return nil
	}
	stream, err := conn.OpenUniStreamSync(conn.Context())
	if err != nil {
		return err
	}
	const bufferBytes = 32 << 10
	o.conn, o.writer = conn, bufio.NewWriterSize(stream, bufferBytes)
	_, err = o.writer.Write(appendPreamble(nil, kindMessages, o.channel))
	return err
}

// dispatch gives a message to the handler of its channel.
func (t *Transport) dispatch(from, channel string, payload []byte) {
	if f, ok := handlerOf[MessageHandler](&t.messageHandlers, channel); ok {
		f(from, payload)
	}
}
