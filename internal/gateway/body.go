package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"hash"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// maxBufferedBytes is how much of the start of a body is buffered, so that an idempotent request can be
// retried and the digest of a non-idempotent one is known before its first byte is sent. With 1024
// queued requests this takes 64 MiB.
const maxBufferedBytes = 64 << 10

// requestBodyBytes is what a body takes at most: the buffer, as it grows, and the copy buffer of a transport.
const requestBodyBytes = 2*maxBufferedBytes + 32<<10

// bufferedBody reads a caller's body and buffers its start, so that a body that fits the buffer can be
// read again.
type bufferedBody struct {
	source io.Reader
	limit  int64
	// sourceLock is a mutex for reading the source: it holds a value while the source is read.
	sourceLock chan struct{}
	closed     atomic.Bool
	// atEnd is set once the complete body was read and its digest, if any, matched.
	atEnd atomic.Bool

	// mu guards the fields below. It is not held while the source is read.
	mu sync.Mutex
	// bytesRead is the number of bytes read from the source.
	bytesRead int64
	buffered  []byte
	err       error
	// hash is the digest of the bytes read so far, and wantDigest the one stated by the caller. Both are nil if
	// the digest is not verified.
	hash       hash.Hash
	wantDigest []byte
}

func newBufferedBody(source io.Reader, limit int64) *bufferedBody {
	return &bufferedBody{source: source, limit: limit, sourceLock: make(chan struct{}, 1)}
}

// newReader returns a reader from the start of the body. It returns false if more has been read than is
// buffered, so that the body cannot be read again.
func (b *bufferedBody) newReader() (*bodyReader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &bodyReader{body: b}, b.bytesRead == int64(len(b.buffered))
}

// bodyReader reads the body from its start for one attempt. net/http may go on reading it after the
// attempt has failed; what it reads is buffered for the reader of the next attempt.
type bodyReader struct {
	body   *bufferedBody
	offset int64
}

func (r *bodyReader) Read(p []byte) (int, error) {
	if n := r.readBuffered(p); n > 0 {
		return n, nil
	}
	b := r.body
	b.sourceLock <- struct{}{}
	defer func() { <-b.sourceLock }()
	// Another reader may have read the source in the meantime.
	if n := r.readBuffered(p); n > 0 {
		return n, nil
	}
	if r.offset != b.position() {
		return 0, errors.New("the body was read by a later attempt")
	}
	n, err := b.readSource(p)
	r.offset += int64(n)
	return n, err
}

// readBuffered reads from the buffer. It returns 0 if the reader is at the end of the buffer.
func (r *bodyReader) readBuffered(p []byte) int {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.offset >= int64(len(b.buffered)) {
		return 0
	}
	n := copy(p, b.buffered[r.offset:])
	r.offset += int64(n)
	return n
}

// Close implements io.Closer. It does nothing because the source belongs to the caller's connection.
func (r *bodyReader) Close() error { return nil }

func (b *bufferedBody) position() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytesRead
}

// readSource reads from the source. The caller must hold sourceLock.
func (b *bufferedBody) readSource(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	if err := b.readError(); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	return b.account(p[:n], err)
}

func (b *bufferedBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// account updates the state for bytes read from the source. It returns the result of the read, in which
// err is replaced if the body is too large, has another digest than stated, or ends early.
func (b *bufferedBody) account(p []byte, err error) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(p)
	complete := b.bytesRead == int64(len(b.buffered))
	b.bytesRead += int64(n)
	if b.hash != nil {
		b.hash.Write(p)
	}
	switch {
	case b.bytesRead > b.limit:
		n, err = 0, errs.ErrTooLarge.With("the body exceeds %d bytes", b.limit)
	case err == io.EOF && b.hash != nil && !bytes.Equal(b.hash.Sum(nil), b.wantDigest):
		n, err = 0, ErrDigestMismatch
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrDeadlineExceeded.With("the body did not arrive before the deadline")
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = ErrCallerGone.With("the caller closed the connection before the end of the body")
	}
	b.err = err
	b.atEnd.Store(err == io.EOF)
	if complete && len(b.buffered)+n <= maxBufferedBytes {
		b.buffered = append(b.buffered, p[:n]...)
	}
	return n, err
}

// finished reports whether the complete body was read.
func (b *bufferedBody) finished() bool { return b.atEnd.Load() }

var errBodyClosed = errors.New("the request has ended")

// close makes later reads fail. net/http may read a request body after the response has arrived, but the
// caller's connection must not be read once its handler has returned. Therefore close calls abort to
// interrupt a read in progress, and waits for it. A nil abort means that the source may be read at any
// time.
func (b *bufferedBody) close(abort func()) {
	b.closed.Store(true)
	if abort == nil {
		return
	}
	select {
	case b.sourceLock <- struct{}{}:
	default:
		abort()
		b.sourceLock <- struct{}{}
	}
	<-b.sourceLock
}

// readPrefix reads until the buffer is full or the body ends. It returns the buffered bytes and whether
// they are the complete body.
func (b *bufferedBody) readPrefix() (data []byte, complete bool, err error) {
	b.sourceLock <- struct{}{}
	defer func() { <-b.sourceLock }()
	chunk := make([]byte, 4<<10)
	for err == nil && len(b.buffered) < maxBufferedBytes {
		_, err = b.readSource(chunk[:min(len(chunk), maxBufferedBytes-len(b.buffered))])
	}
	if err != nil && err != io.EOF {
		return nil, false, err
	}
	return b.buffered, err == io.EOF, nil
}

// verify makes the body end with ErrDigestMismatch instead of io.EOF if its digest differs from want.
// Everything read so far must be buffered.
func (b *bufferedBody) verify(want []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hash = sha256.New()
	b.hash.Write(b.buffered)
	b.wantDigest = want
}

// requestDigest returns a digest of a non-idempotent request, by which reuse of its key for another
// request is detected. It covers method, service, path, content type and the SHA-256 of the body. If the
// body does not fit the buffer, the SHA-256 is taken from the caller's Content-Digest header and verified
// while the body is sent.
func requestDigest(c *call, body *bufferedBody) ([]byte, error) {
	data, complete, err := body.readPrefix()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	content := sum[:]
	if !complete {
		if content = parseContentDigest(c.header.Get("Content-Digest")); content == nil {
			return nil, ErrDigestRequired
		}
		body.verify(content)
	}
	h := sha256.New()
	for _, part := range []string{c.method, c.service, c.path, c.header.Get("Content-Type"), string(content)} {
		io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	return h.Sum(nil), nil
}

// parseContentDigest returns the sha-256 value of a Content-Digest header (RFC 9530), or nil if there is
// none.
func parseContentDigest(header string) []byte {
	for item := range strings.SplitSeq(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(item), "sha-256=:")
		if !ok {
			continue
		}
		sum, err := base64.StdEncoding.DecodeString(strings.TrimSuffix(value, ":"))
		if err == nil && len(sum) == sha256.Size {
			return sum
		}
	}
	return nil
}
