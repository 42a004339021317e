package fleet

import (
	"context"

	"golang.org/x/sync/semaphore"
)

const (
	// smallCallBytes is the size of the requests that LargeCalls does not bound.
	smallCallBytes = 4 << 10
	// maxLargeCallBytes bounds the larger ones that are in progress. The VM that they reach decodes those of dozens of VMs.
	maxLargeCallBytes = 512 << 10
)

// LargeCalls bounds the bytes of the requests that one VM has in progress at others. It is safe for concurrent use.
type LargeCalls struct{ bytes *semaphore.Weighted }

// NewLargeCalls returns a LargeCalls with nothing in progress.
func NewLargeCalls() *LargeCalls { return &LargeCalls{semaphore.NewWeighted(maxLargeCallBytes)} }

// Begin waits until a request of the given size may be sent; one that is larger than the bound is sent alone. Its error is that of ctx;
// then the request must not be sent. end must be called once the call is over.
func (l *LargeCalls) Begin(ctx context.Context, size int) (end func(), err error) {
	if size <= smallCallBytes {
		return func() {}, nil
	}
	bytes := int64(min(size, maxLargeCallBytes))
	if err := l.bytes.Acquire(ctx, bytes); err != nil {
		return nil, err
	}
	return func() { l.bytes.Release(bytes) }, nil
}
