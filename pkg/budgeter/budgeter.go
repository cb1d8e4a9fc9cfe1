// Package budgeter limits retries to a fraction of the first attempts, so that failures do not multiply the load.
package budgeter

// Budgeter is a retry budget. It is not safe for concurrent use.
type Budgeter struct {
	// retriesPerAttempt is the fraction of a retry that each first attempt adds to the budget.
	retriesPerAttempt float64
	// maxSaved limits savedRetries.
	maxSaved float64
	// savedRetries is the number of retries that may be made now, from 0 to maxSaved.
	savedRetries float64
}

// New returns a full budget. Each first attempt adds retriesPerAttempt retries to it, up to maxSaved retries.
func New(retriesPerAttempt, maxSaved float64) *Budgeter {
	return &Budgeter{retriesPerAttempt: retriesPerAttempt, maxSaved: maxSaved, savedRetries: maxSaved}
}

// Earn records a first attempt, which adds retriesPerAttempt to the budget, up to its maximum.
func (b *Budgeter) Earn() {
	b.savedRetries = min(b.maxSaved, b.savedRetries+b.retriesPerAttempt)
}

// Spend takes one retry from the budget. It returns false and takes nothing if less than one is left; the attempt must
// not be retried then.
func (b *Budgeter) Spend() bool {
	if b.savedRetries < 1 {
		return false
	}
	b.savedRetries--
	return true
}
