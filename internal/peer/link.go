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

// link keeps the connection to one VM.
type link struct {
	t       *Transport
	id      string
	address *net.UDPAddr
	ctx     context.Context // ends with the transport, or when the peer is removed
	cancel  context.CancelFunc
	conn    atomic.Pointer[quic.Conn] // nil while there is none
}

// run connects until the transport is closed or the peer is removed. The pause between attempts doubles up to maxBackoff while they fail, and
// starts over after a connection that was in use.
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

// connect opens a connection and serves it until it ends. It returns an error only if the connection never worked.
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
	control, err := l.hello(ctx, conn)
	if err != nil {
		_ = conn.CloseWithError(codeShutdown, "no answer to the first probe")
		return err
	}
	l.serve(conn, control)
	return nil
}

// localIP makes connections leave from the address that the VM listens on.
func (l *link) localIP() net.IP {
	local, ok := l.t.socket.LocalAddr().(*net.UDPAddr)
	if !ok || local.IP.IsUnspecified() {
		return nil
	}
	return local.IP
}

// hello opens the control stream and waits for the answer to a first probe. A server checks the client's certificate
// after the client has finished its handshake, so that a finished handshake does not mean an accepted connection.
func (l *link) hello(ctx context.Context, conn *quic.Conn) (*quic.Stream, error) {
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
		silentTotal.Inc()
	}
	_ = conn.CloseWithError(codeSilent, "no answer to probes")
	l.t.log.Warn().Str("event", "disconnected").Str("peer", l.id).Err(err).Msg("connection to entry VM lost")
}

// probeLoop sends a probe each KeepAlive until one is not answered in time or the transport is closed.
// QUIC's own idle timeout does not find a connection that is silent in one direction only.
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

// probe returns an error if there is no answer in time. The connection may have been silent since just after the last
// answer, one KeepAlive ago, so the time allowed is shorter by that.
func (l *link) probe(control *quic.Stream) error {
	allowed := max(l.t.config.IdleTimeout-l.t.config.KeepAlive-schedulingMargin, l.t.config.KeepAlive)
	if err := control.SetDeadline(time.Now().Add(allowed)); err != nil {
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
	// schedulingMargin covers the time between a deadline and its effect on a busy machine.
	schedulingMargin = 100 * time.Millisecond
)

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
