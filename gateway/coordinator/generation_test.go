package coordinator

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestTokensOfOtherAttemptsAreDropped feeds late, crossed, doubled and overlapping answers.
func TestTokensOfOtherAttemptsAreDropped(t *testing.T) {
	g := &Generation{wake: make(chan struct{}, 1)}
	g.setOpenAttempt(1)
	g.appendTokens(1, 0, []string{"a", "b"})
	g.appendTokens(1, 0, []string{"a", "b"})      // doubled
	g.appendTokens(1, 3, []string{"x"})           // with a gap
	g.setOpenAttempt(3)                           // a second attempt resumes
	g.appendTokens(1, 2, []string{"late"})        // of the first attempt
	g.appendTokens(3, 1, []string{"b", "c", "d"}) // overlaps
	g.appendTokens(4, 4, []string{"early"})       // of an attempt that is not open
	g.finish(Result{})
	g.appendTokens(3, 4, []string{"after the end"})
	got, err := g.NextTokens(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("abcd", strings.Join(got, "")); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
