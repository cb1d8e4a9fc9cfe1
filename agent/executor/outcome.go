package executor

import (
	"context"
	"net"
	"net/http"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// StatusError is a response of the engine with an HTTP status other than 2xx.
type StatusError struct {
	Status int
}

// Error returns the text of the HTTP status.
func (s StatusError) Error() string {
	return http.StatusText(s.Status)
}

// GatewayError is the error of sending tokens to the gateway.
type GatewayError struct {
	Cause error
}

// Error returns the message of the cause.
func (g GatewayError) Error() string {
	return "send tokens: " + g.Cause.Error()
}

// Unwrap returns the cause for errors.Is and errors.As.
func (g GatewayError) Unwrap() error {
	return g.Cause
}

// outcomeOf returns the outcome of work that failed. It is OutcomeAttemptLost if the engine responded with an error
// status, the work was cancelled or the gateway could not be reached, and OutcomeEndpointUnreachable if no connection to
// the engine could be opened, so that nothing ran. Any other error, such as a connection that ends early, counts as a
// crash of the engine.
func outcomeOf(ctx context.Context, err error) fleet.Outcome {
	var status StatusError
	var gateway GatewayError
	var op *net.OpError
	switch {
	case errors.As(err, &status), errors.As(err, &gateway), ctx.Err() != nil:
		return fleet.OutcomeAttemptLost
	case errors.As(err, &op) && op.Op == "dial":
		return fleet.OutcomeEndpointUnreachable
	default:
		return fleet.OutcomeEndpointCrashed
	}
}
