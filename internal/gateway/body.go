package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"hash"
	"io"
	"strconv"
	"strings"
	"sync"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// bufferedBytes of a body are kept: to send an idempotent request again, and to compute the digest of
// a non-idempotent one before its first byte is sent. With 1024 waiting requests this takes 64 MiB.
const bufferedBytes = 64 << 10

// replayBody reads a caller's body and keeps its beginning, so that it can be read again.
type replayBody struct {
	mu     sync.Mutex
	source io.Reader
	limit  int64
	read   int64
	kept   []byte
	err    error
	// hash and want verify the body against the stated digest.
	hash hash.Hash
	want []byte
}

func newReplayBody(source io.Reader, limit int64) *replayBody {
	return &replayBody{source: source, limit: limit}
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
	b := v.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.offset < int64(len(b.kept)) {
		n := copy(p, b.kept[v.offset:])
		v.offset += int64(n)
		return n, nil
	}
	if v.offset != b.read {
		return 0, errors.New("the body was read by a later attempt")
	}
	n, err := b.next(p)
	v.offset += int64(n)
	return n, err
}

// Close implements io.Closer. The source belongs to the caller's connection.
func (v *bodyView) Close() error { return nil }

func (b *replayBody) next(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.read += int64(n)
	if b.read > b.limit {
		b.err = errs.ErrTooLarge.With("the body exceeds %d bytes", b.limit)
		return 0, b.err
	}
	if b.hash != nil {
		b.hash.Write(p[:n])
	}
	if err == io.EOF && b.hash != nil && !bytes.Equal(b.hash.Sum(nil), b.want) {
		err = ErrDigestMismatch
		n = 0
	}
	b.err = err
	if len(b.kept)+n <= bufferedBytes && b.read-int64(n) == int64(len(b.kept)) {
		b.kept = append(b.kept, p[:n]...)
	}
	return n, err
}

// prefix reads up to the buffered size and reports whether that is the whole body.
func (b *replayBody) prefix() (data []byte, whole bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	chunk := make([]byte, 4<<10)
	for b.err == nil && len(b.kept) < bufferedBytes {
		if _, err := b.next(chunk[:min(len(chunk), bufferedBytes-len(b.kept))]); err != nil && err != io.EOF {
			return nil, false, err
		}
	}
	return b.kept, b.err == io.EOF, nil
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
