// Package fencer compares the fencing numbers of orders, on behalf of engines that ignore them.
package fencer

// Fencer remembers the highest fencing number of each kind of order. It is not safe for concurrent use.
type Fencer struct {
	// highestTokens never falls.
	highestTokens map[string]uint64
}

// New returns a fencer that has seen no order.
func New() *Fencer {
	return &Fencer{highestTokens: make(map[string]uint64)}
}

// Admit tells whether the order may go on: its number is not below any seen before for the kind.
func (f *Fencer) Admit(kind string, token uint64) bool {
	if token < f.highestTokens[kind] {
		return false
	}
	f.highestTokens[kind] = token
	return true
}
