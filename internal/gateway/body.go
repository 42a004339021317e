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

// bufferedBytes of a body are kept: to send an idempotent request again, and to compute the digest of
// a non-idempotent one before its first byte is sent. With 1024 waiting requests this takes 64 MiB.
const bufferedBytes = 64 << 10

// replayBody reads a caller's body and keeps its beginning, so that it can be read again.
type replayBody struct {
	source io.Reader
	limit  int64
	// turn holds a value while the source is read.
	turn   chan struct{}
	closed atomic.Bool
	atEnd  atomic.Bool

	// mu guards what follows. It is not held while the source is read.
	mu   sync.Mutex
	read int64
	kept []byte
	err  error
	// hash and want verify the body against the stated digest.
	hash hash.Hash
	want []byte
}

func newReplayBody(source io.Reader, limit int64) *replayBody {
	return &replayBody{source: source, limit: limit, turn: make(chan struct{}, 1)}
}

// view returns a reader from the start of the body, or false if the start is no longer kept.
func (b *replayBody) view() (*bodyView, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return &bodyView{body: b}, b.read == int64(len(b.kept))
}

// bodyView is one pass over the body. net/http may read it after the attempt has failed; the bytes
// are kept for the next view.
type bodyView struct {
	body   *replayBody
	offset int64
}

func (v *bodyView) Read(p []byte) (int, error) {
	if n := v.fromKept(p); n > 0 {
		return n, nil
	}
	b := v.body
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	// Another view may have read on meanwhile.
	if n := v.fromKept(p); n > 0 {
		return n, nil
	}
	if v.offset != b.position() {
		return 0, errors.New("the body was read by a later attempt")
	}
	n, err := b.next(p)
	v.offset += int64(n)
	return n, err
}

func (v *bodyView) fromKept(p []byte) int {
	b := v.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.offset >= int64(len(b.kept)) {
		return 0
	}
	n := copy(p, b.kept[v.offset:])
	v.offset += int64(n)
	return n
}

// Close implements io.Closer. The source belongs to the caller's connection.
func (v *bodyView) Close() error { return nil }

func (b *replayBody) position() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.read
}

// next reads the source. The caller holds the turn.
func (b *replayBody) next(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, errBodyClosed
	}
	if err := b.failure(); err != nil {
		return 0, err
	}
	n, err := b.source.Read(p)
	return b.took(p[:n], err)
}

func (b *replayBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err
}

// took accounts for bytes read from the source.
func (b *replayBody) took(p []byte, err error) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(p)
	whole := b.read == int64(len(b.kept))
	b.read += int64(n)
	if b.hash != nil {
		b.hash.Write(p)
	}
	switch {
	case b.read > b.limit:
		n, err = 0, errs.ErrTooLarge.With("the body exceeds %d bytes", b.limit)
	case err == io.EOF && b.hash != nil && !bytes.Equal(b.hash.Sum(nil), b.want):
		n, err = 0, ErrDigestMismatch
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = ErrDeadlineExceeded.With("the body did not arrive before the deadline")
	case errors.Is(err, io.ErrUnexpectedEOF):
		err = ErrCallerGone.With("the caller closed the connection before the end of the body")
	}
	b.err = err
	b.atEnd.Store(err == io.EOF)
	if whole && len(b.kept)+n <= bufferedBytes {
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}

// finished reports whether the whole body was read.
func (b *replayBody) finished() bool { return b.atEnd.Load() }

var errBodyClosed = errors.New("the request has ended")

// close makes later reads fail. net/http may read a request body after the answer has arrived, but
// the caller's connection must not be read once its handler has returned: abort ends a read that is
// under way. Nil: the source may be read at any time.
func (b *replayBody) close(abort func()) {
	b.closed.Store(true)
	if abort == nil {
		return
	}
	select {
	case b.turn <- struct{}{}:
	default:
		abort()
		b.turn <- struct{}{}
	}
	<-b.turn
}

// prefix reads up to the buffered size and reports whether that is the whole body.
func (b *replayBody) prefix() (data []byte, whole bool, err error) {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	chunk := make([]byte, 4<<10)
	for err == nil && len(b.kept) < bufferedBytes {
		_, err = b.next(chunk[:min(len(chunk), bufferedBytes-len(b.kept))])
	}
	if err != nil && err != io.EOF {
		return nil, false, err
	}
	return b.kept, err == io.EOF, nil
}

// verify makes the rest of the body end with ErrDigestMismatch unless it has the stated digest.
func (b *replayBody) verify(want []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hash = sha256.New()
	b.hash.Write(b.kept)
	b.want = want
}

// requestDigest identifies a non-idempotent request. A body that fits the buffer is part of the
// digest; a larger one is represented by its Content-Digest, which is verified while it streams.
func requestDigest(c *call, body *replayBody) ([]byte, error) {
	data, whole, err := body.prefix()
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(data)
	content := sum[:]
	if !whole {
		if content = statedDigest(c.header.Get("Content-Digest")); content == nil {
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

// statedDigest returns the sha-256 of a Content-Digest header (RFC 9530), or nil.
func statedDigest(header string) []byte {
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
