package coordinator

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTokensOfOtherAttemptsAreDropped guards against tokens that appear twice, in the wrong place or from a stale
// attempt in the output. It delivers repeated tokens, overlapping ones, ones after a gap, ones of attempts that are
// not open, and ones after the end.
func TestTokensOfOtherAttemptsAreDropped(t *testing.T) {
	g := &Generation{wake: make(chan struct{}, 1)}
	g.setOpenAttempt(1)
	g.appendTokens(1, 0, []string{"a", "b"})
	g.appendTokens(1, 0, []string{"a", "b"})      // repeated
	g.appendTokens(1, 3, []string{"x"})           // after a gap
	g.setOpenAttempt(3)                           // a later attempt continues
	g.appendTokens(1, 2, []string{"late"})        // from the first attempt
	g.appendTokens(3, 1, []string{"b", "c", "d"}) // overlaps
	g.appendTokens(4, 4, []string{"early"})       // from an attempt that is not open
	g.finish(Result{})
	g.appendTokens(3, 4, []string{"after the end"})
	got, err := g.NextTokens(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("abcd", strings.Join(got, "")); diff != "" {
		t.Errorf("output (-want +got):\n%s", diff)
	}
}
