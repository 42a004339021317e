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

// authorizePeer returns an error unless the VM named in the certificate may connect: it is a peer, or
// Config.AllowUnknownPeers is set.
func (t *Transport) authorizePeer(vm string) error {
	if !t.config.AllowUnknownPeers && t.link(vm) == nil {
		return fmt.Errorf("the certificate names %q, which is not another entry VM in the settings; add it to entryVms", vm)
	}
	return nil
}

func (t *Transport) logRefusedConnection(err error) {
	refusedConnectionsTotal.Inc()
	t.log.Warn().Str("event", "connection-refused").Err(err).Msg("refused an incoming connection")
}

func (t *Transport) acceptLoop() {
	for {
		conn, err := t.listener.Accept(t.ctx)
		if err != nil {
			return // Accept fails only after Close
		}
		t.spawn(func() { t.serveConnection(conn) })
	}
}

// serveConnection accepts the streams of an incoming connection until it ends.
func (t *Transport) serveConnection(conn *quic.Conn) {
	from, err := credentials.VMOf(conn.ConnectionState().TLS.PeerCertificates[0])
	if err != nil || !t.addIncoming(from, conn) {
		_ = conn.CloseWithError(codeShutdown, "the entry VM shuts down")
		return
	}
	defer t.removeIncoming(from, conn)
	t.spawn(func() { t.acceptMessages(from, conn) })
	for {
		stream, err := conn.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		go t.serveStream(from, conn, stream)
	}
}

// addIncoming records an accepted connection and closes the oldest one of the same VM if there are more than
// maxConnections. It returns false if the transport is closed.
func (t *Transport) addIncoming(from string, conn *quic.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	conns := append(t.incoming[from], conn)
	if len(conns) > maxConnections {
		_ = conns[0].CloseWithError(codeReplaced, "replaced by newer connections")
		conns = conns[1:]
	}
	t.incoming[from] = conns
	return true
}

func (t *Transport) removeIncoming(from string, conn *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var remaining []*quic.Conn
	for _, other := range t.incoming[from] {
		if other != conn {
			remaining = append(remaining, other)
		}
	}
	t.incoming[from] = remaining
}

// acceptMessages accepts the message channels of an incoming connection until it ends.
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

// logMalformed logs err if it is a malformed frame, which a peer of the same version never sends. Other errors mean that
// the stream or the connection ended; the VM that dialled a connection logs its loss.
func (t *Transport) logMalformed(from string, err error) {
	if errors.Is(err, errMalformedFrame) {
		t.log.Warn().Str("event", "malformed-frame").Str("peer", from).Err(err).Msg("closed a stream with a malformed frame; run the same version on all entry VMs")
	}
}

func (t *Transport) serveStream(from string, conn *quic.Conn, stream *quic.Stream) {
	r := bufio.NewReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(t.config.IdleTimeout)) // the peer sends the preamble at once
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
		echoProbes(r, stream)
	case kindCall:
		t.serveCall(ctx, from, name, r, stream)
	case kindStream:
		t.serveByteStream(ctx, from, name, r, stream)
	default:
		reset(stream, CodeRefused)
	}
}

// handlerContext returns a context that ends when the other side resets the stream, the connection is lost or the
// transport is closed. stream.Context() cannot be used, since it already ends when the handler calls CloseWrite.
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

// echoProbes sends each byte of the control stream back until the stream ends.
func echoProbes(r *bufio.Reader, stream *quic.Stream) {
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

// reset aborts both directions of a stream.
func reset(stream *quic.Stream, code quic.StreamErrorCode) {
	stream.CancelRead(code)
	stream.CancelWrite(code)
}
