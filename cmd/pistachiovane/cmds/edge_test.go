package cmds

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// configTemplate is the operator's configuration. Its arguments are the version and the API keys of the account.
const configTemplate = `{"version":%d,"routes":[
 {"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":12000,"target_latency_ms":900,"service":"llm","max_attempts":3,"allow_resume":true},
 {"name":"note","host":"h","prefix":"/note/","kind":"streaming","timeout_ms":4000,"target_latency_ms":900,"service":"llm","max_attempts":1},
 {"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":1},
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":2},
 {"name":"open","host":"h","prefix":"/open/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":2,"skip_auth":true}],
 "services":[{"name":"llm","engine_kind":{"slot_count":4,"kv_capacity":100000,"kv_hold_s":0.5}},{"name":"desk"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"acc","api_keys":[%s],"plain_tokens":200,"rate_per_s":10000000,"burst":10000000}]}`

// close stops the gateways and the store.
func (env *testEnv) close() {
	for _, g := range env.gateways {
		g.cancel()
		<-g.stopped
		g.server.CloseClientConnections()
		g.server.Close()
	}
	env.store.Close()
}

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
	r, err := http.NewRequestWithContext(context.Background(), method, env.server.URL+path, strings.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	env.lastRequestID++
	r.Host = "h"
	r.Header.Set("X-Pistachiovane-Attempt-Id", fmt.Sprintf("id%d", env.lastRequestID))
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

// serviceRuns returns the number of requests that the two endpoints of the plain service have run.
func (env *testEnv) serviceRuns() int {
	return len(env.serviceEndpoints[0].Runs()) + len(env.serviceEndpoints[1].Runs())
}

// injectFaults makes each endpoint of the plain service handle its next requests with the given faults, one fault for
// each request.
func (env *testEnv) injectFaults(f ...standin.Fault) {
	for _, e := range env.serviceEndpoints {
		e.InjectFaults(f...)
	}
}

// completeStream is the body of a stream that a simulated decode endpoint completes.
const completeStream = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"

// A generation must run once at a prefill endpoint and once at a decode endpoint, and the caller's key must not reach
// an endpoint.
func TestEdgeStreamsGeneration(t *testing.T) {
	env := newTestEnv(t)
	resp := env.generate("/draft/1?q")
	if resp.status != 200 || resp.body != completeStream || resp.header.Get("X-Pistachiovane-Server-Seal") == "" {
		t.Fatalf("got response %+v, want the complete stream; log:\n%s", resp, env.log.String())
	}
	runs := append(env.modelEndpoints["d1"].Runs(), env.modelEndpoints["d2"].Runs()...)
	if len(env.modelEndpoints["p1"].Runs()) != 1 || len(runs) != 1 {
		t.Fatalf("got %d prefill and %d decode runs, want 1 and 1", len(env.modelEndpoints["p1"].Runs()), len(runs))
	}
	h := runs[0].Header
	if h.Get("X-Pistachiovane-Credential") != "" || runs[0].Account != "acc" || h.Get("X-Pistachiovane-Kv-Hold") != "h1" ||
		runs[0].Body != "body" {
		t.Errorf("the decode endpoint received header %v, body %q", h, runs[0].Body)
	}
	if !strings.HasSuffix(h.Get("X-Pistachiovane-Kv-Source"), "/k1") {
		t.Errorf("got KV cache source %q, want one that ends in /k1", h.Get("X-Pistachiovane-Kv-Source"))
	}
}

// A stream that breaks at one decode endpoint must be resumed at another without a lost or repeated event, if its route
// allows it.
func TestEdgeResumesBrokenStream(t *testing.T) {
	env := newTestEnv(t)
	env.modelEndpoints["d1"].InjectFaults(standin.TruncatedResponse)
	env.modelEndpoints["d2"].InjectFaults(standin.TruncatedResponse)
	if resp := env.generate("/draft/1"); resp.err != nil || resp.body != completeStream {
		t.Fatalf("got response %+v, want the complete stream; log:\n%s", resp, env.log.String())
	}
}

// A broken stream was resumed at an endpoint that answered with something other than a stream, and the gateway passed
// this answer on as the next event (soak test, seed 1040).
func TestEdgeResumesStreamOnlyWithEvents(t *testing.T) {
	env := newTestEnv(t)
	env.modelEndpoints["d1"].InjectFaults(standin.TruncatedResponse, standin.NoContentLength, standin.NoContentLength)
	env.modelEndpoints["d2"].InjectFaults(standin.TruncatedResponse, standin.NoContentLength, standin.NoContentLength)
	if resp := env.generate("/draft/1"); strings.Contains(resp.body, "answer of") {
		t.Errorf("got response %+v, want no bytes of an answer that is not a stream", resp)
	}
}

// A broken stream on a route that does not allow resuming must look broken to the caller and must not run again.
func TestEdgeAbortsBrokenStreamThatMayNotBeResumed(t *testing.T) {
	env := newTestEnv(t)
	env.modelEndpoints["d1"].InjectFaults(standin.TruncatedResponse)
	env.modelEndpoints["d2"].InjectFaults(standin.TruncatedResponse)
	resp := env.generate("/note/1")
	if resp.err == nil {
		t.Fatalf("got response %+v without an error, want an error after the broken stream", resp)
	}
	if resp.body != "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n" {
		t.Errorf("got body %q, want the two complete events", resp.body)
	}
	if n := len(env.modelEndpoints["d1"].Runs()) + len(env.modelEndpoints["d2"].Runs()); n != 1 {
		t.Errorf("the request ran %d times, want 1", n)
	}
}

// Some prefill endpoints drop a KV cache right after the prefill, so that the decode endpoint refuses the request
// although memory is reserved there (seen in the benchmark, handle_short). Such a request was refused after four
// attempts, but must be served.
func TestEdgeRepeatsPrefillWhenKVCacheIsLost(t *testing.T) {
	env := newTestEnv(t)
	env.modelEndpoints["d1"].InjectFaults(standin.NoCapacity, standin.NoCapacity)
	env.modelEndpoints["d2"].InjectFaults(standin.NoCapacity, standin.NoCapacity)
	if resp := env.generate("/note/1"); resp.status != 200 || resp.body != completeStream {
		t.Errorf("got status %d and body %q, want 200 and the complete stream; log:\n%s",
			resp.status, resp.body, env.log.String())
	}
}

// An endpoint that resets every connection immediately has no load and would attract all requests (seen in the
// benchmark, srv_flap with added endpoints: 250 bookings got status 502 within five seconds).
func TestEdgeAvoidsEndpointThatResetsConnections(t *testing.T) {
	env := newTestEnv(t)
	resets := make([]standin.Fault, 40)
	for i := range resets {
		resets[i] = standin.ConnectionReset
	}
	env.serviceEndpoints[0].InjectFaults(resets...)
	env.serviceEndpoints[1].ServiceTime = 300 * time.Millisecond
	requests := make([]*http.Request, 20)
	for i := range requests {
		requests[i] = env.newRequest(http.MethodPost, "/book/1", "body")
	}
	got := make(chan int, len(requests))
	for _, r := range requests {
		go func() { got <- env.send(r).status }()
		time.Sleep(10 * time.Millisecond)
	}
	failures := 0
	for range requests {
		if <-got != 200 {
			failures++
		}
	}
	if failures > 2 {
		t.Errorf("%d of %d bookings failed, want at most 2", failures, len(requests))
	}
}

// A failure of both endpoints must give the right status, and a booking, which may run only once, must not be retried
// when it may have run. For each fault of the endpoints, the test compares the status of a read, the status of a
// booking and the number of times that the booking ran.
func TestEdgeStatusAfterEndpointFailure(t *testing.T) {
	for _, c := range []struct {
		name       string
		fault      standin.Fault
		read, book int
		bookRuns   int
	}{
		{"full", standin.NoCapacity, 503, 503, 0},
		{"reset", standin.ConnectionReset, 502, 502, 1},
		{"cut", standin.TruncatedResponse, 502, 502, 1},
		{"unsealed", standin.MissingSeal, 502, 502, 1},
		{"encoded", standin.ContentEncoded, 502, 502, 1},
		{"failing", standin.ServerError, 500, 500, 1},
		{"stray", standin.MismatchedResponse, 200, 200, 1},
		{"extra", standin.ExtraResponse, 200, 200, 1},
		{"unframed", standin.NoContentLength, 200, 200, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.injectFaults(c.fault, c.fault)
			if resp := env.call(http.MethodGet, "/read/1"); resp.status != c.read {
				t.Errorf("the read got %+v, want status %d", resp, c.read)
			}
			env = newTestEnv(t)
			env.injectFaults(c.fault, c.fault)
			resp := env.call(http.MethodPost, "/book/1")
			if resp.status != c.book || env.serviceRuns() != c.bookRuns {
				t.Errorf("the booking got %+v and ran %d times, want status %d and %d runs",
					resp, env.serviceRuns(), c.book, c.bookRuns)
			}
			if resp.status == 503 && resp.header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After header")
			}
		})
	}
}

// A read is retried at the other endpoint. It must fail when both endpoints fail, and succeed afterwards.
func TestEdgeReadFailsOnlyAfterAllAttempts(t *testing.T) {
	env := newTestEnv(t)
	env.injectFaults(standin.ConnectionReset)
	if resp := env.call(http.MethodGet, "/read/1"); resp.status != 502 {
		t.Errorf("a read that failed at both endpoints got status %d, want 502", resp.status)
	}
	if resp := env.call(http.MethodGet, "/read/1"); resp.status != 200 {
		t.Errorf("a read at healthy endpoints got status %d, want 200", resp.status)
	}
}

// Requests without a route or a valid key, and requests that are too large, must be refused and must not reach an
// endpoint.
func TestEdgeRefusesUnauthorizedAndOversizedRequests(t *testing.T) {
	env := newTestEnv(t)
	for _, c := range []struct {
		path, key string
		want      int
	}{
		{"/none/1", "key", 404},
		{"/read/1", "wrong", 401},
		{"/read/1", "", 401},
		{"/open/1", "", 200},
	} {
		if resp := env.call(http.MethodGet, c.path, "X-Pistachiovane-Credential", c.key); resp.status != c.want {
			t.Errorf("%s with key %q got status %d, want %d", c.path, c.key, resp.status, c.want)
		}
	}
	if resp := env.call(http.MethodGet, "/read/1", "X-Big", strings.Repeat("x", 20000)); resp.status != 431 {
		t.Errorf("an oversized header got status %d, want 431", resp.status)
	}
	if resp := env.send(env.newRequest(http.MethodPost, "/book/1", strings.Repeat("x", 100001))); resp.status != 413 {
		t.Errorf("an oversized body got status %d, want 413", resp.status)
	}
	if n := env.serviceRuns(); n != 1 {
		t.Errorf("%d requests reached an endpoint, want 1, the request on the open route", n)
	}
}

// A gateway that can't reach the store does not learn of withdrawn keys. It must refuse all keys when its configuration
// is no longer confirmed, and accept valid keys again after the outage.
func TestEdgeRefusesWithdrawnKeysDuringStoreOutage(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig(4, `"new"`)
	env.waitFor(func() bool { return env.call(http.MethodGet, "/read/1").status == 401 },
		"the withdrawn key should be refused with 401")
	env.store.SetDown(true)
	resp := env.call(http.MethodGet, "/read/1", "X-Pistachiovane-Credential", "new")
	if resp.status != 200 {
		t.Errorf("right after the start of the store outage a valid key got status %d, want 200", resp.status)
	}
	env.waitFor(func() bool {
		return env.call(http.MethodGet, "/read/1", "X-Pistachiovane-Credential", "new").status == 503
	}, "keys that may have been withdrawn should be refused with 503")
	if env.daemon.Ready() {
		t.Error("the gateway reports that it is ready, want not ready while it can't check keys")
	}
	env.store.SetDown(false)
	env.waitFor(func() bool {
		return env.call(http.MethodGet, "/read/1", "X-Pistachiovane-Credential", "new").status == 200
	}, "the valid key should be accepted again")
}

// An older configuration that the store returns after a compaction must not replace the active configuration.
func TestEdgeIgnoresOlderConfiguration(t *testing.T) {
	env := newTestEnv(t)
	env.putConfig(9, `"key"`)
	env.waitFor(func() bool { return strings.Contains(env.log.String(), `"version":9`) },
		"version 9 should be the active configuration")
	env.putConfig(8, `"old"`)
	env.store.Compact()
	time.Sleep(300 * time.Millisecond)
	if resp := env.call(http.MethodGet, "/read/1"); resp.status != 200 {
		t.Errorf("after an older version was stored, a valid key got status %d, want 200", resp.status)
	}
}

// An endpoint whose entry says that it is draining must get no new requests. An entry that can't be decoded must not
// prevent this.
func TestEdgeSendsNothingToDrainingEndpoint(t *testing.T) {
	env := newTestEnv(t)
	env.store.Put(env.serviceEndpoints[0].StoreEntry("draining"))
	env.store.Put("servers/bad", []byte("not an entry"))
	env.waitFor(func() bool { return strings.Contains(env.log.String(), `"leaving":true`) },
		"the gateway should know that the endpoint is draining")
	before := len(env.serviceEndpoints[0].Runs())
	for range 5 {
		env.call(http.MethodGet, "/read/1")
	}
	if n := len(env.serviceEndpoints[0].Runs()); n != before {
		t.Errorf("a draining endpoint got %d requests, want none", n-before)
	}
}

// A request with contradictory or malformed framing headers could carry a second request, which would reach an endpoint
// without a check of its key.
func TestEdgeNeverRunsSmuggledRequest(t *testing.T) {
	env := newTestEnv(t)
	for _, raw := range []string{
		"POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Pistachiovane-Attempt-Id: outer\r\nX-Pistachiovane-Credential: key\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"0\r\n\r\nPOST /book/2 HTTP/1.1\r\nHost: h\r\nX-Pistachiovane-Attempt-Id: inner\r\n\r\n",
		"POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
		"POST /book/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\nbody",
		"GET /read/1 HTTP/1.1\r\nHost : h\r\n\r\n",
	} {
		c, err := net.Dial("tcp", env.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, raw); err != nil {
			t.Fatal(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		_, _ = bufio.NewReader(c).ReadString(0)
		_ = c.Close()
	}
	for _, e := range env.serviceEndpoints {
		for _, r := range e.Runs() {
			if r.RequestID == "inner" && r.Account != "acc" {
				t.Errorf("the smuggled request ran without the account: %+v", r)
			}
			if strings.Contains(r.Body, "POST") {
				t.Errorf("an endpoint received a smuggled request in body %q", r.Body)
			}
		}
	}
}

// A caller that never completes its body would occupy the gateway forever. It must get status 408 and nothing must run.
func TestEdgeTimesOutSlowBody(t *testing.T) {
	env := newTestEnv(t)
	c, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c,
		"POST /book/1 HTTP/1.1\r\nHost: h\r\nX-Pistachiovane-Credential: key\r\nContent-Length: 10\r\n\r\nhalf")
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || !strings.Contains(line, " 408 ") || env.serviceRuns() != 0 {
		t.Errorf("got status line %q, error %v, want status 408, no error and no runs", line, err)
	}
}

// The work for a caller that disconnected must be cancelled at the endpoint, or it wastes the endpoint's capacity.
func TestEdgeCancelsWorkOfDisconnectedCaller(t *testing.T) {
	env := newTestEnv(t)
	for _, id := range []string{"d1", "d2"} {
		env.modelEndpoints[id].EventsPerStream, env.modelEndpoints[id].EventInterval = 1000, 5*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	r := env.newRequest(http.MethodPost, "/note/1", "body", "X-Pistachiovane-Token-Counts", "100,100").WithContext(ctx)
	env.send(r)
	env.waitFor(func() bool {
		for _, id := range []string{"d1", "d2"} {
			for _, run := range env.modelEndpoints[id].Runs() {
				if run.CallerDisconnected {
					return true
				}
			}
		}
		return false
	}, "the decode endpoint should notice that the caller disconnected")
}

// A read whose caller had disconnected was retried at another endpoint, over a connection that was closed at once, and
// used up the retry budget (soak test, seeds 36 and 52).
func TestEdgeDoesNotRetryForDisconnectedCaller(t *testing.T) {
	env := newTestEnv(t)
	env.injectFaults(standin.NoResponse)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if resp := env.send(env.newRequest(http.MethodPost, "/read/x", "body").WithContext(ctx)); resp.err == nil {
		t.Fatalf("got response %+v from an endpoint that does not answer, want an error", resp)
	}
	env.waitFor(func() bool { return strings.Contains(env.log.String(), `"status":504`) },
		"the request should be finished")
	if n := strings.Count(env.log.String(), "forward: call failed"); n != 1 {
		t.Errorf("got %d failed calls, want 1; log:\n%s", n, env.log.String())
	}
	before := []int{len(env.serviceEndpoints[0].Runs()), len(env.serviceEndpoints[1].Runs())}
	env.serviceEndpoints[0].ClearFaults()
	env.serviceEndpoints[1].ClearFaults()
	for range 10 {
		env.call(http.MethodPost, "/read/x")
	}
	for i, e := range env.serviceEndpoints {
		if len(e.Runs()) == before[i] {
			t.Errorf("endpoint %s gets no requests after it recovered, want some", e.ID)
		}
	}
}

// A caller that disconnected during a reservation made all gateways count the endpoint as failed.
func TestEdgeDoesNotBlameEndpointForDisconnectedCaller(t *testing.T) {
	env := newTestEnv(t)
	env.store.Remove("servers/d2")
	env.waitFor(func() bool { return len(env.state().Endpoints) == 4 },
		"the removed endpoint should be unknown to the gateway")
	env.modelEndpoints["d1"].ReservationDelay = 300 * time.Millisecond
	r := env.newRequest(http.MethodPost, "/draft/x", "body")
	r.Header.Set("X-Pistachiovane-Token-Counts", "100,100")
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if resp := env.send(r.WithContext(ctx)); resp.err == nil {
		t.Fatalf("got response %+v before the reservation was complete, want an error", resp)
	}
	env.waitFor(func() bool { return strings.Contains(env.log.String(), "forward: done") },
		"the request should be finished")
	if strings.Contains(env.log.String(), "room not reserved") {
		t.Errorf("a failed reservation was logged for the disconnected caller, want none; log:\n%s", env.log.String())
	}
}

// A gateway that stops must finish its streams and must not report that it is ready.
func TestEdgeDrainsBeforeStopping(t *testing.T) {
	env := newTestEnv(t)
	for _, id := range []string{"d1", "d2"} {
		env.modelEndpoints[id].EventsPerStream, env.modelEndpoints[id].EventInterval = 20, 50*time.Millisecond
	}
	got := make(chan response, 1)
	go func() { got <- env.generate("/note/1") }()
	env.waitFor(func() bool { return len(env.modelEndpoints["d1"].Runs())+len(env.modelEndpoints["d2"].Runs()) > 0 },
		"the stream should be running")
	env.daemon.Drain(context.Background())
	if resp := <-got; resp.err != nil || strings.Count(resp.body, "data:") != 20 {
		t.Errorf("got response %+v during draining, want a stream of 20 events", resp)
	}
	if env.daemon.Ready() {
		t.Error("a gateway that is stopping reports that it is ready")
	}
}

// When a read fails at one endpoint and its retry finds no capacity at the other, the caller must get the response of
// the first endpoint and not a refusal by the gateway.
func TestEdgeReturnsFailureWhenRetryFindsNoCapacity(t *testing.T) {
	env := newTestEnv(t)
	env.serviceEndpoints[0].InjectFaults(standin.ServerError)
	env.serviceEndpoints[1].InjectFaults(standin.NoCapacity)
	resp := env.call(http.MethodGet, "/read/1")
	if resp.status != 500 || resp.header.Get("X-Pistachiovane-Server-Seal") == "" {
		t.Errorf("got response %+v, want status 500 from the endpoint", resp)
	}
}

// The log must have exactly one line for each request, with all fields that explain its outcome.
func TestEdgeLogsOneLinePerRequest(t *testing.T) {
	env := newTestEnv(t)
	env.call(http.MethodGet, "/read/1", "X-Pistachiovane-Attempt-Id", "abc")
	env.waitFor(func() bool { return strings.Contains(env.log.String(), `"id":"abc"`) }, "the request should be logged")
	if n := strings.Count(env.log.String(), `"id":"abc"`); n != 1 {
		t.Errorf("got %d log lines for the request, want 1", n)
	}
	for _, field := range []string{"route", "account", "endpoint", "version", "age_ms", "status", "calls", "total_ms"} {
		if !strings.Contains(env.log.String(), `"`+field+`":`) {
			t.Errorf("the log line has no field %s", field)
		}
	}
}

// blockedWriter blocks each write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	// writtenLines counts the writes that are done.
	writtenLines atomic.Int64
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.writtenLines.Add(1)
	return len(p), nil
}

// A log output that blocks must not delay requests, and the queue of log lines must stay bounded. The test logs ten
// times as many lines as the queue holds.
func TestLogQueueNeitherBlocksNorGrows(t *testing.T) {
	w := &blockedWriter{unblock: make(chan struct{})}
	logger, flush := newBoundedLogger(&log.Logger{Level: log.InfoLevel}, w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10 * maxQueuedLogLines {
			logger.Info().Msg("forward: done")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logging blocked for 10 s, want no wait for the output")
	}
	close(w.unblock)
	flush()
	if n := w.writtenLines.Load(); n == 0 || n > 2*maxQueuedLogLines {
		t.Errorf("got %d written lines, want 1 to %d", n, 2*maxQueuedLogLines)
	}
}

// lockedBuffer is a log that a test may read while the gateway writes it.
type lockedBuffer struct {
	buffer bytes.Buffer
}

// with runs do while it holds the lock.
func (b *lockedBuffer) with(do func()) {
	bufferLock <- struct{}{}
	do()
	<-bufferLock
}

// bufferLock is the lock of all buffers. The channel is full while the lock is held.
var bufferLock = make(chan struct{}, 1)

// Write appends a log line.
func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.with(func() { n, err = b.buffer.Write(p) })
	return n, err
}

// String returns all log lines.
func (b *lockedBuffer) String() (s string) {
	b.with(func() { s = b.buffer.String() })
	return s
}
