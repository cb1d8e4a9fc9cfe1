package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// response is the response that a caller received. err is the error of the request or of reading the body. unframed is set
// if it had neither a length nor chunks.
type response struct {
	status   int
	header   http.Header
	body     string
	err      error
	unframed bool
}

// claimsComplete reports whether a caller takes the response for a whole one that its sender marked as such.
func (r response) claimsComplete() bool {
	return r.err == nil && r.status == http.StatusOK && !r.unframed
}

// newRequest returns a request with a valid key and a unique ID. header holds names and values of further header fields
// in turn.
func (env *testEnv) newRequest(method, path, body string, header ...string) *http.Request {
	env.t.Helper()
	env.lastRequestID++
	r := env.testGateway.newRequest(env.t, fmt.Sprintf("id%d", env.lastRequestID), path, body, header...)
	r.Method = method
	return r
}

// newRequest returns a POST request to the gateway with an ID and further header fields, whose caller waits for 3 s. It may be
// called by several goroutines.
func (g *testGateway) newRequest(t *testing.T, id, path, body string, header ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, g.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Error(err)
	}
	r.Host = "h"
	r.Header.Set("X-Pistachiovane-Attempt-Id", id)
	r.Header.Set("X-Pistachiovane-Credential", "key")
	r.Header.Set("X-Pistachiovane-Time-Budget-Ms", "3000")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// send sends a request and reads the whole response.
func (env *testEnv) send(r *http.Request) response {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{
		status: resp.StatusCode, header: resp.Header, body: string(b), err: err,
		unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
}

// sendWithoutBody sends a request and reads the body of the response without keeping it.
func (env *testEnv) sendWithoutBody(r *http.Request) response {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return response{
		status: resp.StatusCode, header: resp.Header, err: err,
		unframed: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0,
	}
}

// call sends a request with a short body and the given header fields.
func (env *testEnv) call(method, path string, header ...string) response {
	env.t.Helper()
	return env.send(env.newRequest(method, path, "body", header...))
}

// generate sends a generation with 100 prompt tokens.
func (env *testEnv) generate(path string) response {
	env.t.Helper()
	return env.generateWithBudget(path, "3000")
}

// generateWithBudget sends a generation with 100 prompt tokens whose caller waits for the given number of ms.
func (env *testEnv) generateWithBudget(path, budgetMS string) response {
	env.t.Helper()
	return env.call(http.MethodPost, path, "X-Pistachiovane-Token-Counts", "100,100", "X-Pistachiovane-Model", "m",
		"X-Pistachiovane-Time-Budget-Ms", budgetMS)
}
