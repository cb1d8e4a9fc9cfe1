package drawer_test

import (
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/peer/drawer"
	"github.com/pistachiovane/pistachiovane/internal/peer/scripter"
)

// A point of an axis that is never drawn is a fault that nobody looks for.
func TestEachPointIsDrawn(t *testing.T) {
	seen := map[string]map[int]bool{}
	note := func(axis string, point int) {
		if seen[axis] == nil {
			seen[axis] = map[int]bool{}
		}
		seen[axis][point] = true
	}
	draws := drawer.Draws()
	for seed := range 600 {
		d := draws.Example(seed)
		if d.Crasher != nil {
			note("crasher successor", int(d.Crasher.Exchange.Successor))
		}
		for _, r := range d.Requests {
			note("route", int(r.Route))
			for _, x := range append(r.Prefills, r.Runs...) {
				note("framing", int(x.Framing))
				note("cut", int(x.Cut))
				note("identity", int(x.Identity))
				note("verdict", int(x.Verdict))
				note("repeat", int(x.Repeat))
				note("signal", int(x.Signal))
				note("successor", int(x.Successor))
			}
		}
	}
	sizes := scripter.AllSizes()
	for axis, want := range map[string]int{
		"route": 4, "framing": sizes.Framings, "cut": sizes.Cuts, "identity": sizes.Identities, "verdict": sizes.Verdicts,
		"repeat": sizes.Repeats, "signal": sizes.Signals, "successor": sizes.Successors, "crasher successor": sizes.Successors,
	} {
		if len(seen[axis]) != want {
			t.Errorf("%s: got %d points drawn, want all %d", axis, len(seen[axis]), want)
		}
	}
}
