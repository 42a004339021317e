package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// Stream is a two-way stream of bytes. Read returns io.EOF only after the other side called CloseWrite and all bytes were
// read. A *ResetError tells that the other side gave up, ErrNoAnswer that the connection was lost.
type Stream interface {
	io.Reader
	io.Writer
	// CloseWrite ends the outgoing direction in good order.
	CloseWrite() error
	// Cancel resets both directions. The other side sees a *ResetError with the code.
	Cancel(code uint64)
}

// ResetError tells that a stream was reset.
type ResetError struct {
	Code uint64
	// Remote is false if this side called Cancel, or its context ended.
	Remote bool
}

// Error implements error.
func (e *ResetError) Error() string {
	side := "this side"
	if e.Remote {
		side = "the other side"
	}
	return fmt.Sprintf("stream reset by %s with code %d", side, e.Code)
}

// OpenStream opens a stream. When ctx ends, the stream is reset with CodeCancelled.
// Errors: ErrNotSent.
func (t *Transport) OpenStream(ctx context.Context, to, method string) (Stream, error) {
	if len(method) > maxNameBytes {
		return nil, fmt.Errorf("%w: the method %q has more than %d bytes", ErrNotSent, method, maxNameBytes)
	}
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if to == t.config.ID {
		return t.openSelf(ctx, method), nil
	}
	stream, err := t.openStream(ctx, to)
	if err != nil {
		return nil, err
	}
	s := &quicStream{stream: stream, reader: stream}
	s.stop = context.AfterFunc(ctx, func() { reset(stream, CodeCancelled) })
	if _, err := stream.Write(appendPreamble(nil, kindStream, method)); err != nil {
		s.Cancel(CodeCancelled)
		return nil, fmt.Errorf("%w: open a stream to entry VM %q: %w", ErrNotSent, to, err)
	}
	return s, nil
}

func (t *Transport) serveOpenStream(ctx context.Context, from, method string, r *bufio.Reader, stream *quic.Stream) {
	f, ok := handlerOf[StreamHandler](&t.streamHandlers, method)
	if !ok || t.draining.Load() {
		reset(stream, CodeRefused)
		return
	}
	s := &quicStream{stream: stream, reader: r}
	f(ctx, from, s)
	s.finish()
	t.lastAnswer.Store(time.Now().UnixNano())
}

// quicStream is a Stream over the network.
type quicStream struct {
	stream *quic.Stream
	reader io.Reader // stream, or a buffer that has read ahead
	stop   func() bool
	mu     sync.Mutex
	ended  bool // outgoing direction
}

// Read implements io.Reader.
func (s *quicStream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	return n, translate(err)
}

// Write implements io.Writer.
func (s *quicStream) Write(p []byte) (int, error) {
	n, err := s.stream.Write(p)
	return n, translate(err)
}

// CloseWrite implements Stream.
func (s *quicStream) CloseWrite() error {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	return translate(s.stream.Close())
}

// Cancel implements Stream.
func (s *quicStream) Cancel(code uint64) {
	if s.stop != nil {
		s.stop()
	}
	reset(s.stream, quic.StreamErrorCode(code))
}

// finish resets what a handler has left open.
func (s *quicStream) finish() {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	s.stream.CancelRead(CodeAbandoned)
	if !ended {
		s.stream.CancelWrite(CodeAbandoned)
	}
}

// translate maps the errors of quic-go to those of this package.
func translate(err error) error {
	var reset *quic.StreamError
	switch {
	case err == nil, err == io.EOF:
		return err
	case errors.As(err, &reset):
		return &ResetError{Code: uint64(reset.ErrorCode), Remote: reset.Remote}
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// openSelf connects the stream to the handler in this process.
func (t *Transport) openSelf(ctx context.Context, method string) Stream {
	near, far := newPipe()
	context.AfterFunc(ctx, func() { near.Cancel(CodeCancelled) })
	f, ok := handlerOf[StreamHandler](&t.streamHandlers, method)
	if !ok || t.draining.Load() {
		far.Cancel(CodeRefused)
		return near
	}
	go func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(t.ctx, cancel)()
		f(ctx, t.config.ID, far)
		far.abandon()
	}()
	return near
}

// pipeStream is one end of a Stream within the process. A Write returns when the other end has read the bytes.
type pipeStream struct {
	in  *io.PipeReader
	out *io.PipeWriter
}

func newPipe() (near, far *pipeStream) {
	farIn, nearOut := io.Pipe()
	nearIn, farOut := io.Pipe()
	return &pipeStream{nearIn, nearOut}, &pipeStream{farIn, farOut}
}

// Read implements io.Reader.
func (s *pipeStream) Read(p []byte) (int, error) { return s.in.Read(p) }

// Write implements io.Writer.
func (s *pipeStream) Write(p []byte) (int, error) { return s.out.Write(p) }

// CloseWrite implements Stream.
func (s *pipeStream) CloseWrite() error { return s.out.Close() }

// Cancel implements Stream. The first end of a direction stays, as with io.Pipe.
func (s *pipeStream) Cancel(code uint64) {
	remote := &ResetError{Code: code, Remote: true}
	_ = s.out.CloseWithError(remote)
	_ = s.in.CloseWithError(remote)
}

// abandon resets what a handler has left open; a direction that was closed before stays as it is.
func (s *pipeStream) abandon() { s.Cancel(CodeAbandoned) }
