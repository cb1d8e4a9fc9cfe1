package executor

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/peer/repeater"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// Answers of an engine have no ID. A late copy of an earlier one was taken for the answer to the next prefill.
func TestLateCopyIsTakenForAnswerOfEngine(t *testing.T) {
	engine, err := repeater.New(func(_ *http.Request, n int) repeater.Answer {
		return repeater.Answer{Body: fmt.Sprintf(`{"handle":"k%d"}`, n)}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer engine.Close()
	e := New(Options{
		EngineURL: "http://" + engine.Address(), DecodeSlots: 4, MemoryPieces: 8, ReservationTimeout: time.Hour,
	}, &http.Client{Transport: &http.Transport{}})
	for n := range 6 {
		r := fleet.StageRequest{Attempt: fleet.Attempt{RequestID: uint64(n)}}
		got := e.Prefill(context.Background(), &fleet.Peer{Name: "gw-1"}, r)
		if want := fmt.Sprintf("k%d", n); got.KVHandle != want {
			t.Errorf("prefill %d: got %+v, want the KV cache %s", n, got, want)
		}
	}
}
