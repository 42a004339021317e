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

// Stream is a bidirectional stream of bytes. Read returns io.EOF only after the other side called CloseWrite and all its
// bytes were read. Read and Write return a *ResetError if the stream was reset, and ErrNoAnswer if the connection was
// lost.
type Stream interface {
	io.Reader
	io.Writer
	// CloseWrite ends the outgoing direction; the other side reads io.EOF after the last byte.
	CloseWrite() error
	// Cancel resets both directions. The other side gets a *ResetError with the code.
	Cancel(code uint64)
}

// ResetError is the error of a stream that was reset.
type ResetError struct {
	Code uint64
	// Remote is true if the other side reset the stream.
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

// OpenStream opens a stream to the handler of a stream method. When ctx ends, the stream is reset with CodeCancelled.
// It returns ErrNotSent if the stream cannot be opened. If the other VM refuses the stream, Read and Write return a
// *ResetError with CodeRefused.
func (t *Transport) OpenStream(ctx context.Context, to, method string) (Stream, error) {
	if len(method) > maxNameBytes {
		return nil, fmt.Errorf("%w: the method name %q has more than %d bytes", ErrNotSent, method, maxNameBytes)
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
	s.unwatchContext = context.AfterFunc(ctx, func() { reset(stream, CodeCancelled) })
	if _, err := stream.Write(appendPreamble(nil, kindStream, method)); err != nil {
		s.Cancel(CodeCancelled)
		return nil, fmt.Errorf("%w: open a stream to entry VM %q: %w", ErrNotSent, to, err)
	}
	return s, nil
}

// serveByteStream runs the handler of a stream method.
func (t *Transport) serveByteStream(ctx context.Context, from, method string, r *bufio.Reader, stream *quic.Stream) {
	handler, ok := lookupHandler[StreamHandler](&t.streamHandlers, method)
	if !ok || t.draining.Load() {
		reset(stream, CodeRefused)
		return
	}
	s := &quicStream{stream: stream, reader: r}
	handler(ctx, from, s)
	s.resetOpenDirections()
	t.lastAnswerAt.Store(time.Now().UnixNano())
}

// quicStream is a Stream over a QUIC connection.
type quicStream struct {
	stream         *quic.Stream
	reader         io.Reader // stream, or a buffered reader of it
	unwatchContext func() bool
	mu             sync.Mutex
	writeClosed    bool // CloseWrite was called
}

// Read implements io.Reader.
func (s *quicStream) Read(p []byte) (int, error) {
	n, err := s.reader.Read(p)
	return n, translateError(err)
}

// Write implements io.Writer.
func (s *quicStream) Write(p []byte) (int, error) {
	n, err := s.stream.Write(p)
	return n, translateError(err)
}

// CloseWrite implements Stream.
func (s *quicStream) CloseWrite() error {
	s.mu.Lock()
	s.writeClosed = true
	s.mu.Unlock()
	return translateError(s.stream.Close())
}

// Cancel implements Stream.
func (s *quicStream) Cancel(code uint64) {
	if s.unwatchContext != nil {
		s.unwatchContext()
	}
	reset(s.stream, quic.StreamErrorCode(code))
}

// resetOpenDirections resets the directions that a handler has left open. CancelRead has no effect once the end of the
// incoming direction was read.
func (s *quicStream) resetOpenDirections() {
	s.mu.Lock()
	writeClosed := s.writeClosed
	s.mu.Unlock()
	s.stream.CancelRead(CodeAbandoned)
	if !writeClosed {
		s.stream.CancelWrite(CodeAbandoned)
	}
}

// translateError converts an error of quic-go to a *ResetError or ErrNoAnswer. It keeps nil and io.EOF.
func translateError(err error) error {
	var reset *quic.StreamError
	switch {
	case err == nil, err == io.EOF:
		return err
	case errors.As(err, &reset):
		return &ResetError{Code: uint64(reset.ErrorCode), Remote: reset.Remote}
	}
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// openSelf opens a stream to a handler of this VM.
func (t *Transport) openSelf(ctx context.Context, method string) Stream {
	callerEnd, handlerEnd := newPipe()
	context.AfterFunc(ctx, func() { callerEnd.Cancel(CodeCancelled) })
	handler, ok := lookupHandler[StreamHandler](&t.streamHandlers, method)
	if !ok || t.draining.Load() {
		handlerEnd.Cancel(CodeRefused)
		return callerEnd
	}
	go func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(t.ctx, cancel)()
		handler(ctx, t.config.ID, handlerEnd)
		handlerEnd.resetOpenDirections()
	}()
	return callerEnd
}

// pipeStream is one end of a Stream within this process. Write blocks until the other end has read the bytes.
// After Cancel, the other end gets a *ResetError and this end io.ErrClosedPipe.
type pipeStream struct {
	in  *io.PipeReader
	out *io.PipeWriter
}

func newPipe() (callerEnd, handlerEnd *pipeStream) {
	handlerIn, callerOut := io.Pipe()
	callerIn, handlerOut := io.Pipe()
	return &pipeStream{callerIn, callerOut}, &pipeStream{handlerIn, handlerOut}
}

// Read implements io.Reader.
func (s *pipeStream) Read(p []byte) (int, error) { return s.in.Read(p) }

// Write implements io.Writer.
func (s *pipeStream) Write(p []byte) (int, error) { return s.out.Write(p) }

// CloseWrite implements Stream.
func (s *pipeStream) CloseWrite() error { return s.out.Close() }

// Cancel implements Stream. A direction that is already closed keeps its first error, as io.Pipe defines.
func (s *pipeStream) Cancel(code uint64) {
	resetErr := &ResetError{Code: code, Remote: true}
	_ = s.out.CloseWithError(resetErr)
	_ = s.in.CloseWithError(resetErr)
}

// resetOpenDirections resets the directions that a handler has left open.
func (s *pipeStream) resetOpenDirections() { s.Cancel(CodeAbandoned) }
