// Package plain is a stand-in for a plain service. It records every execution of a call, so that a test can check how
// often and for which account a call ran.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Execution is one execution of a call.
type Execution struct {
	// Account is the client account in the header X-Account, which the agent sets.
	Account string
	// Call is the HTTP method and the name of the call, for example "POST pay".
	Call string
	Body string
	// Authorization is the value of the header Authorization. It must be empty: a caller's key must not reach a service.
	Authorization string
}

// Service executes calls and records them. It is safe for concurrent use.
type Service struct {
	// callDuration is how long the execution of a call takes.
	callDuration time.Duration

	// mu protects the fields below.
	mu         sync.Mutex
	executions []Execution
	// failuresLeft is how many of the next POST calls run but get no response.
	failuresLeft int
	// answer is the body of all answers, unless it is empty. It is sent without a length or chunks if unframed is set.
	answer   string
	unframed bool
	// afterAnswer, if not nil, is called after an answer has been written.
	afterAnswer func()
}

// New returns a service whose calls take callDuration each.
func New(callDuration time.Duration) *Service {
	return &Service{callDuration: callDuration}
}

// Handler returns the handler of POST and GET /calls/NAME. Its response contains the name of the call and the number of
// executions so far.
func (p *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /calls/{name}", p.serveCall)
	mux.HandleFunc("GET /calls/{name}", p.serveCall)
	return mux
}

// Executions returns a copy of all executions so far, oldest first.
func (p *Service) Executions() []Execution {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Execution(nil), p.executions...)
}

// FailNext makes the service run each of the next n POST calls and then close its connection without a response.
func (p *Service) FailNext(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failuresLeft = n
}

// SetAnswer sets the body of all answers, and whether they have neither a length nor chunks. afterAnswer, if not nil, is
// called after each of them, before its connection ends.
func (p *Service) SetAnswer(body string, unframed bool, afterAnswer func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.answer, p.unframed, p.afterAnswer = body, unframed, afterAnswer
}

// serveCall executes one call. A call whose body can't be read is not executed.
func (p *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	abort, executionCount := p.recordExecution(r, string(body))
	time.Sleep(p.callDuration)
	if abort {
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	answer, unframed, afterAnswer := p.answer, p.unframed, p.afterAnswer
	p.mu.Unlock()
	if answer == "" {
		answer = fmt.Sprintf("%s #%d", r.PathValue("name"), executionCount)
	}
	if unframed {
		// net/http then sends neither a length nor chunks.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = io.WriteString(w, answer)
	if afterAnswer != nil {
		afterAnswer()
	}
}

// recordExecution records a call and returns the number of executions so far; abort is set when the call must get no
// response.
func (p *Service) recordExecution(r *http.Request, body string) (abort bool, executionCount int) {
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
