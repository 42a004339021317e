package gateway

import (
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// rateBase is the time in seconds to which ResolvedLimits.request_rate refers.
	rateBase = 1000
	// burstSeconds of the rate may be used at once after a quiet time.
	burstSeconds = 1
)

// bucket is the token bucket of one contract.
type bucket struct {
	tokens float64
	filled time.Time
}

type rateLimiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// allow takes one request from the contract's rate. A rate of 0 sets no limit.
func (l *rateLimiter) allow(c *pb.ResolvedContract, share float64, now time.Time) bool {
	rate := float64(c.GetResolved().GetRequestRate()) / rateBase * share
	if c.GetResolved().GetRequestRate() <= 0 {
		return true
	}
	burst := max(rate*burstSeconds, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c.Written.Name]
	if b == nil {
		b = &bucket{tokens: burst, filled: now}
		l.buckets[c.Written.Name] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.filled).Seconds()*rate, burst)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
