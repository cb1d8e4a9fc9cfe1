package server

import (
	"net/http"
	"time"

	"github.com/pistachiovane/pistachiovane/api/caller/callerapi"
)

// Refusal is an answer that is not the caller's; it tells truthfully whether anything ran.
type Refusal struct {
	Status  int
	Type    string
	Code    string
	Message string
	Run     callerapi.Run
	// RetryAfter is zero when trying again is no use.
	RetryAfter time.Duration
}

// Error returns the code and the message.
func (r *Refusal) Error() string {
	return r.Code + ": " + r.Message
}

// The types of refusals.
const (
	typeInvalid  = "invalid_request_error"
	typeAuth     = "authentication_error"
	typeDenied   = "permission_error"
	typeLimit    = "rate_limit_error"
	typeOverload = "overloaded_error"
	typeFailed   = "api_error"
)

func invalid(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Type: typeInvalid, Code: code, Message: message, Run: callerapi.RunNotRun}
}

func unauthorized() *Refusal {
	return &Refusal{
		Status: http.StatusUnauthorized, Type: typeAuth, Code: "key", Message: "the key is missing, unknown or withdrawn",
		Run: callerapi.RunNotRun,
	}
}

func denied(what string) *Refusal {
	return &Refusal{
		Status: http.StatusForbidden, Type: typeDenied, Code: "plan", Message: "the plan does not cover " + what,
		Run: callerapi.RunNotRun,
	}
}

// response converts a refusal to its response.
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
