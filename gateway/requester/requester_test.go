package requester

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/gateway/connector"
	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// failingAgent is an agent that fails every message after it has received it, and counts the calls.
type failingAgent struct{ calls atomic.Int64 }

func (a *failingAgent) Serve(_ context.Context, _ *fleet.Peer, method string, _ json.RawMessage) (any, error) {
	if method == fleet.MethodCall {
		a.calls.Add(1)
	}
	return nil, errors.New("failed after the call was received")
}

func (a *failingAgent) PeerDisconnected(*fleet.Peer) {}

func newCredential(t *testing.T, name string) *credential.Credential {
	t.Helper()
	c, err := credential.New([]byte("secret of this test"), name, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCallIsNotRetriedAfterItReachedAnAgent guards against a non-idempotent call that runs twice. It sends a call
// without a key to agents that fail after they received it.
func TestCallIsNotRetriedAfterItReachedAnAgent(t *testing.T) {
	agent := &failingAgent{}
	c := connector.New("1", newCredential(t, "gw"), func(fleet.TokenBatch) {})
	defer c.Close()
	r := New(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var endpoints []endpoint.Endpoint
	for _, id := range []string{"a", "b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _ = fleet.NewServer(listener, newCredential(t, id), agent).Serve(ctx) }()
		endpoints = append(endpoints,
			endpoint.Endpoint{ID: id, Address: listener.Addr().String(), Domain: id, Role: endpoint.Plain, Model: "bookings"})
		c.SetAddress(id, listener.Addr().String())
	}
	r.UpdateEndpoints(endpoints)
	if got := r.Call(ctx, fleet.CallRequest{Service: "bookings", Name: "pay"}); got.Outcome != fleet.CallUnknown {
		t.Errorf("got outcome %s, want %s", got.Outcome, fleet.CallUnknown)
	}
	if n := agent.calls.Load(); n != 1 {
		t.Errorf("the agents received the call %d times, want 1", n)
	}
}

// TestUnreachableAgentIsReportedAsNotRun guards against a call that is reported as possibly run although it was never
// sent. The only listed agent has no known address.
func TestUnreachableAgentIsReportedAsNotRun(t *testing.T) {
	c := connector.New("1", newCredential(t, "gw"), func(fleet.TokenBatch) {})
	defer c.Close()
	r := New(c)
	r.UpdateEndpoints([]endpoint.Endpoint{{ID: "gone", Role: endpoint.Plain, Model: "bookings"}})
	if got := r.Call(context.Background(),
		fleet.CallRequest{Service: "bookings", Name: "pay", IdempotencyKey: "k"}); got.Outcome != fleet.CallNotExecuted {
		t.Errorf("got outcome %s, want %s", got.Outcome, fleet.CallNotExecuted)
	}
}
