// Package operator serves the HTTP interface for operators of a process: GET /dump for its state as JSON, GET /metrics,
// and the health checks GET /live and GET /ready.
package operator

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	headerTimeout = 5 * time.Second
	// shutdownTimeout is the time that open requests have to end when the server stops.
	shutdownTimeout = time.Second
)

// Process is the process that the server reports on. Its methods must be safe for concurrent use.
type Process interface {
	// State returns a snapshot of the state, which is encoded as JSON. It must not contain secrets.
	State() any
	// Ready reports whether the process accepts new work.
	Ready() bool
}

// Server is the HTTP server for operators.
type Server struct {
	listener   net.Listener
	httpServer *http.Server
}

// New returns a server on the listener. A nil metrics handler means that GET /metrics does not exist.
func New(l net.Listener, p Process, metrics http.Handler) *Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(p.State())
	})
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	if metrics != nil {
		mux.Handle("GET /metrics", metrics)
	}
	return &Server{listener: l, httpServer: &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}}
}

// Serve handles requests until the context ends and returns the context's error. Open requests then have at most
// shutdownTimeout to end, for which Serve does not wait.
func (o *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = o.httpServer.Shutdown(ctx)
	})
	defer stop()
	err := o.httpServer.Serve(o.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return errors.Wrap(err, "serve operator interface")
}
