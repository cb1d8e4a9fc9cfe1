package lister_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

// entryOf returns an entry of an endpoint that has started at a time.
func entryOf(era, number uint64, startedAtMs int64, leaving bool) lister.Entry {
	return lister.Entry{
		Key: "a", Revision: revision.New(era, number),
		Endpoint: lister.Endpoint{ID: "a", StartedAtMs: startedAtMs, Leaving: leaving},
	}
}

// A store that is restored from before an endpoint left shows it as running again. A gateway that knew better sent requests to it.
// The entry counts only if it is still there when that of an endpoint which has gone would have expired.
func TestRestoredEntryBringsBackEndpointThatLeft(t *testing.T) {
	removed := lister.Entry{Key: "a", Revision: revision.New(1, 40), Removed: true}
	for name, left := range map[string]lister.Entry{"removed": removed, "leaving": entryOf(1, 40, 7, true)} {
		t.Run(name, func(t *testing.T) {
			l := lister.New(options)
			l.Replace([]lister.Entry{entryOf(1, 20, 7, false)}, rev(22), 0)
			l.Apply(left, time.Second)
			before := l.Endpoints()
			l.Replace([]lister.Entry{entryOf(2, 20, 7, false)}, revision.New(2, 25), 3*time.Second)
			l.ReleaseHeld(7 * time.Second)
			if diff := cmp.Diff(before, l.Endpoints()); diff != "" {
				t.Errorf("endpoints after a restore (-before +after):\n%s", diff)
			}
			// A further read must not put it off.
			l.Replace([]lister.Entry{entryOf(2, 20, 7, false)}, revision.New(2, 27), 7*time.Second)
			l.ReleaseHeld(8 * time.Second)
			if got := l.Endpoints(); len(got) != 1 || got[0].Leaving {
				t.Errorf("got %v after the grace time, want the endpoint that is listed still", got)
			}
		})
	}
}

// What shows that an endpoint runs, or leaves, must count at once.
func TestNewEntryOfRestoredStoreIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		read, written lister.Entry
		want          []lister.Endpoint
	}{
		"another start":        {read: entryOf(2, 20, 9, false), want: []lister.Endpoint{entryOf(0, 0, 9, false).Endpoint}},
		"written again":        {read: entryOf(2, 20, 7, false), written: entryOf(2, 26, 7, false), want: []lister.Endpoint{entryOf(0, 0, 7, false).Endpoint}},
		"leaving again":        {read: entryOf(2, 20, 7, false), written: entryOf(2, 26, 7, true), want: []lister.Endpoint{entryOf(0, 0, 7, true).Endpoint}},
		"read when it leaves":  {read: entryOf(2, 20, 7, true), want: []lister.Endpoint{entryOf(0, 0, 7, true).Endpoint}},
		"removed before a due": {read: entryOf(2, 20, 7, false), written: lister.Entry{Key: "a", Revision: revision.New(2, 26), Removed: true}, want: []lister.Endpoint{}},
	} {
		t.Run(name, func(t *testing.T) {
			l := lister.New(options)
			l.Replace([]lister.Entry{entryOf(1, 20, 7, false)}, rev(22), 0)
			l.Apply(lister.Entry{Key: "a", Revision: rev(40), Removed: true}, time.Second)
			l.Replace([]lister.Entry{c.read}, revision.New(2, 25), 3*time.Second)
			if c.written.Key != "" {
				l.Apply(c.written, 3*time.Second)
			}
			if diff := cmp.Diff(c.want, l.Endpoints()); diff != "" {
				t.Errorf("endpoints (-want +got):\n%s", diff)
			}
			l.ReleaseHeld(time.Minute)
			if diff := cmp.Diff(c.want, l.Endpoints()); diff != "" {
				t.Errorf("endpoints after the grace time (-want +got):\n%s", diff)
			}
		})
	}
}

// Most gateways learn of new endpoints from peers. An endpoint of the seconds that a drill loses must be kept until it can have
// written its entry again, also by a gateway that never read it from the store.
func TestEndpointToldByPeerIsDroppedByRestore(t *testing.T) {
	for name, c := range map[string]struct {
		written bool
		want    int
	}{"written again": {written: true, want: 1}, "not written again": {want: 0}} {
		t.Run(name, func(t *testing.T) {
			l := lister.New(options)
			l.Replace(nil, rev(22), 0)
			l.Apply(entryOf(1, 40, 7, false), time.Second)
			l.Replace(nil, revision.New(2, 25), 3*time.Second)
			l.ReleaseHeld(4 * time.Second)
			if len(l.Endpoints()) != 1 {
				t.Error("got no endpoint within the grace time, want it kept")
			}
			if c.written {
				l.Apply(entryOf(2, 26, 7, false), 4*time.Second)
			}
			l.ReleaseHeld(5 * time.Second)
			if got := l.Endpoints(); len(got) != c.want {
				t.Errorf("got %v after the grace time, want %d endpoints", got, c.want)
			}
		})
	}
}

// Entries that are held must not outlive a further restore.
func TestHeldEntryIsAppliedAfterFurtherRestore(t *testing.T) {
	l := lister.New(options)
	l.Replace([]lister.Entry{entryOf(1, 20, 7, false)}, rev(22), 0)
	l.Apply(lister.Entry{Key: "a", Revision: rev(40), Removed: true}, time.Second)
	l.Replace([]lister.Entry{entryOf(2, 20, 7, false)}, revision.New(2, 25), 2*time.Second)
	l.Replace(nil, revision.New(3, 19), 3*time.Second)
	l.ReleaseHeld(time.Minute)
	if got, held := l.Endpoints(), l.HeldKeys(); len(got) != 0 || len(held) != 0 {
		t.Errorf("got endpoints %v and held entries %v, want none", got, held)
	}
}
