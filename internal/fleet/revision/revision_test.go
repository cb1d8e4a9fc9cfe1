package revision_test

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

// A store that was restored counts on from an older copy: a lower number of a later era must be newer.
func TestLowerNumberOfLaterEraIsOlder(t *testing.T) {
	want := []revision.Revision{{}, revision.New(0, 7), revision.New(1, 0), revision.New(1, 30), revision.New(2, 19), revision.New(3, 1)}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortFunc(got, revision.Revision.Compare)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order of revisions (-want +got):\n%s", diff)
	}
	if got := revision.New(2, 19).String(); got != "2/19" {
		t.Errorf("got %q, want 2/19", got)
	}
}
