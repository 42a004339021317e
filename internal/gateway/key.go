package gateway

import (
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxKeyAge is five minutes below the 24 h for which records are kept, so that a record cannot
	// expire while its request is worked on.
	maxKeyAge    = 23*time.Hour + 55*time.Minute
	maxKeyFuture = 5 * time.Minute

	uuidLength = 36
)

// parseKey returns the time of issue of a UUIDv7.
func parseKey(key string) (time.Time, error) {
	if len(key) != uuidLength || key[8] != '-' || key[13] != '-' || key[18] != '-' || key[23] != '-' {
		return time.Time{}, ErrKeyRequired
	}
	var raw [16]byte
	compact := key[:8] + key[9:13] + key[14:18] + key[19:23] + key[24:]
	if _, err := hex.Decode(raw[:], []byte(compact)); err != nil {
		return time.Time{}, ErrKeyRequired
	}
	if raw[6]>>4 != 7 || raw[8]>>6 != 2 {
		return time.Time{}, ErrKeyRequired
	}
	ms := int64(raw[0])<<40 | int64(raw[1])<<32 | int64(raw[2])<<24 | int64(raw[3])<<16 | int64(raw[4])<<8 | int64(raw[5])
	return time.UnixMilli(ms), nil
}

// checkKeyAge refuses keys whose record may be gone, and keys from the future.
func checkKeyAge(issued, now time.Time) error {
	if age := now.Sub(issued); age > maxKeyAge {
		return ErrKeyExpired.With("the idempotency key is %v old, the limit is %v", age.Round(time.Second), maxKeyAge)
	}
	if ahead := issued.Sub(now); ahead > maxKeyFuture {
		return ErrKeyFuture.With("the idempotency key was issued %v in the future", ahead.Round(time.Second))
	}
	return nil
}

// OwnerDomain returns the failure domain that owns the key, by rendezvous hash.
func OwnerDomain(domains []string, member, key string) string {
	best, highest := "", uint64(0)
	for _, domain := range domains {
		score := xxhash.Sum64String(domain + "\x00" + member + "\x00" + key)
		if best == "" || score > highest || score == highest && domain < best {
			best, highest = domain, score
		}
	}
	return best
}
