package idempotency

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against spellings of a key that are accepted but not parsed to the same key, and against texts
// that are not a UUIDv7 being accepted.
func TestParse(t *testing.T) {
	issued := time.UnixMilli(1_780_000_000_123)
	key := NewKey(issued)
	for _, c := range []struct {
		name, text string
		valid      bool
	}{
		{"lower case", key, true},
		{"upper case", strings.ToUpper(key), true},
		{"empty", "", false},
		{"too short", key[:35], false},
		{"without dashes", strings.ReplaceAll(key, "-", ""), false},
		{"not hex", "z" + key[1:], false},
		{"version 4", key[:14] + "4" + key[15:], false},
		{"other variant", key[:19] + "0" + key[20:], false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			parsed, err := Parse(c.text)
			is.Equal(err == nil, c.valid)
			if c.valid {
				is.Equal(parsed.String(), key)
				is.True(parsed.Issued().Equal(issued))
			} else {
				is.True(errors.Is(err, ErrInvalid))
			}
		})
	}
}

// Guards against accepting a key whose record may have been deleted, since its request could then be
// executed twice.
func TestCheckAge(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_780_000_000_000)
	at := func(age time.Duration) error {
		key, err := Parse(NewKey(now.Add(-age)))
		is.NoErr(err)
		return key.CheckAge(now.UnixMilli())
	}
	is.NoErr(at(0))
	is.NoErr(at(KeyLifetime))
	is.True(errors.Is(at(KeyLifetime+time.Millisecond), ErrExpired))
	is.NoErr(at(-MaxAhead))
	is.True(errors.Is(at(-MaxAhead-time.Millisecond), ErrAhead))
}
