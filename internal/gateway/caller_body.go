package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxDrainBytes and maxDrainTime bound what is read of a body that nobody needs, to keep the connection usable.
	maxDrainBytes = 64 << 10
	maxDrainTime  = 100 * time.Millisecond
)

var errBodyClosed = errors.New("the request has ended and its body is closed")

// callerBody is the body of a caller's request. Attempts and forwarders may still
// read it when the answer is complete; net/http panics if a read goes on, or the
// end is not reached, when it turns to the next request of the connection.
type callerBody struct {
	control *http.ResponseController
	mu      sync.Mutex // held during each read
	source  io.Reader
	ended   atomic.Bool
	closed  bool
}

func (b *callerBody) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0, errBodyClosed
	}
	n, err := b.source.Read(p)
	if err == io.EOF {
		b.ended.Store(true)
	}
	return n, readError(err)
}

// readError gives failures to read the caller's body a type.
func readError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ErrDeadlineExceeded.With("the body did not arrive before the deadline")
	case errors.Is(err, io.ErrUnexpectedEOF):
		return ErrCallerGone.With("the caller closed the connection before the end of the body")
	}
	return err
}

// expectBy bounds the arrival of the body, so that a half-open caller does not hold the connection.
func (b *callerBody) expectBy(deadline time.Time) {
	if !b.ended.Load() {
		_ = b.control.SetReadDeadline(deadline)
	}
}

// finish ends all reads. It reads a short rest to the end, and reports false if
// the connection cannot be used for another request.
func (b *callerBody) finish() bool {
	// Ends a read that waits for the caller. Not supported by test recorders.
	_ = b.control.SetReadDeadline(time.Now().Add(maxDrainTime))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	if !b.ended.Load() {
		_, err := io.CopyN(io.Discard, b.source, maxDrainBytes+1)
		b.ended.Store(err == io.EOF)
	}
	if b.ended.Load() {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return b.ended.Load()
}
