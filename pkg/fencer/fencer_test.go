package fencer

import "testing"

// TestOrdersWithOlderTokensAreRefused guards against an outdated order that is carried out after a newer one of the
// same kind, and against kinds that affect each other.
func TestOrdersWithOlderTokensAreRefused(t *testing.T) {
	f := New()
	steps := []struct {
		kind  string
		token uint64
		want  bool
	}{{"load", 2, true}, {"load", 2, true}, {"load", 1, false}, {"role", 1, true}, {"load", 3, true}}
	for _, s := range steps {
		if got := f.Admit(s.kind, s.token); got != s.want {
			t.Errorf("order %s with token %d: got admitted %v, want %v", s.kind, s.token, got, s.want)
		}
	}
}
