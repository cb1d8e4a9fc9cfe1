package scripter_test

import (
	"strings"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/peer/scripter"
)

// Each point of an axis must have a name in reports.
func TestPointHasNoName(t *testing.T) {
	sizes := scripter.AllSizes()
	most := max(sizes.Framings, sizes.Cuts, sizes.Identities, sizes.Verdicts, sizes.Repeats, sizes.Signals, sizes.Successors)
	for i := range most {
		x := scripter.Exchange{
			Framing: scripter.Framing(min(i, sizes.Framings-1)), Cut: scripter.Cut(min(i, sizes.Cuts-1)),
			Identity: scripter.Identity(min(i, sizes.Identities-1)), Verdict: scripter.Verdict(min(i, sizes.Verdicts-1)),
			Repeat: scripter.Repeat(min(i, sizes.Repeats-1)), Signal: scripter.Signal(min(i, sizes.Signals-1)),
			Successor: scripter.Successor(min(i, sizes.Successors-1)),
		}
		if got := x.String(); strings.Count(got, ",") < 5 || strings.Contains(got, ", ,") {
			t.Errorf("got %q, want a name on each axis", got)
		}
	}
}

// An answer that a caller must be served with has to be whole, its own and told from a crash.
func TestOnlyWholeOwnAnswerIsSound(t *testing.T) {
	if !(scripter.Exchange{}).IsSound() {
		t.Error("got an unsound zero exchange, want a sound one")
	}
	for name, x := range map[string]scripter.Exchange{
		"cut": {Cut: scripter.Close}, "another's": {Identity: scripter.Another}, "refused": {Verdict: scripter.Refused},
		"repeated": {Repeat: scripter.LateCopy}, "two lengths": {Framing: scripter.TwoLengths},
	} {
		if x.IsSound() {
			t.Errorf("%s: got a sound exchange, want an unsound one", name)
		}
	}
}
