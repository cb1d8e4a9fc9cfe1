package coordinator

import (
	"context"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestOnlyTheOpenAttemptWrites feeds late, crossed, doubled and overlapping answers.
func TestOnlyTheOpenAttemptWrites(t *testing.T) {
	f := &Generation{wake: make(chan struct{}, 1)}
	f.open(1)
	f.take(1, 0, []string{"a", "b"})
	f.take(1, 0, []string{"a", "b"})      // doubled
	f.take(1, 3, []string{"x"})           // with a gap
	f.open(3)                             // a second attempt resumes
	f.take(1, 2, []string{"late"})        // of the first attempt
	f.take(3, 1, []string{"b", "c", "d"}) // overlaps
	f.take(4, 4, []string{"early"})       // of an attempt that is not open
	f.finish(Result{})
	f.take(3, 4, []string{"after the end"})
	got, err := f.NextTokens(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("abcd", strings.Join(got, "")); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
