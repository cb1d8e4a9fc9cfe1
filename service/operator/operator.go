// Package operator is the operator's side of a process: state dump, metrics and health.
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
	headerTimeout   = 5 * time.Second
	shutdownTimeout = time.Second
)

// Process is what an operator may see.
type Process interface {
	// State returns the present state; it holds no secrets.
	State() any
	// Ready tells whether the process takes work.
	Ready() bool
}

// Server serves an operator's requests.
type Server struct {
	listener   net.Listener
	httpServer *http.Server
}

// New returns a server on the listener; metrics may be nil.
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

// Serve answers until the context ends.
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
	return errors.Wrap(err, "serve operator")
}
