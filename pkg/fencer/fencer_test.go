package fencer

import "testing"

func TestOrdersWithOlderTokensAreRefused(t *testing.T) {
	f := New()
	steps := []struct {
		kind  string
		fence uint64
		want  bool
	}{{"load", 2, true}, {"load", 2, true}, {"load", 1, false}, {"role", 1, true}, {"load", 3, true}}
	for _, s := range steps {
		if got := f.Admit(s.kind, s.fence); got != s.want {
			t.Errorf("order %s %d admitted: %v, want %v", s.kind, s.fence, got, s.want)
		}
	}
}
