package routing

// maxRetryTokens is the number of retries that can accumulate in the budget, and so the largest burst.
const maxRetryTokens = 10

// retryBudget limits retries to a percentage of requests, so that retries cannot multiply the load on
// executors that fail. Guarded by Table.mu.
type retryBudget struct {
	// percent of requests that may be retried.
	percent int
	// hundredths is the balance in hundredths of a retry.
	hundredths int
}

// credit adds one request's share of a retry to the balance.
func (b *retryBudget) credit() {
	b.hundredths = min(b.hundredths+max(b.percent, 0), maxRetryTokens*100)
}

// take spends one retry, or returns false if the balance is too low.
func (b *retryBudget) take() bool {
	if b.hundredths < 100 {
		return false
	}
	b.hundredths -= 100
	return true
}

// AllowRetry takes one retry from the budget. It returns false if the budget is used up.
func (t *Table) AllowRetry() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.budget.take()
}
