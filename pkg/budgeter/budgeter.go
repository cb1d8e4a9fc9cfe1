// Package budgeter bounds retries to a share of the first attempts, so that failures
// never multiply the load.
package budgeter

// Budgeter is a retry budget. It is not safe for concurrent use.
type Budgeter struct {
	// retriesPerAttempt is how many retries each first attempt earns.
	retriesPerAttempt float64
	// maxSaved bounds the saved retries.
	maxSaved float64
	// savedRetries is never negative and never above most.
	savedRetries float64
}

// New returns a full budget: ratio retries are earned by each first attempt, and at most
// most of them are saved.
func New(retriesPerAttempt, maxSaved float64) *Budgeter {
	return &Budgeter{retriesPerAttempt: retriesPerAttempt, maxSaved: maxSaved, savedRetries: maxSaved}
}

// Earn records a first attempt.
func (b *Budgeter) Earn() {
	b.savedRetries = min(b.maxSaved, b.savedRetries+b.retriesPerAttempt)
}

// Spend takes one retry; false means that the budget is spent and nothing may be retried.
func (b *Budgeter) Spend() bool {
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}
