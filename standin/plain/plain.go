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
	delay time.Duration

	mu   sync.Mutex
	runs []Execution
	// fail makes the next calls end without an answer after they ran.
	fail int
}

// New returns a service whose calls take delay.
func New(delay time.Duration) *Service {
	return &Service{delay: delay}
}

// Handler returns the HTTP face: POST and GET of /calls/NAME.
func (p *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /calls/{name}", p.serve)
	mux.HandleFunc("GET /calls/{name}", p.serve)
	return mux
}

// Executions returns all executions so far.
func (p *Service) Executions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Execution(nil), p.runs...)
}

// FailNext makes the next n calls run and then end without an answer.
func (p *Service) FailNext(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fail = n
}

func (p *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	fail, count := p.record(r, string(body))
	time.Sleep(p.delay)
	if fail {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s #%d", r.PathValue("name"), count)
}

func (p *Service) record(r *http.Request, body string) (fail bool, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.runs = append(p.runs, Execution{
		Account: r.Header.Get("X-Account"), Call: r.Method + " " + r.PathValue("name"),
		Body: body, Authorization: r.Header.Get("Authorization"),
	})
	if p.fail > 0 && r.Method == http.MethodPost {
		p.fail--
		return true, len(p.runs)
	}
	return false, len(p.runs)
}
