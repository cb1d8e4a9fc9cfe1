package lister_test

import (
	"testing"
	"time"

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
