package routing

// maxRetryTokens bounds the retries that may follow each other after a quiet time.
const maxRetryTokens = 10

// budget bounds retries as a share of requests. Guarded by Table.mu.
type budget struct {
	percent int
	// hundredths of a retry that may be spent.
	hundredths int
}

func (b *budget) request() {
	b.hundredths = min(b.hundredths+max(b.percent, 0), maxRetryTokens*100)
}

func (b *budget) retry() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// AllowRetry takes one retry from the budget, or returns false if it is spent.
func (t *Table) AllowRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.retry()
}
