package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/lentilyard/lentilyard/internal/credentials"
)

// accepts decides on an incoming connection by the VM id in its certificate.
func (t *Transport) accepts(vm string) error {
	if !t.config.AllowUnknownPeers && t.link(vm) == nil {
		return fmt.Errorf("the certificate names %q, which is not another entry VM in the settings; add it to entryVms", vm)
	}
	return nil
}

func (t *Transport) logRefused(err error) {
	refusedTotal.Inc()
	t.log.Warn().Str("event", "connection-refused").Err(err).Msg("refused a connection")
}

func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return // only after Close
		}
		t.spawn(func() { t.serveConnection(conn) })
	}
}

func (t *Transport) serveConnection(conn *quic.Conn) {
	from, err := credentials.VMOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil || !t.register(from, conn) {
		_ = conn.CloseWithError(codeShutdown, "the entry VM shuts down")
		return
	}
	defer t.unregister(from, conn)
	t.spawn(func() { t.acceptMessages(from, conn) })
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		go t.serveStream(from, conn, stream)
	}
}

// register records the connection, and closes the oldest one of the same VM beyond maxConnections.
func (t *Transport) register(from string, conn *quic.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	list := append(t.incoming[from], conn)
	if len(list) > maxConnections {
		_ = list[0].CloseWithError(codeReplaced, "replaced by newer connections")
		list = list[1:]
	}
	t.incoming[from] = list
	return true
}

func (t *Transport) unregister(from string, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rest []*quic.Conn
	for _, other := range t.incoming[from] {
		if other != conn {
			rest = append(rest, other)
		}
	}
	t.incoming[from] = rest
}

func (t *Transport) acceptMessages(from string, conn *quic.Conn) {
	for {
		stream, err := conn.AcceptUniStream(t.ctx)
		if err != nil {
			return
		}
		go t.serveMessages(from, stream)
	}
}

func (t *Transport) serveMessages(from string, stream *quic.ReceiveStream) {
	defer stream.CancelRead(CodeRefused)
	r := bufio.NewReader(stream)
	kind, channel, err := readPreamble(r)
	if err != nil || kind != kindMessages {
		t.logMalformed(from, err)
		return
	}
	for t.ctx.Err() == nil {
		payload, err := readFrame(r)
		if err != nil {
			t.logMalformed(from, err)
			return
		}
		t.dispatch(from, channel, payload)
	}
}

// logMalformed logs what a correct peer never sends. A lost connection is logged by the side that opened it.
func (t *Transport) logMalformed(from string, err error) {
	if errors.Is(err, errFrame) {
		t.log.Warn().Str("event", "malformed-frame").Str("peer", from).Err(err).Msg("closed a stream; run the same version on all entry VMs")
	}
}

func (t *Transport) serveStream(from string, conn *quic.Conn, stream *quic.Stream) {
	r := bufio.NewReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(t.config.IdleTimeout)) // the preamble follows at once
	kind, name, err := readPreamble(r)
	_ = stream.SetReadDeadline(time.Time{})
	if err != nil {
		t.logMalformed(from, err)
		reset(stream, CodeRefused)
		return
	}
	ctx, cancel := t.handlerContext(conn, stream)
	defer cancel()
	switch kind {
	case kindControl:
		answerProbes(r, stream)
	case kindCall:
		t.serveCall(ctx, from, name, r, stream)
	case kindStream:
		t.serveOpenStream(ctx, from, name, r, stream)
	default:
		reset(stream, CodeRefused)
	}
}

// handlerContext ends when the other side resets the stream, the connection is lost or the transport is closed.
// It outlives CloseWrite, which ends stream.Context().
func (t *Transport) handlerContext(conn *quic.Conn, stream *quic.Stream) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(conn.Context())
	stopClose := context.AfterFunc(t.ctx, cancel)
	stopReset := context.AfterFunc(stream.Context(), func() {
		if !errors.Is(context.Cause(stream.Context()), quic.ErrStreamClosed) {
			cancel()
		}
	})
	return ctx, func() {
		stopClose()
		stopReset()
		cancel()
	}
}

func answerProbes(r *bufio.Reader, stream *quic.Stream) {
	for {
		probe, err := r.ReadByte()
		if err != nil {
			reset(stream, CodeRefused)
			return
		}
		if _, err := stream.Write([]byte{probe}); err != nil {
			return
		}
	}
}

func reset(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}
