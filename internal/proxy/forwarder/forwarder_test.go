package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/iotest"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/internal/routing/fencer"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// scriptedEndpoints answers the calls of a forwarder with functions. It counts what is sent.
type scriptedEndpoints struct {
	run     func(address string) (*Response, error)
	prefill func(address string) (string, *Response, error)
	reserve func(address string) (string, error)
	// identify answers probes. Nil means that they get no answer.
	identify func(address string) (prober.Identity, error)
	// observe receives what endpoints say about themselves.
	observe func(suspender.Signal)
	// freed counts the released reservations and KV caches.
	freed atomic.Int64

	mu       sync.Mutex
	runs     []string
	prefills []string
}

var (
	errLost    = &exchanger.Failure{SendState: exchanger.PossiblySent, Cause: io.ErrUnexpectedEOF}
	errRefused = &exchanger.Failure{SendState: exchanger.NotSent, Cause: syscall.ECONNREFUSED}
)

func (s *scriptedEndpoints) Identify(_ context.Context, p prober.Process) (prober.Identity, error) {
	if s.identify == nil {
		return prober.Identity{}, errors.New("i/o timeout")
	}
	return s.identify(p.Address)
}

func (s *scriptedEndpoints) Run(_ context.Context, address string, _ Attempt) (*Response, error) {
	s.mu.Lock()
	s.runs = append(s.runs, address)
	s.mu.Unlock()
	return s.run(address)
}

func (s *scriptedEndpoints) Reserve(
	_ context.Context, address, _ string, _ int, _ time.Duration,
) (reservationID string, err error) {
	if s.reserve == nil {
		return "r", nil
	}
	return s.reserve(address)
}

func (s *scriptedEndpoints) Release(context.Context, string, string, string) { s.freed.Add(1) }

func (s *scriptedEndpoints) Observe(observe func(suspender.Signal)) { s.observe = observe }

func (s *scriptedEndpoints) Prefill(_ context.Context, address string, _ Attempt) (string, *Response, error) {
	s.mu.Lock()
	s.prefills = append(s.prefills, address)
	s.mu.Unlock()
	if s.prefill == nil {
		return address + "/k", answer("", 200), nil
	}
	return s.prefill(address)
}

func (s *scriptedEndpoints) FreeKVCache(context.Context, string, string, string) { s.freed.Add(1) }

// sent returns how many runs and prefills were sent.
func (s *scriptedEndpoints) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs) + len(s.prefills)
}

// answer returns a whole response.
func answer(body string, status int) *Response {
	return &Response{
		Status: status, Header: http.Header{"Content-Type": {"text/event-stream"}}, HasServerSeal: true,
		ContentLength: int64(len(body)), Body: strings.NewReader(body), Close: func() {},
	}
}

// testForwarder is a forwarder with three endpoints of each kind.
type testForwarder struct {
	*Forwarder
	endpoints *scriptedEndpoints
	list      []lister.Endpoint
	log       *lockedLog
}

// lockedLog is a log that a test may read while probes in the background write it.
type lockedLog struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends a log line.
func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all log lines.
func (l *lockedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func newTestForwarder(t *testing.T) *testForwarder {
	t.Helper()
	f := &testForwarder{endpoints: &scriptedEndpoints{}, log: &lockedLog{}}
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: f.log}}
	active := tracker.New(clock.SinceBoot)
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // a seeded test
	suspensions := suspender.New(random)
	c := controller.New(controller.Components{
		Clock: clock.SinceBoot, Tracker: active,
		Planner: planner.New(planner.Options{
			Domain: "a", PrefillRate: 50000, DecodeRate: 1550, MaxMemoryFraction: 0.9, MaxPrefillWait: 450 * time.Millisecond,
			MaxQueueWait: 2500 * time.Millisecond, MaxLoadAge: 1500 * time.Millisecond, Suspensions: suspensions,
		}, random),
		Balancer: balancer.New("a", random, suspensions), Capper: capper.New(capper.Options{MinGateways: 1}, 0),
		Retrier:    retrier.New(retrier.Options{RetriesPerRequest: 1, ExtraRetries: 1000, Window: time.Second}),
		Rebalancer: rebalancer.New(rebalancer.Options{}), Profiler: profiler.New(profiler.Options{}), Fencer: fencer.New(),
		CrashTracker: crashtracker.New(time.Hour, 100), Suspender: suspensions, Log: logger,
	})
	services := func(name string) []matcher.WeightedService { return []matcher.WeightedService{{Service: name}} }
	m := matcher.New(matcher.Config{
		Version: 1, Services: []matcher.Service{{Name: "desk"}, {Name: "llm", Engine: &matcher.Engine{
			Slots: 4, KVCapacityTokens: 100000, HandleTTL: time.Second,
		}}},
		Routes: []matcher.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Kind: matcher.Idempotent, MaxAttempts: 3, SkipAuth: true, Services: services("desk")},
			{
				Name: "draft", Host: "h", Prefix: "/draft/", Kind: matcher.Stream, MaxAttempts: 3, Resumable: true, SkipAuth: true,
				TargetLatency: time.Second, Services: services("llm"),
			},
		},
	})
	active.Accept(m, clock.SinceBoot(), 1)
	c.Configure(m)
	for _, id := range []string{"s1", "s2", "s3", "p1", "p2", "p3", "d1", "d2", "d3"} {
		e := lister.Endpoint{ID: id, Address: id, Service: "llm", Domain: "a", Slots: 4, Model: true, Prefill: id[0] == 'p'}
		if id[0] == 's' {
			e.Service, e.Model = "desk", false
		}
		f.list = append(f.list, e)
	}
	c.SetEndpoints(f.list)
	f.Forwarder = New(Options{
		MaxConfigAgeForKeys: time.Minute, MaxConfigAgeForNotFound: time.Minute, MinFirstEventTimeout: time.Second, BufferBytes: 1 << 30, BodyBytes: 1 << 30,
	}, clock.SinceBoot, active, c, f.endpoints, logger)
	return f
}

// send sends a request with the body "b". Requests to /draft/ are generations. The status is 0 if the connection was
// closed.
func (f *testForwarder) send(path string) (w *httptest.ResponseRecorder) {
	return f.sendRequest(f.request(path))
}

// sendRequest sends a request. The status is 0 if the connection was closed.
func (f *testForwarder) sendRequest(r *Request) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	defer func() {
		if recover() != nil {
			w.Code = 0
		}
	}()
	f.Serve(context.Background(), w, r)
	return w
}

func (f *testForwarder) request(path string) *Request {
	return &Request{
		ID: "i", Method: http.MethodPost, Target: path, Host: "h", Path: path, Body: []byte("b"), TimeBudget: 3 * time.Second,
		HasTokenCounts: strings.HasPrefix(path, "/draft/"), PromptTokens: 100, MaxOutputTokens: 100,
	}
}

// reportCrashes is a message of a peer that the request to a path crashed two endpoints.
func (f *testForwarder) reportCrashes(path string) {
	crash := []broadcaster.Crash{{Endpoint: "x", AgeMs: 5000}, {Endpoint: "y", AgeMs: 10}}
	f.controller.Receive(broadcaster.Message{From: "peer", Incarnation: 1, CrashRecords: []broadcaster.CrashRecord{
		{Fingerprint: uint64(fingerprint(&job{Request: f.request(path)})), Crashes: crash},
	}})
}

// What a peer reports may arrive while the request is being served. Nothing more may be sent from then on, and the status
// must not say that the request has not run if it may have.
func TestRequestInProgressIsSentAfterPeerReportsCrashes(t *testing.T) {
	for name, c := range map[string]struct {
		path       string
		prepare    func(f *testForwarder)
		wantSent   int
		wantStatus int
	}{
		"on arrival": {"/draft/x", func(f *testForwarder) { f.reportCrashes("/draft/x") }, 0, 503},
		"while reserving": {"/draft/x", func(f *testForwarder) {
			f.endpoints.reserve = func(string) (string, error) { f.reportCrashes("/draft/x"); return "r", nil }
		}, 0, 503},
		"during the prefill": {"/draft/x", func(f *testForwarder) {
			f.endpoints.prefill = func(string) (string, *Response, error) {
				f.reportCrashes("/draft/x")
				return "k", answer("", 200), nil
			}
		}, 1, 503},
		"after a failed prefill": {"/draft/x", func(f *testForwarder) {
			f.endpoints.prefill = func(string) (string, *Response, error) { f.reportCrashes("/draft/x"); return "", nil, errLost }
		}, 1, 503},
		"during the decode": {"/draft/x", func(f *testForwarder) {
			f.endpoints.run = func(string) (*Response, error) { f.reportCrashes("/draft/x"); return nil, errLost }
		}, 2, 502},
		"during a call": {"/read/x", func(f *testForwarder) {
			f.endpoints.run = func(string) (*Response, error) { f.reportCrashes("/read/x"); return nil, errLost }
		}, 1, 502},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			c.prepare(f)
			w := f.send(c.path)
			if w.Code != c.wantStatus || f.endpoints.sent() != c.wantSent {
				t.Errorf("got status %d after %d sends, want %d after %d; log:\n%s",
					w.Code, f.endpoints.sent(), c.wantStatus, c.wantSent, f.log)
			}
			if w.Code == 503 && w.Header().Get("Retry-After") == "" {
				t.Error("got no Retry-After, want the rest of the quarantine")
			}
		})
	}
}

// The probe after a broken connection may get no answer. The crash must count once a later call is refused, whichever it
// is: generations reserve before they decode.
func TestCrashFoundByLaterCallIsIgnored(t *testing.T) {
	for name, refuse := range map[string]func(e *scriptedEndpoints, down map[string]bool){
		"reservation": func(e *scriptedEndpoints, down map[string]bool) {
			e.reserve = func(address string) (string, error) {
				if down[address] {
					return "", errRefused
				}
				return "r", nil
			}
		},
		"decode": func(e *scriptedEndpoints, down map[string]bool) {
			run := e.run
			e.run = func(address string) (*Response, error) {
				if down[address] {
					return nil, errRefused
				}
				return run(address)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			down := map[string]bool{}
			crashing := true
			f.endpoints.run = func(address string) (*Response, error) {
				if !crashing {
					return answer("id: 1\n\n", 200), nil
				}
				down[address] = true
				return nil, errLost
			}
			refuse(f.endpoints, down)
			f.send("/draft/crash")
			crashing = false
			for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				f.send("/draft/other")
				if v := f.controller.DecideQuarantine(crashtracker.Work{Run: fingerprint(&job{Request: f.request("/draft/crash")})}); v.Refused {
					return
				}
			}
			t.Errorf("the request is not refused after %d endpoints were down; log:\n%s", len(down), f.log)
		})
	}
}

// A response of status 421 may come from the endpoint itself, because it has another stage now, or from another one at its
// address. Only the latter shows that the endpoint is gone.
func TestMisdirectedResponseCountsForWrongEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		answeredBy func(address string) string
		refused    bool
	}{
		"the endpoint itself": {func(address string) string { return address }, false},
		"another endpoint":    {func(string) string { return "other" }, true},
		"nobody says who":     {func(string) string { return "" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			lost := map[string]bool{}
			f.endpoints.run = func(address string) (*Response, error) {
				if !lost[address] {
					lost[address] = true
					return nil, errLost
				}
				r := answer("", http.StatusMisdirectedRequest)
				r.Misdirected, r.HasServerSeal, r.AnsweredBy = true, false, c.answeredBy(address)
				return r, nil
			}
			for range 12 {
				f.send("/read/x")
				f.send("/read/y")
			}
			v := f.controller.DecideQuarantine(crashtracker.Work{Run: fingerprint(&job{Request: f.request("/read/x")})})
			if v.Refused != c.refused {
				t.Errorf("got refused %t, want %t; log:\n%s", v.Refused, c.refused, f.log)
			}
		})
	}
}

// A probe in the background may begin before one connection breaks and answer for a later one. Its answer must clear those
// that broke before it asked, also if the watch began earlier.
func TestAnswerToWatchLeavesLaterSuspect(t *testing.T) {
	f := newTestForwarder(t)
	var lost, asked atomic.Int64
	f.endpoints.run = func(string) (*Response, error) { lost.Add(1); return nil, errLost }
	f.endpoints.identify = func(address string) (prober.Identity, error) {
		if asked.Add(1) < 9 {
			return prober.Identity{}, context.DeadlineExceeded
		}
		return prober.Identity{EndpointID: address}, nil
	}
	f.send("/read/x")
	time.Sleep(30 * time.Millisecond)
	f.send("/read/y")
	time.Sleep(2 * time.Second)
	f.controller.SetEndpoints(nil)
	if strings.Contains(f.log.String(), `"counted"`) {
		t.Errorf("got crashes counted, want none of %d lost connections; log:\n%s", lost.Load(), f.log)
	}
}

// The log must say what has shown the crash behind an end that nobody marked.
func TestEvidenceBehindUnmarkedEndIsLogged(t *testing.T) {
	for want, identify := range map[string]func(address string) (prober.Identity, error){
		"process replaced":   func(string) (prober.Identity, error) { return prober.Identity{EndpointID: "other"}, nil },
		"connection refused": func(string) (prober.Identity, error) { return prober.Identity{}, errRefused },
	} {
		t.Run(want, func(t *testing.T) {
			f := newTestForwarder(t)
			f.endpoints.identify = identify
			f.endpoints.run = func(string) (*Response, error) {
				r := answer("b", 200)
				r.ContentLength, r.Delimiter = -1, delimiter.ConnectionEnd
				return r, nil
			}
			f.send("/read/x")
			if !strings.Contains(f.log.String(), `"outcome":"counted","evidence":"`+want+`"`) {
				t.Errorf("got no crash counted by %q; log:\n%s", want, f.log)
			}
		})
	}
}

// A reservation is answered by any process at the address, so it shows nothing about the one that crashed.
func TestReservationClearsSuspect(t *testing.T) {
	f := newTestForwarder(t)
	f.endpoints.run = func(string) (*Response, error) { return nil, errLost }
	f.send("/draft/crash")
	f.endpoints.run = func(string) (*Response, error) {
		r := answer("", http.StatusServiceUnavailable)
		r.NotExecuted, r.HasServerSeal = true, false
		return r, nil
	}
	for range 6 {
		f.send("/draft/other")
	}
	f.controller.SetEndpoints(nil)
	if n := strings.Count(f.log.String(), `"counted"`); n < 2 {
		t.Errorf("got %d crashes counted, want those of all endpoints that are gone; log:\n%s", n, f.log)
	}
}

// A failed attempt without a broken connection is no suspicion, and neither is a broken connection to the caller.
func TestRequestIsSuspectedWithoutBrokenConnection(t *testing.T) {
	for name, run := range map[string]func() (*Response, error){
		"time-out": func() (*Response, error) {
			return nil, &exchanger.Failure{SendState: exchanger.PossiblySent, Cause: context.DeadlineExceeded}
		},
		"no seal": func() (*Response, error) { r := answer("b", 200); r.HasServerSeal = false; return r, nil },
		"error":   func() (*Response, error) { return answer("b", 500), nil },
		"refused": func() (*Response, error) { return nil, errRefused },
		"not run": func() (*Response, error) {
			r := answer("b", 503)
			r.NotExecuted, r.Delimiter = true, delimiter.ConnectionEnd
			return r, nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			f.endpoints.run = func(string) (*Response, error) { return run() }
			f.endpoints.identify = func(string) (prober.Identity, error) { return prober.Identity{}, errRefused }
			for range 4 {
				f.send("/read/x")
			}
			f.send("/draft/x")
			f.controller.SetEndpoints(nil)
			if strings.Contains(f.log.String(), "crash: suspected") {
				t.Errorf("got a suspicion, want none; log:\n%s", f.log)
			}
		})
	}
}

// A response without a length that ends with its connection may be whole, or the endpoint may have crashed.
func TestCrashInResponseWithoutLengthIsIgnored(t *testing.T) {
	f := newTestForwarder(t)
	f.endpoints.run = func(string) (*Response, error) {
		r := answer("b", 200)
		r.ContentLength, r.Delimiter = -1, delimiter.ConnectionEnd
		return r, nil
	}
	f.send("/read/x")
	f.send("/read/x")
	f.send("/read/x")
	f.controller.SetEndpoints(nil)
	if n := strings.Count(f.log.String(), `"counted"`); n < 2 {
		t.Errorf("got %d crashes counted, want those of the endpoints that are gone; log:\n%s", n, f.log)
	}
}

// The endpoint of a broken stream is known to be down after the probe. Other requests must not be sent there.
func TestRequestIsSentToCrashedEndpoint(t *testing.T) {
	f := newTestForwarder(t)
	var down, reserved string
	f.endpoints.run = func(address string) (*Response, error) {
		if down == "" {
			down = address
			r := answer("", 200)
			r.ContentLength, r.Body = -1, iotest.ErrReader(io.ErrUnexpectedEOF)
			return r, nil
		}
		return answer("id: 1\n\n", 200), nil
	}
	f.endpoints.identify = func(address string) (prober.Identity, error) {
		if address == down {
			return prober.Identity{}, errRefused
		}
		return prober.Identity{EndpointID: address}, nil
	}
	f.endpoints.reserve = func(address string) (string, error) {
		if down != "" {
			reserved += address + " "
		}
		return "r", nil
	}
	f.send("/draft/x")
	for range 6 {
		f.send("/draft/y")
	}
	if strings.Contains(reserved, down) || reserved == "" {
		t.Errorf("got reservations at %s, want none at %s, which is down", reserved, down)
	}
}

// A request whose deadline passes while it is served is no reason to say that it crashes endpoints.
func TestExpiredRequestIsRefusedAsCrashing(t *testing.T) {
	f := newTestForwarder(t)
	f.endpoints.prefill = func(address string) (string, *Response, error) {
		time.Sleep(60 * time.Millisecond)
		return address + "/k", answer("", 200), nil
	}
	f.endpoints.run = func(string) (*Response, error) { return nil, errLost }
	r := f.request("/draft/x")
	r.TimeBudget = 50 * time.Millisecond
	f.Serve(context.Background(), httptest.NewRecorder(), r)
	if strings.Contains(f.log.String(), reasonCrashes) {
		t.Errorf("got a quarantine, want none; log:\n%s", f.log)
	}
}

// The rest of a broken stream was passed on unseen: a response of status 200 whose body was the text of an error, or events
// that did not go on from the last one, came into the middle of the caller's stream (issue 36).
func TestRestOfStreamThatDoesNotGoOnIsRelayed(t *testing.T) {
	const first, rest = "id: 4\ndata: a\n\n", "id: 5\ndata: b\n\nid: 6\ndata: c\n\n"
	for name, odd := range map[string]string{
		"head":                  "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad\r\n\r\n",
		"text":                  "internal error\n\n",
		"object":                `{"error":"overloaded"}` + "\n\n",
		"event without ID":      "data: overloaded\n\n",
		"named event":           "event: error\ndata: overloaded\n\n",
		"the last event again":  first,
		"an earlier event":      "id: 3\ndata: z\n\n",
		"ID of another kind":    "id: x\ndata: z\n\n",
		"ID beyond its type":    "id: 99999999999999999999999\ndata: z\n\n",
		"negative ID":           "id: -5\ndata: z\n\n",
		"long text":             strings.Repeat("x", 3*relayBufferBytes) + "\n\n",
		"long event without ID": "data: " + strings.Repeat("x", 3*relayBufferBytes) + "\n\n",
		"empty":                 "",
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			bodies := []io.Reader{
				io.MultiReader(strings.NewReader(first), iotest.ErrReader(io.ErrUnexpectedEOF)),
				io.MultiReader(strings.NewReader(odd), iotest.ErrReader(io.ErrUnexpectedEOF)), strings.NewReader(rest),
			}
			f.endpoints.run = func(string) (*Response, error) {
				r := answer("", 200)
				r.ContentLength, r.Body, bodies = -1, bodies[0], bodies[1:]
				return r, nil
			}
			if w := f.send("/draft/x"); w.Code != 200 || w.Body.String() != first+rest {
				t.Errorf("got status %d and body %.300q, want the events of one stream; log:\n%s", w.Code, w.Body.String(), f.log)
			}
		})
	}
}

// A response that began with some other text than an event, and broke off, was continued by another endpoint's stream behind
// that text (found by drawn exchanges).
func TestStreamIsContinuedBehindOtherText(t *testing.T) {
	const text = "HTTP/1.1 500 Internal Server Error\r\n\r\n"
	f := newTestForwarder(t)
	bodies := []string{text + "overloaded", "id: 1\ndata: a\n\n"}
	f.endpoints.run = func(string) (*Response, error) {
		r := answer("", 200)
		r.ContentLength, r.Body, bodies = -1, strings.NewReader(bodies[0]), bodies[1:]
		return r, nil
	}
	if w := f.send("/draft/x"); w.Code != 0 || w.Body.String() != text {
		t.Errorf("got status %d and body %q, want a broken response with the text alone", w.Code, w.Body.String())
	}
}

// What may stand in the rest of a sound stream must be passed on.
func TestRestOfSoundStreamIsCutOff(t *testing.T) {
	const first = "id: 4\ndata: a\n\n"
	for name, rest := range map[string]string{
		"next event":       "id: 5\ndata: b\n\n",
		"later event":      "id: 9\ndata: b\n\n",
		"comment":          ": ping\n\nid: 5\ndata: b\n\n",
		"ID behind data":   "data: b\nid: 5\n\n",
		"version first":    "x-pistachiovane-weight-versions: 2\nid: 5\ndata: b\n\n",
		"long event":       "id: 5\ndata: " + strings.Repeat("x", 3*relayBufferBytes) + "\n\nid: 6\ndata: c\n\n",
		"carriage returns": "id: 5\r\ndata: b\r\n\r\nid: 10\r\ndata: c\r\n\r\n",
		"nothing more":     "",
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			bodies := []io.Reader{
				io.MultiReader(strings.NewReader(first), iotest.ErrReader(io.ErrUnexpectedEOF)), strings.NewReader(rest),
			}
			f.endpoints.run = func(string) (*Response, error) {
				r := answer("", 200)
				r.ContentLength, r.Body, bodies = -1, bodies[0], bodies[1:]
				return r, nil
			}
			if w := f.send("/draft/x"); w.Code != 200 || w.Body.String() != first+rest {
				t.Errorf("got status %d and body %.300q, want all events; log:\n%s", w.Code, w.Body.String(), f.log)
			}
		})
	}
}

// endlessBody is a body that has not ended when the time of its request is over.
type endlessBody struct {
	rest int
}

// Read returns zeros, and a timeout once rest of them have been read.
func (b *endlessBody) Read(p []byte) (int, error) {
	if b.rest == 0 {
		return 0, context.DeadlineExceeded
	}
	time.Sleep(10 * time.Microsecond)
	n := min(b.rest, len(p))
	b.rest -= n
	return n, nil
}

// An endpoint that never ended its answers was chosen as often as any other, as each answer counted as a success when it began.
func TestEndlessAnswerCountsAsSuccess(t *testing.T) {
	f := newTestForwarder(t)
	f.endpoints.run = func(address string) (*Response, error) {
		if address != "s1" {
			return answer("a", http.StatusOK), nil
		}
		r := answer("", http.StatusOK)
		r.ContentLength, r.Body = -1, &endlessBody{rest: 1 << 20}
		return r, nil
	}
	const requests = 300
	for range requests {
		f.send("/read/x")
	}
	chosen := 0
	for _, address := range f.endpoints.runs {
		if address == "s1" {
			chosen++
		}
	}
	// A third would be its part.
	if chosen > requests/10 {
		t.Errorf("got the endpoint chosen %d times of %d, want at most a tenth", chosen, requests)
	}
}

// The log of a stream that broke off must say why it was not continued (soak, seed 9317).
func TestLogLacksWhyStreamIsNotContinued(t *testing.T) {
	f := newTestForwarder(t)
	f.endpoints.run = func(string) (*Response, error) {
		r := answer("id: 1\ndata: a\n\nid: 2\nda", http.StatusOK)
		r.ContentLength = 1000
		return r, nil
	}
	f.send("/draft/x")
	if !strings.Contains(f.log.String(), `"unresumed":`) {
		t.Errorf("got no reason in the log:\n%s", f.log)
	}
}
