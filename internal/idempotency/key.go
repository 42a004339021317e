// Package idempotency defines idempotency keys, with which task submissions and non-idempotent requests
// can be repeated safely. A key is a UUIDv7, so it contains its time of issue.
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

// Time limits, counted from the time of issue of a key.
const (
	// RecordLifetime is how long the record of a request or an ended task is kept.
	RecordLifetime = 24 * time.Hour
	// KeyLifetime is how long a key is accepted. It is shorter than RecordLifetime so that a record cannot expire
	// while its request is being executed.
	KeyLifetime = RecordLifetime - 5*time.Minute
	// MaxAhead is how far in the future the time of issue of a key may be.
	MaxAhead = 5 * time.Minute
)

const (
	// TextLength is the length of the text form of a key.
	TextLength = 36
	// version is the UUID version of keys.
	version = 7
)

// Errors returned by Parse and Key.CheckAge.
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

// Parse parses the text form of a UUIDv7, in upper or lower case. It returns ErrInvalid for any other text.
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

// Canonical returns the lower-case form of a key, from which its owner is computed. A text that is not a
// key is returned unchanged.
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

// UnixMs returns the time of issue in milliseconds since the Unix epoch.
func (k Key) UnixMs() int64 { return int64(binary.BigEndian.Uint64(k[:8]) >> 16) }

// Issued returns the time of issue.
func (k Key) Issued() time.Time { return time.UnixMilli(k.UnixMs()) }

// AppendText appends the canonical text form to the slice. It does not allocate if the capacity suffices.
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

// CheckAge checks the age of the key at the time nowMs, in milliseconds since the Unix epoch. It returns
// ErrExpired if the key is older than KeyLifetime, so that its record may already be deleted, and ErrAhead if
// it was issued more than MaxAhead in the future.
func (k Key) CheckAge(nowMs int64) error {
	age := time.Duration(nowMs-k.UnixMs()) * time.Millisecond
	if age > KeyLifetime {
		return ErrExpired.With("the idempotency key is %s old; the limit is %s", age.Truncate(time.Second), KeyLifetime)
	}
	if age < -MaxAhead {
		return ErrAhead.With("the idempotency key is %s in the future; the limit is %s", -age.Truncate(time.Second), MaxAhead)
	}
	return nil
}
