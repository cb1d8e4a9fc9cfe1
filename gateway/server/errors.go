package server

import (
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/api/caller/callerapi"
)

// Refusal is an error answer to a caller. It says whether any part of the request ran.
type Refusal struct {
	// Status is the HTTP status.
	Status  int
	Type    string
	Code    string
	Message string
	// Run says whether the request ran, did not run, or may have run.
	Run callerapi.Run
	// RetryAfter is how long the caller should wait before it tries again; zero where a retry does not help.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}

// The types of refusals, as callers see them.
const (
	typeInvalid  = "invalid_request_error"
	typeAuth     = "authentication_error"
	typeDenied   = "permission_error"
	typeLimit    = "rate_limit_error"
	typeOverload = "overloaded_error"
	typeFailed   = "api_error"
)

// invalid returns the refusal of a request that has an error and did not run.
func invalid(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Type: typeInvalid, Code: code, Message: message, Run: callerapi.RunNotRun}
}

// unauthorized returns the refusal of a request without a valid API key.
func unauthorized() *Refusal {
	return &Refusal{
		Status: http.StatusUnauthorized, Type: typeAuth, Code: "key", Message: "the key is missing, unknown or withdrawn",
		Run: callerapi.RunNotRun,
	}
}

// denied returns the refusal of a request for something that the caller's plan does not cover.
func denied(route string) *Refusal {
	return &Refusal{
		Status: http.StatusForbidden, Type: typeDenied, Code: "plan", Message: "the plan does not cover " + route,
		Run: callerapi.RunNotRun,
	}
}

// response converts a refusal to its HTTP response. Retry-After is rounded up to whole seconds.
func (r *Refusal) response() *callerapi.RefusalStatusCodeWithHeaders {
	out := &callerapi.RefusalStatusCodeWithHeaders{
		StatusCode: r.Status,
		XRun:       r.Run,
		Response: callerapi.ErrorBody{Error: callerapi.ErrorBodyError{
			Message: r.Message, Type: r.Type, Code: r.Code, Run: r.Run,
		}},
	}
	if r.RetryAfter > 0 {
		out.RetryAfter = callerapi.NewOptInt64(max(1, int64((r.RetryAfter+time.Second-1)/time.Second)))
	}
	return out
}
