// Package fencer rejects orders to an engine, such as to load a model, that have an outdated fencing token. It is for
// engines that do not check the tokens themselves.
package fencer

// Fencer stores the highest fencing token of each kind of order. It is not safe for concurrent use.
type Fencer struct {
	// highestTokens maps a kind of order to the highest token that was admitted.
	highestTokens map[string]uint64
}

// New returns a fencer that admits any token as the first one of its kind.
func New() *Fencer {
	return &Fencer{highestTokens: make(map[string]uint64)}
}

// Admit returns whether an order may be carried out: its token must not be lower than any token admitted before for the
// same kind of order.
func (f *Fencer) Admit(kind string, token uint64) bool {
	if token < f.highestTokens[kind] {
		return false
	}
	f.highestTokens[kind] = token
	return true
}
