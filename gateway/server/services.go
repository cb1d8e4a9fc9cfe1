package server

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/pistachiovane/pistachiovane/api/caller/callerapi"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/tokenizer"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// CallService runs a call of a plain service at most once. It fails with a Refusal.
func (s *Server) CallService(
	ctx context.Context, req *callerapi.CallRequest, params callerapi.CallServiceParams,
) (*callerapi.CallAnswer, error) {
	body, err := req.MarshalJSON()
	if err != nil {
		return nil, invalid(http.StatusBadRequest, "request", "the body can't be encoded")
	}
	call := fleet.CallRequest{
		Service: params.Service, Name: params.Call, IdempotencyKey: params.IdempotencyKey.Or(""), Body: body,
	}
	return s.runCall(ctx, call)
}

// ReadService runs an idempotent read of a plain service. It fails with a Refusal.
func (s *Server) ReadService(ctx context.Context, params callerapi.ReadServiceParams) (*callerapi.CallAnswer, error) {
	return s.runCall(ctx, fleet.CallRequest{Service: params.Service, Name: params.Call, ReadOnly: true})
}

// ReadOpen runs a read of a route that needs no API key; it is not charged to any account. It fails with a Refusal.
func (s *Server) ReadOpen(ctx context.Context, params callerapi.ReadOpenParams) (*callerapi.CallAnswer, error) {
	active := s.activeCatalog()
	if active == nil {
		return nil, s.noConfiguration()
	}
	if _, ok := active.OpenRoute(params.Service); !ok {
		return nil, invalid(http.StatusNotFound, "route", "there is no such open route")
	}
	return s.forward(
		ctx, fleet.CallRequest{Service: params.Service, Name: params.Call, ReadOnly: true}, func(float64) {}, 0,
	)
}

// runCall admits a call of the request's caller, charges the cost of its route and forwards it.
func (s *Server) runCall(ctx context.Context, call fleet.CallRequest) (*callerapi.CallAnswer, error) {
	cost := 0.0
	c, settle, err := s.admit(ctx, catalog.RouteService, call.Service, maxInteractiveWait,
		func(r *catalog.Route) float64 { cost = r.CostTokens; return r.CostTokens })
	if err != nil {
		return nil, err
	}
	call.Account = c.account.Name
	call.BodyDigest = tokenizer.Digest(call.Service+"/"+call.Name, string(call.Body))
	return s.forward(ctx, call, settle, cost)
}

// forward runs a call at an endpoint of its service. It refunds the cost where the call certainly did not run, or
// where the answer is that of an earlier call with the same key.
func (s *Server) forward(
	ctx context.Context, call fleet.CallRequest, settle func(float64), cost float64,
) (*callerapi.CallAnswer, error) {
	if !s.services.HasEndpoint(call.Service) {
		settle(cost)
		return nil, invalid(http.StatusNotFound, "service", "no endpoint offers the service")
	}
	a := s.services.Call(ctx, call)
	if a.Outcome == fleet.CallDone {
		s.Stats.Answers.Add(1)
		answer := &callerapi.CallAnswer{Service: call.Service, Call: call.Name, Result: a.Result}
		if a.EndUnmarked {
			answer.EndUnmarked = callerapi.NewOptBool(true)
		}
		if a.Replayed {
			answer.Replayed = callerapi.NewOptBool(true)
			settle(cost)
		}
		return answer, nil
	}
	if a.Outcome == fleet.CallNotExecuted {
		settle(cost)
	}
	return nil, refusalOfCall(a.Outcome)
}

// refusalOfCall returns the refusal for a call without a result.
func refusalOfCall(o fleet.CallOutcome) *Refusal {
	r := &Refusal{Status: http.StatusServiceUnavailable, Type: typeFailed, Run: callerapi.RunUnknown}
	switch o {
	case fleet.CallNotExecuted:
		r.Type, r.Code, r.Run, r.RetryAfter = typeOverload, "unreachable", callerapi.RunNotRun, time.Second
		r.Message = "no endpoint could be reached; nothing ran"
	case fleet.CallRunning:
		r.Status, r.Code, r.RetryAfter = http.StatusConflict, "running", time.Second
		r.Message = "a call with this key is running"
	case fleet.CallConflict:
		r.Status, r.Type, r.Code, r.Run = http.StatusUnprocessableEntity, typeInvalid, "conflict", callerapi.RunNotRun
		r.Message = "the key was used with another body"
	default:
		r.Status, r.Code = http.StatusBadGateway, "outcome"
		r.Message = "the outcome is unknown; the call may have run"
	}
	return r
}

func newRequestID() string {
	return uuid.NewString()
}

func formatInt(v int64) string {
	return strconv.FormatInt(v, 10)
}
