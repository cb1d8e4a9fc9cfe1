package agent

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// handler handles the requests of gateways and other agents.
type handler struct {
	agent *Agent
}

// Serve handles one request. It fails on params that can't be decoded and on unknown methods.
func (h *handler) Serve(ctx context.Context, p *fleet.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case fleet.MethodReserve:
		return fleet.DecodeAndServe(params, func(r fleet.ReserveRequest) any { return h.agent.executor.Reserve(p, r) })
	case fleet.MethodPrefill:
		return fleet.DecodeAndServe(params, func(w fleet.StageRequest) any { return h.agent.executor.Prefill(ctx, p, w) })
	case fleet.MethodDecode:
		return fleet.DecodeAndServe(params, func(w fleet.StageRequest) any { return h.agent.executor.Decode(ctx, p, w) })
	case fleet.MethodRelease:
		return fleet.DecodeAndServe(params, func(a fleet.Attempt) any { h.agent.executor.Release(p, a); return nil })
	case fleet.MethodCall:
		return fleet.DecodeAndServe(params, func(c fleet.CallRequest) any { return h.agent.invoker.Call(ctx, c) })
	case fleet.MethodMirror:
		return fleet.DecodeAndServe(params, func(m fleet.MirrorUpdate) any { return h.agent.invoker.HandleMirror(m) })
	case fleet.MethodOrder:
		return fleet.DecodeAndServe(params, func(o fleet.Order) any { return h.agent.executor.ForwardOrder(ctx, o) })
	default:
		return nil, errors.Errorf("unknown method %q", method)
	}
}

// PeerDisconnected cancels the work of a gateway whose connection has ended and frees its reservations.
func (h *handler) PeerDisconnected(p *fleet.Peer) {
	h.agent.executor.CancelPeerWork(p)
}
