package credentials

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/lentilyard/lentilyard/internal/errs"
	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	tokenPrefix = "ly_" // makes tokens recognizable for secret scanners
	tokenBytes  = 32
	// maxTokenBytes limits the length of a value that is hashed on behalf of an unauthenticated caller.
	maxTokenBytes = 256
)

// NewToken returns a random bearer token and its SHA-256 digest, which goes into the settings.
func NewToken() (token, sha256Hex string) {
	secret := make([]byte, tokenBytes)
	_, _ = rand.Read(secret) // cannot fail: crypto/rand crashes the process if no randomness is available
	token = tokenPrefix + base64.RawURLEncoding.EncodeToString(secret)
	digest := sha256.Sum256([]byte(token))
	return token, hex.EncodeToString(digest[:])
}

// Tokens looks up bearer tokens by the digests in the settings. It is safe for concurrent use.
type Tokens struct {
	list atomic.Pointer[[]tokenEntry]
}

type tokenEntry struct {
	digest [sha256.Size]byte
	token  *pb.Token
}

// NewTokens returns the tokens listed in the settings. It returns an error if a digest is malformed.
func NewTokens(list []*pb.Token) (*Tokens, error) {
	t := &Tokens{}
	return t, t.Replace(list)
}

// Replace replaces the list of tokens after a reload of the settings. If a digest is malformed, it returns an error and
// keeps the old list.
func (t *Tokens) Replace(list []*pb.Token) error {
	entries := make([]tokenEntry, len(list))
	for i, token := range list {
		digest, err := hex.DecodeString(token.GetSha256())
		if err != nil || len(digest) != sha256.Size {
			return fmt.Errorf("token %q: sha256 is malformed; write 64 lower-case hex digits", token.GetName())
		}
		entries[i] = tokenEntry{[sha256.Size]byte(digest), token}
	}
	t.list.Store(&entries)
	return nil
}

// Lookup returns the token with the given value, or nil. To prevent timing attacks it compares the value with all
// digests, each in constant time.
func (t *Tokens) Lookup(value string) *pb.Token {
	if value == "" || len(value) > maxTokenBytes {
		return nil
	}
	digest := sha256.Sum256([]byte(value))
	var found *pb.Token
	for _, entry := range *t.list.Load() {
		if subtle.ConstantTimeCompare(entry.digest[:], digest[:]) == 1 {
			found = entry.token
		}
	}
	return found
}

// Authenticate returns the token in an Authorization header, or errs.ErrUnauthenticated.
func (t *Tokens) Authenticate(header string) (*pb.Token, error) {
	scheme, value, _ := strings.Cut(header, " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return nil, errs.ErrUnauthenticated
	}
	token := t.Lookup(strings.TrimSpace(value))
	if token == nil {
		return nil, errs.ErrUnauthenticated
	}
	return token, nil
}
