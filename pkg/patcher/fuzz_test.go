package patcher_test

import (
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/patcher"
)

// A delta of a peer must give the list that its digest names, or nothing.
func FuzzApply(f *testing.F) {
	f.Add("[a x]\nk = 1\n", "[a x]\nk = 2\n", "[b y]", uint64(7))
	f.Add("", "no section", "", uint64(0))
	f.Fuzz(func(t *testing.T, list, changed, removed string, digest uint64) {
		p := patcher.New()
		p.Load(1, list)
		text, ok := p.Apply(patcher.Delta{
			FromVersion: 1, ToVersion: 2, ChangedSections: []string{changed}, RemovedTitles: []string{removed}, Digest: digest,
		})
		if !ok && text != "" {
			t.Errorf("got text %q of a delta that does not apply", text)
		}
	})
}
