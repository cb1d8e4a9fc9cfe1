package patcher

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// listText returns a list with the version and one section for each account. accounts maps the number of an account to
// its rate. The sections are in random order.
func listText(version uint64, accounts map[int]int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# a comment\n[list]\nversion = %d\n", version)
	for name, rate := range accounts {
		fmt.Fprintf(&b, "\n[account a%d]\nrate = %d\n", name, rate)
	}
	return b.String()
}

// TestAppliedDeltasReproduceList guards against a delta that misses a change, which would leave a follower with another
// list than the leader's. It edits a list at random and updates a follower by delta after a random number of edits.
func TestAppliedDeltasReproduceList(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leader, follower := New(), New()
		accounts := map[int]int{1: 1, 2: 1}
		version := uint64(1)
		leader.Load(version, listText(version, accounts))
		follower.Load(version, listText(version, accounts))
		for range rapid.IntRange(1, 20).Draw(rt, "edits") {
			version++
			name := rapid.IntRange(1, 6).Draw(rt, "account")
			if rapid.Bool().Draw(rt, "drop") {
				delete(accounts, name)
			} else {
				accounts[name]++
			}
			leader.Load(version, listText(version, accounts))
			if !rapid.Bool().Draw(rt, "catch up") {
				continue
			}
			delta, ok := leader.DeltaSince(follower.Version())
			if !ok {
				rt.Fatalf("got no delta from version %d to %d", follower.Version(), version)
			}
			text, ok := follower.Apply(delta)
			if !ok {
				rt.Fatalf("delta %+v was rejected, want it applied", delta)
			}
			follower.Load(delta.ToVersion, text)
			if diff := cmp.Diff(Sections(listText(version, accounts)), Sections(text)); diff != "" {
				rt.Fatalf("list after the delta (-want +got):\n%s", diff)
			}
		}
	})
}

// TestIncompleteOrMismatchedDeltaIsRejected guards against a follower that gets a wrong list from a delta that lost a
// section or that starts from another version than the follower has. It also guards against a delta for a follower
// without any list, whose version is 0: it needs the whole list.
func TestIncompleteOrMismatchedDeltaIsRejected(t *testing.T) {
	leader, follower := New(), New()
	leader.Load(1, listText(1, map[int]int{1: 1}))
	follower.Load(1, listText(1, map[int]int{1: 1}))
	leader.Load(2, listText(2, map[int]int{1: 2, 2: 2}))
	delta, _ := leader.DeltaSince(1)
	incomplete := delta
	incomplete.ChangedSections = incomplete.ChangedSections[1:]
	mismatched := delta
	mismatched.FromVersion = 7
	for _, d := range []Delta{incomplete, mismatched} {
		if _, ok := follower.Apply(d); ok {
			t.Errorf("delta %+v was applied, want it rejected", d)
		}
	}
	if _, ok := leader.DeltaSince(0); ok {
		t.Error("got a delta from version 0, want none")
	}
}
