// Package plain is a stand-in plain service that counts how often each call ran.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Execution is one run of a call.
type Execution struct {
	// Account is what the agent said; the caller's key never arrives here.
	Account string
	Call    string
	Body    string
	// Authorization is the header as it arrived; it must be empty.
	Authorization string
}

// Service runs calls and remembers each.
type Service struct {
	// Delay is how long a call runs.
	callDuration time.Duration

	mu         sync.Mutex
	executions []Execution
	// failuresLeft makes the next calls end without an answer after they ran.
	failuresLeft int
}

// New returns a service whose calls take delay.
func New(callDuration time.Duration) *Service {
	return &Service{callDuration: callDuration}
}

// Handler returns the HTTP face: POST and GET of /calls/NAME.
func (p *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /calls/{name}", p.serveCall)
	mux.HandleFunc("GET /calls/{name}", p.serveCall)
	return mux
}

// Executions returns all executions so far.
func (p *Service) Executions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Execution(nil), p.executions...)
}

// FailNext makes the next n calls run and then end without an answer.
func (p *Service) FailNext(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failuresLeft = n
}

func (p *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	abort, count := p.recordExecution(r, string(body))
	time.Sleep(p.callDuration)
	if abort {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s #%d", r.PathValue("name"), count)
}

func (p *Service) recordExecution(r *http.Request, body string) (abort bool, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executions = append(p.executions, Execution{
		Account: r.Header.Get("X-Account"), Call: r.Method + " " + r.PathValue("name"),
		Body: body, Authorization: r.Header.Get("Authorization"),
	})
	if p.failuresLeft > 0 && r.Method == http.MethodPost {
		p.failuresLeft--
		return true, len(p.executions)
	}
	return false, len(p.executions)
}
