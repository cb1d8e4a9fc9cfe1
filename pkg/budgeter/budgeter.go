// Package budgeter bounds retries to a share of the first attempts, so that failures
// never multiply the load.
package budgeter

// Budgeter is a retry budget. It is not safe for concurrent use.
type Budgeter struct {
	// ratio is how many retries each first attempt earns.
	ratio float64
	// most bounds the saved retries.
	most float64
	// saved is never negative and never above most.
	saved float64
}

// New returns a full budget: ratio retries are earned by each first attempt, and at most
// most of them are saved.
func New(ratio, most float64) *Budgeter {
	return &Budgeter{ratio: ratio, most: most, saved: most}
}

// Earn records a first attempt.
func (b *Budgeter) Earn() {
	b.saved = min(b.most, b.saved+b.ratio)
}

// Spend takes one retry; false means that the budget is spent and nothing may be retried.
func (b *Budgeter) Spend() bool {
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
