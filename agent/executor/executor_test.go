package executor

import (
	"net/http"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// TestReservationsOfDisconnectedGatewayAreFreed reserves for two gateways and lets one go.
func TestReservationsOfDisconnectedGatewayAreFreed(t *testing.T) {
	e := New(Options{DecodeSlots: 4, MemoryPieces: 8, ReservationTimeout: time.Hour}, http.DefaultClient)
	disconnected, connected := &fleet.Peer{Name: "gw-1", Incarnation: "1"}, &fleet.Peer{Name: "gw-2", Incarnation: "1"}
	for i, p := range []*fleet.Peer{disconnected, disconnected, connected} {
		r := fleet.Reservation{Attempt: fleet.Attempt{Request: uint64(i)}, Pieces: 2}
		if a := e.Reserve(p, r); a.Outcome != fleet.OutcomeOK {
			t.Fatalf("reservation %d: %s", i, a.Outcome)
		}
	}
	e.CancelPeerWork(disconnected)
	if l := e.Load(); l.UsedSlots != 1 || l.FreePieces != 6 {
		t.Errorf("load %+v, want one reservation of two pieces", l)
	}
}

// TestReleaseCoversEarlierAttempts releases a request whose earlier attempt still holds a slot.
func TestReleaseCoversEarlierAttempts(t *testing.T) {
	e := New(Options{DecodeSlots: 4, MemoryPieces: 8, ReservationTimeout: time.Hour}, http.DefaultClient)
	p := &fleet.Peer{Name: "gw-1"}
	e.Reserve(p, fleet.Reservation{Attempt: fleet.Attempt{Request: 1, Attempt: 1}, Pieces: 2})
	e.Release(p, fleet.Attempt{Request: 1, Attempt: 3})
	if l := e.Load(); l.UsedSlots != 0 || l.FreePieces != 8 {
		t.Errorf("load %+v, want nothing held", l)
	}
}
