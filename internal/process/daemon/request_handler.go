package daemon

import (
	"context"
	"net/http"

	"github.com/pistachiovane/pistachiovane/internal/proxy/forwarder"
)

// RequestHandler answers callers' requests. It is a type of its own because its method Serve would conflict with
// Daemon.Serve, which runs the whole process.
type RequestHandler struct {
	*Daemon
}

// Serve answers one request. The context must end when the caller disconnects.
func (h RequestHandler) Serve(ctx context.Context, w http.ResponseWriter, r *forwarder.Request) {
	h.forwarder.Serve(ctx, w, r)
}

// ReserveBody waits until there is memory for a request body of n bytes. See Forwarder.ReserveBody.
func (h RequestHandler) ReserveBody(ctx context.Context, n int64) (release func(), ok bool) {
	return h.forwarder.ReserveBody(ctx, n)
}

// RefuseBody refuses a request for whose body there is no memory.
func (h RequestHandler) RefuseBody(w http.ResponseWriter, id string, n int64) {
	h.forwarder.RefuseBody(w, id, n)
}
