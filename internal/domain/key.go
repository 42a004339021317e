package domain

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Life of an idempotency key, counted from its time of issue.
const (
	// RecordLife is how long a request record or an ended task is kept.
	RecordLife = 24 * time.Hour
	// KeyLife is shorter than RecordLife so that a key is refused before its record is dropped.
	KeyLife = RecordLife - 5*time.Minute
	// KeyAhead is how far in the future a key may be issued.
	KeyAhead = 5 * time.Minute
)

const (
	uuidBytes   = 16
	uuidTextLen = 36
	uuidVersion = 7
)

type uuid [uuidBytes]byte

// parseKey reads the text form of a UUIDv7.
func parseKey(key string) (uuid, error) {
	var u uuid
	if len(key) != uuidTextLen || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return u, ErrKeyInvalid.With("idempotency key %q is not a UUID", key)
	}
	var digits [2 * uuidBytes]byte
	n := copy(digits[:], key[:8])
	for _, part := range []string{key[9:13], key[14:18], key[19:23], key[24:]} {
		n += copy(digits[n:], part)
	}
	if _, err := hex.Decode(u[:], digits[:]); err != nil {
		return u, ErrKeyInvalid.With("idempotency key %q is not a UUID", key)
	}
	if u[6]>>4 != uuidVersion {
		return u, ErrKeyInvalid.With("idempotency key %q is a UUID of version %d, not 7", key, u[6]>>4)
	}
	return u, nil
}

func (u uuid) unixMs() int64 {
	return int64(binary.BigEndian.Uint64(u[:8]) >> 16)
}

func (u uuid) String() string { return string(u.appendText(make([]byte, 0, uuidTextLen))) }

func (u uuid) appendText(to []byte) []byte {
	for i, part := range [][]byte{u[:4], u[4:6], u[6:8], u[8:10], u[10:]} {
		if i > 0 {
			to = append(to, '-')
		}
		to = hex.AppendEncode(to, part)
	}
	return to
}

// KeyTime returns the time of issue of an idempotency key.
func KeyTime(key string) (time.Time, error) {
	u, err := parseKey(key)
	if err != nil {
		return time.Time{}, err
	}
	return time.UnixMilli(u.unixMs()), nil
}

// NewKey returns a random UUIDv7 issued at now.
func NewKey(now time.Time) string {
	var u uuid
	binary.BigEndian.PutUint64(u[:8], uint64(now.UnixMilli())<<16)
	_, _ = rand.Read(u[6:]) // never fails
	u[6] = u[6]&0x0f | uuidVersion<<4
	u[8] = u[8]&0x3f | 0x80
	return u.String()
}

// checkKeyAge refuses keys outside of their life. The wall clock of the state is used, so all replicas agree.
func checkKeyAge(u uuid, nowMs int64) error {
	age := time.Duration(nowMs-u.unixMs()) * time.Millisecond
	if age > KeyLife {
		return ErrKeyExpired.With("the idempotency key is %s old; the limit is %s", age.Truncate(time.Second), KeyLife)
	}
	if age < -KeyAhead {
		return ErrKeyInvalid.With("the idempotency key is %s in the future; the limit is %s", -age.Truncate(time.Second), KeyAhead)
	}
	return nil
}
