package agent

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// handler answers the messages of gateways and other agents.
type handler struct {
	agent *Agent
}

// Serve answers one message. It fails on parameters that can't be decoded and on unknown methods.
func (h *handler) Serve(ctx context.Context, p *fleet.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case fleet.MethodReserve:
		return fleet.Handle(params, func(r fleet.Reservation) any { return h.agent.executor.Reserve(p, r) })
	case fleet.MethodPrefill:
		return fleet.Handle(params, func(w fleet.Work) any { return h.agent.executor.Prefill(ctx, p, w) })
	case fleet.MethodDecode:
		return fleet.Handle(params, func(w fleet.Work) any { return h.agent.executor.Decode(ctx, p, w) })
	case fleet.MethodRelease:
		return fleet.Handle(params, func(a fleet.Attempt) any { h.agent.executor.Release(p, a); return nil })
	case fleet.MethodCall:
		return fleet.Handle(params, func(c fleet.Call) any { return h.agent.invoker.Call(ctx, c) })
	case fleet.MethodMirror:
		return fleet.Handle(params, func(m fleet.Mirror) any { return h.agent.invoker.HandleMirror(m) })
	case fleet.MethodOrder:
		return fleet.Handle(params, func(o fleet.Order) any { return h.agent.executor.ForwardOrder(ctx, o) })
	default:
		return nil, errors.Errorf("unknown method %q", method)
	}
}

// Gone cancels the work of a gateway whose connection has ended and frees its reservations.
func (h *handler) Gone(p *fleet.Peer) {
	h.agent.executor.CancelPeerWork(p)
}
