// Package fencer compares the fencing numbers of orders, on behalf of engines that ignore them.
package fencer

// Fencer remembers the highest fencing number of each kind of order. It is not safe for concurrent use.
type Fencer struct {
	// highest never falls.
	highest map[string]uint64
}

// New returns a fencer that has seen no order.
func New() *Fencer {
	return &Fencer{highest: make(map[string]uint64)}
}

// Admit tells whether the order may go on: its number is not below any seen before for the kind.
func (f *Fencer) Admit(kind string, fence uint64) bool {
	if fence < f.highest[kind] {
		return false
	}
	f.highest[kind] = fence
	return true
}
