package gateway

import (
	"sync"
	"time"

	"github.com/lentilyard/lentilyard/internal/pb"
)

const (
	// ratePeriodSeconds is the period of ResolvedLimits.request_rate, which is in requests per 1000 seconds.
	ratePeriodSeconds = 1000
	// burstSeconds is the size of the token bucket in seconds of the rate.
	burstSeconds = 1
)

// bucket is the token bucket of one contract.
type bucket struct {
	tokens float64
	// refilled is the time at which tokens were last added.
	refilled time.Time
}

// rateLimiter limits the request rate of each contract. It holds one bucket per contract name.
type rateLimiter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
}

// allow takes one token from the bucket of the contract, which is refilled at the given share of the
// contract's rate. It returns false if the bucket is empty. A rate of 0 means no limit.
func (l *rateLimiter) allow(c *pb.ResolvedContract, share float64, now time.Time) bool {
	rate := float64(c.GetResolved().GetRequestRate()) / ratePeriodSeconds * share
	if c.GetResolved().GetRequestRate() <= 0 {
		return true
	}
	burst := max(rate*burstSeconds, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[c.Written.Name]
	if b == nil {
		b = &bucket{tokens: burst, refilled: now}
		l.buckets[c.Written.Name] = b
	}
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*rate, burst)
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
