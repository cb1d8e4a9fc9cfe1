package executor

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// TestReservationsOfDisconnectedGatewayAreFreed guards against slots and memory that stay reserved for a gateway that
// has disconnected. It reserves for two gateways and disconnects one.
func TestReservationsOfDisconnectedGatewayAreFreed(t *testing.T) {
	e := New(Options{DecodeSlots: 4, MemoryPieces: 8, ReservationTimeout: time.Hour}, http.DefaultClient)
	disconnected, connected := &fleet.Peer{Name: "gw-1", Incarnation: "1"}, &fleet.Peer{Name: "gw-2", Incarnation: "1"}
	for i, p := range []*fleet.Peer{disconnected, disconnected, connected} {
		r := fleet.ReserveRequest{Attempt: fleet.Attempt{RequestID: uint64(i)}, Pieces: 2}
		if a := e.Reserve(p, r); a.Outcome != fleet.OutcomeOK {
			t.Fatalf("reservation %d: got outcome %s, want ok", i, a.Outcome)
		}
	}
	e.CancelPeerWork(disconnected)
	if l := e.Load(); l.UsedSlots != 1 || l.FreePieces != 6 {
		t.Errorf("got load %+v, want one reservation of two pieces (6 pieces free)", l)
	}
}

// TestReleaseCoversEarlierAttempts guards against a slot that stays reserved for an earlier attempt of a request. It
// reserves for attempt 1 and releases attempt 3.
func TestReleaseCoversEarlierAttempts(t *testing.T) {
	e := New(Options{DecodeSlots: 4, MemoryPieces: 8, ReservationTimeout: time.Hour}, http.DefaultClient)
	p := &fleet.Peer{Name: "gw-1"}
	e.Reserve(p, fleet.ReserveRequest{Attempt: fleet.Attempt{RequestID: 1, Attempt: 1}, Pieces: 2})
	e.Release(p, fleet.Attempt{RequestID: 1, Attempt: 3})
	if l := e.Load(); l.UsedSlots != 0 || l.FreePieces != 8 {
		t.Errorf("got load %+v, want no reservation (8 pieces free)", l)
	}
}

// TestRequestIsBlamedForCrashOfAnother guards against crashes that count against a request which was not running: its
// engine was down already, or only the connection to the gateway broke.
func TestRequestIsBlamedForCrashOfAnother(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	e := New(Options{
		EngineURL: "http://" + closed.Addr().String(), DecodeSlots: 4, MemoryPieces: 8, ReservationTimeout: time.Hour,
	}, http.DefaultClient)
	r := fleet.StageRequest{Attempt: fleet.Attempt{RequestID: 1}}
	if got := e.Prefill(context.Background(), &fleet.Peer{Name: "gw-1"}, r).Outcome; got != fleet.OutcomeEndpointUnreachable {
		t.Errorf("got outcome %s of a prefill at an engine that is down, want %s", got, fleet.OutcomeEndpointUnreachable)
	}
	for _, c := range []struct {
		err  error
		want fleet.Outcome
	}{
		{GatewayError{Cause: io.ErrClosedPipe}, fleet.OutcomeAttemptLost},
		{errors.WithStack(StatusError{Status: http.StatusInternalServerError}), fleet.OutcomeAttemptLost},
		{errors.Wrap(io.ErrUnexpectedEOF, "read decode stream"), fleet.OutcomeEndpointCrashed},
	} {
		if got := outcomeOf(context.Background(), c.err); got != c.want {
			t.Errorf("%v: got outcome %s, want %s", c.err, got, c.want)
		}
	}
}
