package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// link dials the connection to one peer and replaces it when it is lost.
type link struct {
	t       *Transport
	id      string
	address *net.UDPAddr
	ctx     context.Context // ends with the transport, or when the peer is removed
	cancel  context.CancelFunc
	conn    atomic.Pointer[quic.Conn] // nil while the peer is not reachable
}

// run connects and reconnects until the transport is closed or the peer is removed. The backoff doubles with each failed
// attempt up to maxBackoff and is reset once a connection was established. A failure is logged at the shortest and the
// longest backoff only.
func (l *link) run() {
	backoff := minBackoff
	for l.ctx.Err() == nil {
		err := l.connect()
		if err == nil {
			backoff = minBackoff
			continue
		}
		if backoff == minBackoff || backoff == maxBackoff {
			l.t.log.Warn().Str("event", "connect-failed").Str("peer", l.id).Stringer("address", l.address).Err(err).Msg("cannot connect to entry VM")
		}
		if !sleep(l.ctx, backoff/2+rand.N(backoff/2)) {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// connect dials the peer and keeps the connection until it is lost. It returns an error only if the peer did not answer
// the first probe. Each connection has a UDP socket of its own, and so a new local port.
func (l *link) connect() error {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: l.localIP()})
	if err != nil {
		return fmt.Errorf("open a UDP socket: %w", err)
	}
	transport := &quic.Transport{Conn: socket}
	defer func() { _, _ = transport.Close(), socket.Close() }()

	ctx, cancel := context.WithTimeout(l.ctx, l.t.config.IdleTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, l.address, l.t.config.Credentials.ClientTLS(alpn, l.id), l.t.quicConfig())
	if err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	control, err := l.openControlStream(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeShutdown, "no answer to the first probe")
		return err
	}
	l.serve(conn, control)
	return nil
}

// localIP returns the IP address that the transport listens on, so that connections are dialled from the same one, or
// nil if it listens on all addresses.
func (l *link) localIP() net.IP {
	local, ok := l.t.socket.LocalAddr().(*net.UDPAddr)
	if !ok || local.IP.IsUnspecified() {
		return nil
	}
	return local.IP
}

// openControlStream opens the control stream and waits for the answer to a first probe. The server checks the client's
// certificate after the client has finished its handshake, so only that answer shows that the server accepted the
// connection.
func (l *link) openControlStream(ctx context.Context, conn *quic.Conn) (*quic.Stream, error) {
	control, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("open the control stream: %w", err)
	}
	if _, err := control.Write(appendPreamble(nil, kindControl, "")); err != nil {
		return nil, fmt.Errorf("open the control stream: %w", err)
	}
	if err := l.probe(control); err != nil {
		return nil, fmt.Errorf("first probe: %w", err)
	}
	return control, nil
}

// serve makes the connection available for sending and probes it until it is lost or the link ends.
func (l *link) serve(conn *quic.Conn, control *quic.Stream) {
	connectsTotal.Inc()
	l.t.log.Info().Str("event", "connected").Str("peer", l.id).Stringer("local", conn.LocalAddr()).Msg("connected to entry VM")
	l.conn.Store(conn)
	err := l.probeLoop(conn, control)
	l.conn.Store(nil)
	if l.ctx.Err() != nil {
		_ = conn.CloseWithError(codeShutdown, "the entry VM shuts down")
		return
	}
	if isTimeout(err) {
		silentConnectionsTotal.Inc()
	}
	_ = conn.CloseWithError(codeSilent, "no answer to probes")
	l.t.log.Warn().Str("event", "disconnected").Str("peer", l.id).Err(err).Msg("connection to entry VM lost")
}

// probeLoop sends a probe every KeepAlive until one is not answered in time or the connection ends. QUIC's own idle
// timeout does not detect a connection that loses packets in one direction only.
func (l *link) probeLoop(conn *quic.Conn, control *quic.Stream) error {
	stop := context.AfterFunc(l.ctx, func() { _ = conn.CloseWithError(codeShutdown, "the entry VM shuts down") })
	defer stop()
	for {
		if !sleep(conn.Context(), l.t.config.KeepAlive) {
			return context.Cause(conn.Context())
		}
		if err := l.probe(control); err != nil {
			return err
		}
	}
}

// probe sends one probe and waits for its answer. The connection may have failed right after the previous answer, one
// KeepAlive ago, so the timeout is IdleTimeout less KeepAlive.
func (l *link) probe(control *quic.Stream) error {
	timeout := max(l.t.config.IdleTimeout-l.t.config.KeepAlive-schedulingMargin, l.t.config.KeepAlive)
	if err := control.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	if _, err := control.Write([]byte{probeByte}); err != nil {
		return err
	}
	var answer [1]byte
	_, err := io.ReadFull(control, answer[:])
	return err
}

const (
	probeByte = 'p'
	// schedulingMargin shortens the probe timeout by the time that a busy machine may need to act on it.
	schedulingMargin = 100 * time.Millisecond
)

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
