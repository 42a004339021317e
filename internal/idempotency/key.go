// Package idempotency defines the keys that make submits and non-idempotent requests safe to repeat. A key is a UUIDv7,
// so it carries its time of issue.
package idempotency

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/lentilyard/lentilyard/internal/errs"
)

// Life of a key, counted from its time of issue.
const (
	// RecordLife is how long a request record or an ended task is kept.
	RecordLife = 24 * time.Hour
	// KeyLife is shorter than RecordLife so that a record cannot expire while its request is worked on.
	KeyLife = RecordLife - 5*time.Minute
	// MaxAhead is how far in the future a key may be issued.
	MaxAhead = 5 * time.Minute
)

const (
	// TextLength is the length of the text form.
	TextLength = 36
	version    = 7
)

// Refusals of a key.
var (
	ErrInvalid = &errs.Error{Code: "key-invalid", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the idempotency key is not a UUIDv7", Remedy: "send a UUIDv7 issued for this request"}
	ErrExpired = &errs.Error{Code: "key-expired", Status: http.StatusConflict, Outcome: errs.OutcomeUnknown,
		Message: "the idempotency key is too old", Remedy: "an earlier request with this key may have run; its outcome is no longer recorded"}
	ErrAhead = &errs.Error{Code: "key-in-future", Status: http.StatusBadRequest, Outcome: errs.OutcomeNotRun,
		Message: "the idempotency key was issued in the future", Remedy: "check the clock of the caller"}
)

// Key is the binary form of an idempotency key.
type Key [16]byte

// Parse reads the text form of a UUIDv7 in capital or small letters. It returns ErrInvalid.
func Parse(text string) (Key, error) {
	if len(text) != TextLength {
		return Key{}, ErrInvalid.With("idempotency key %q is not a UUID", text)
	}
	parsed, err := uuid.Parse(text)
	if err != nil {
		return Key{}, ErrInvalid.With("idempotency key %q is not a UUID: %w", text, err)
	}
	if parsed.Version() != version || parsed.Variant() != uuid.RFC4122 {
		return Key{}, ErrInvalid.With("idempotency key %q is a UUID of version %d, not 7", text, parsed.Version())
	}
	return Key(parsed), nil
}

// Canonical returns the form of a key in small letters, by which its owner is chosen. A text that is no key is
// returned as it is.
func Canonical(text string) string {
	key, err := Parse(text)
	if err != nil {
		return text
	}
	return key.String()
}

// NewKey returns a random key issued at now.
func NewKey(now time.Time) string {
	var k Key
	binary.BigEndian.PutUint64(k[:8], uint64(now.UnixMilli())<<16)
	_, _ = rand.Read(k[6:]) // never fails
	k[6] = k[6]&0x0f | version<<4
	k[8] = k[8]&0x3f | 0x80
	return k.String()
}

// UnixMs returns the time of issue.
func (k Key) UnixMs() int64 { return int64(binary.BigEndian.Uint64(k[:8]) >> 16) }

// Issued returns the time of issue.
func (k Key) Issued() time.Time { return time.UnixMilli(k.UnixMs()) }

// AppendText appends the canonical text form, without an allocation of its own.
func (k Key) AppendText(to []byte) []byte {
	for i, part := range [][]byte{k[:4], k[4:6], k[6:8], k[8:10], k[10:]} {
		if i > 0 {
			to = append(to, '-')
		}
		to = hex.AppendEncode(to, part)
	}
	return to
}

// String returns the canonical text form.
func (k Key) String() string { return string(k.AppendText(make([]byte, 0, TextLength))) }

// CheckAge refuses a key whose record may be gone, and one from the future. It returns ErrExpired or ErrAhead.
func (k Key) CheckAge(nowMs int64) error {
	age := time.Duration(nowMs-k.UnixMs()) * time.Millisecond
	if age > KeyLife {
		return ErrExpired.With("the idempotency key is %s old; the limit is %s", age.Truncate(time.Second), KeyLife)
	}
	if age < -MaxAhead {
		return ErrAhead.With("the idempotency key is %s in the future; the limit is %s", -age.Truncate(time.Second), MaxAhead)
	}
	return nil
}
