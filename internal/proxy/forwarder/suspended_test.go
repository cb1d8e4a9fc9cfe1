package forwarder

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// pauseFor makes an endpoint ask for a pause of a minute.
func (f *testForwarder) pauseFor(id string) {
	f.endpoints.observe(suspender.Signal{EndpointID: id, RequestID: "other", SentAt: clock.SinceBoot(), Pause: time.Minute})
}

// leave makes an endpoint say that it leaves.
func (f *testForwarder) leave(id string) {
	f.endpoints.observe(suspender.Signal{EndpointID: id, RequestID: "other", SentAt: clock.SinceBoot(), Leaving: true})
}

// Guards against sending to an endpoint that has asked for a pause after it was planned, reserved or prefilled for.
func TestPlannedRequestIsSentToPausedEndpoint(t *testing.T) {
	for name, prepare := range map[string]func(f *testForwarder, pause func(id string)){
		"decode endpoint, while the prompt is read": func(f *testForwarder, pause func(id string)) {
			var reserved string
			f.endpoints.reserve = func(address string) (string, error) { reserved = address; return "r", nil }
			f.endpoints.prefill = func(address string) (string, *Response, error) {
				pause(reserved)
				return address + "/k", answer("", 200), nil
			}
		},
		"prefill endpoints, during the reservation": func(f *testForwarder, pause func(id string)) {
			f.endpoints.reserve = func(string) (string, error) {
				pause("p1")
				pause("p2")
				return "r", nil
			}
		},
		"endpoint of a broken stream": func(f *testForwarder, pause func(id string)) {
			run, broken := f.endpoints.run, ""
			f.endpoints.run = func(address string) (*Response, error) {
				if broken == "" {
					broken = address
					pause(address)
					return nil, errLost
				}
				return run(address)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newTestForwarder(t)
			var mu sync.Mutex
			var paused []string
			f.endpoints.run = func(string) (*Response, error) { return answer("id: 1\ndata: a\n\n", 200), nil }
			sentBefore := map[string]int{}
			prepare(f, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				if !slices.Contains(paused, id) {
					paused = append(paused, id)
					f.endpoints.mu.Lock()
					sentBefore[id] = countOf(f.endpoints.runs, id) + countOf(f.endpoints.prefills, id)
					f.endpoints.mu.Unlock()
					f.pauseFor(id)
				}
			})
			if w := f.send("/draft/x"); w.Code != http.StatusOK {
				t.Errorf("got status %d, want 200; log:\n%s", w.Code, f.log)
			}
			for _, id := range paused {
				if n := countOf(f.endpoints.runs, id) + countOf(f.endpoints.prefills, id); n != sentBefore[id] {
					t.Errorf("%s got %d sends during its pause; log:\n%s", id, n-sentBefore[id], f.log)
				}
			}
			if len(paused) == 0 {
				t.Error("no endpoint was paused")
			}
		})
	}
}

// A prompt that is planned for a prefill endpoint and not sent there, because its prefill crashes endpoints, must not count as the
// endpoint's backlog.
func TestUnsentPromptCountsAsBacklog(t *testing.T) {
	f := newTestForwarder(t)
	prefill := fingerprintOfPrefill(fingerprint(&job{Request: f.request("/draft/x")}))
	crashes := []broadcaster.Crash{{Endpoint: "x", AgeMs: 9000}, {Endpoint: "y", AgeMs: 5000}, {Endpoint: "z", AgeMs: 10}}
	f.controller.Receive(broadcaster.Message{From: "peer", Incarnation: 1, CrashRecords: []broadcaster.CrashRecord{
		{Fingerprint: uint64(prefill), Crashes: crashes},
	}})
	backlog := -1
	f.endpoints.run = func(string) (*Response, error) {
		backlog = 0
		m, _ := f.controller.Compose(false)
		for _, l := range m.Loads {
			backlog += l.PrefillBacklogTokens
		}
		return answer("id: 1\ndata: a\n\n", 200), nil
	}
	r := f.request("/draft/x")
	r.PromptTokens = 20000
	if w := f.sendRequest(r); w.Code != http.StatusOK || backlog != 0 || len(f.endpoints.prefills) > 0 {
		t.Errorf("got status %d and a backlog of %d tokens while the prompt is read elsewhere, want 200 and none; log:\n%s", w.Code, backlog, f.log)
	}
}

// countOf returns how often a text is in a list.
func countOf(list []string, text string) int {
	n := 0
	for _, s := range list {
		if s == text {
			n++
		}
	}
	return n
}

// Guards against a leaving endpoint that gets a retry, and against moving work that was planned there before.
func TestLeavingEndpointFinishesWhatItHas(t *testing.T) {
	f := newTestForwarder(t)
	var reserved string
	f.endpoints.reserve = func(address string) (string, error) { reserved = address; return "r", nil }
	f.endpoints.prefill = func(address string) (string, *Response, error) {
		f.leave(reserved)
		return address + "/k", answer("", 200), nil
	}
	f.endpoints.run = func(string) (*Response, error) { return answer("id: 1\ndata: a\n\n", 200), nil }
	if w := f.send("/draft/x"); w.Code != http.StatusOK || countOf(f.endpoints.runs, reserved) != 1 {
		t.Errorf("got status %d and runs %v, want one at %s", w.Code, f.endpoints.runs, reserved)
	}
	leaving := reserved
	f.endpoints.prefill = nil
	for range 20 {
		f.send("/draft/y")
	}
	if n := countOf(f.endpoints.runs, leaving); n != 1 {
		t.Errorf("%s got %d runs after it said that it leaves; log:\n%s", leaving, n-1, f.log)
	}
}

// Guards against a retry of a read at an endpoint that has asked for a pause, and against a line that does not say why.
func TestReadIsRetriedElsewhereDuringPause(t *testing.T) {
	f := newTestForwarder(t)
	f.endpoints.run = func(address string) (*Response, error) {
		if address == "s1" || address == "s2" {
			f.pauseFor(address)
			r := answer("", http.StatusServiceUnavailable)
			r.NotExecuted = true
			return r, nil
		}
		return answer("b", 200), nil
	}
	for range 30 {
		if w := f.send("/read/x"); w.Code != http.StatusOK {
			t.Fatalf("got status %d, want 200; log:\n%s", w.Code, f.log)
		}
	}
	if n := countOf(f.endpoints.runs, "s1") + countOf(f.endpoints.runs, "s2"); n != 2 {
		t.Errorf("got %d sends to the paused endpoints, want one each; log:\n%s", n, f.log)
	}
	for _, want := range []string{`"endpoint":"s1","id":"other","for_ms"`, `"endpoint: paused"`, `"refused_by":"s1"`} {
		if !strings.Contains(f.log.String(), want) {
			t.Errorf("the log does not contain %s:\n%s", want, f.log)
		}
	}
	f.pauseFor("s3")
	if w := f.send("/read/x"); w.Code != http.StatusServiceUnavailable || !strings.Contains(f.log.String(), `"paused":"s`) {
		t.Errorf("got status %d, want a refusal that names the endpoint; log:\n%s", w.Code, f.log)
	}
}

// Guards against freeing a reservation or a KV cache at an endpoint that wants nothing.
func TestNothingIsFreedDuringPause(t *testing.T) {
	f := newTestForwarder(t)
	f.endpoints.run = func(string) (*Response, error) { return nil, errRefused }
	f.endpoints.prefill = func(address string) (string, *Response, error) {
		for _, id := range []string{"p1", "p2", "p3", "d1", "d2", "d3"} {
			f.pauseFor(id)
		}
		return address + "/k", answer("", 200), nil
	}
	f.send("/draft/x")
	time.Sleep(50 * time.Millisecond)
	if n := f.endpoints.freed.Load(); n > 0 {
		t.Errorf("got %d calls that free something, want none; log:\n%s", n, f.log)
	}
}

// Guards against blaming the prefill endpoint, and prefilling again, when a decode endpoint refuses because it wants a
// pause.
func TestKVCacheIsKeptWhenDecodeEndpointWantsPause(t *testing.T) {
	f := newTestForwarder(t)
	refused := false
	f.endpoints.run = func(address string) (*Response, error) {
		if refused {
			return answer("id: 1\ndata: a\n\n", 200), nil
		}
		refused = true
		f.pauseFor(address)
		r := answer("", http.StatusServiceUnavailable)
		r.NotExecuted = true
		return r, nil
	}
	if w := f.send("/draft/x"); w.Code != http.StatusOK {
		t.Errorf("got status %d, want 200; log:\n%s", w.Code, f.log)
	}
	if n := len(f.endpoints.prefills); n != 1 || strings.Contains(f.log.String(), "ejected") || f.Stats.WastedPrefills.Load() > 0 {
		t.Errorf("got %d prefills, want one whose KV cache is used; log:\n%s", n, f.log)
	}
}
