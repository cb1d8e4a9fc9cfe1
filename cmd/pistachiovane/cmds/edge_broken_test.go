package cmds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// eventBoundaries returns the lengths of completeStream's parts that end with an event, without the empty one and the
// whole.
func eventBoundaries() []int {
	var out []int
	for n := 1; n < len(completeStream); n++ {
		if !endsInsideEvent(n) {
			out = append(out, n)
		}
	}
	return out
}

// useAnswers makes the decode endpoints deliver their answers, whichever of them it is, in the given ways, the last of
// which repeats.
func (env *testEnv) useAnswers(answers ...standin.Answer) {
	var used atomic.Int64
	for _, id := range []string{"d1", "d2"} {
		env.modelEndpoints[id].SetAnswers(func(standin.Run) standin.Answer {
			n := int(used.Add(1)) - 1
			return answers[min(n, len(answers)-1)]
		})
	}
}

// Guards against taking the end of a crashed process for the end of its answer: it looks the same between two events.
func TestEdgeCompletesStreamOfCrashedEndpoint(t *testing.T) {
	for _, n := range append([]int{0}, eventBoundaries()...) {
		for _, path := range []string{"/note/1", "/draft/1"} {
			t.Run(fmt.Sprint(path, " after ", n), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				env.useAnswers(standin.Answer{Unframed: true, Cut: standin.CutCrash, CutAfter: n}, standin.Answer{})
				resp := env.generate(path)
				if resumed := resp.err == nil && resp.body == completeStream; path == "/draft/1" && !resumed {
					t.Errorf("got error %v and body %q, want the complete stream; log:\n%s", resp.err, resp.body, env.log.String())
				}
				if path == "/note/1" && resp.err == nil {
					t.Errorf("got a stream without an error, with body %q", resp.body)
				}
				if !strings.HasPrefix(completeStream, resp.body) {
					t.Errorf("got body %q, want events of one stream", resp.body)
				}
			})
		}
	}
}

// Guards against an ordinary end of the caller's connection behind a stream that was reset.
func TestEdgeCompletesStreamThatWasReset(t *testing.T) {
	env := newTestEnv(t)
	for n := 1; n < len(completeStream); n += 7 {
		env.setAnswers(standin.Answer{Unframed: true, Cut: standin.CutReset, CutAfter: n})
		if resp := env.generate("/note/1"); resp.err == nil {
			t.Errorf("reset after %d bytes: got no error and body %q", n, resp.body)
		}
	}
}

// Guards against marking the end of a stream in chunks whose rest came from an endpoint that did not mark it: another
// endpoint must vouch for it, and no event may be doubled.
func TestEdgeMarksEndOfUnmarkedRest(t *testing.T) {
	cut := standin.Answer{Cut: standin.CutClose, CutAfter: 30}
	unframed := standin.Answer{Unframed: true}
	for name, c := range map[string]struct {
		answers  []standin.Answer
		complete bool
	}{
		"marked in the end":  {[]standin.Answer{cut, unframed, {}}, true},
		"never marked":       {[]standin.Answer{cut, unframed}, false},
		"broken off between": {[]standin.Answer{cut, {Unframed: true, Cut: standin.CutClose, CutAfter: 19}, {}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.useAnswers(c.answers...)
			resp := env.generate("/draft/1")
			if resp.claimsComplete() != c.complete || resp.body != completeStream {
				t.Errorf("got %+v, want complete %t and each event once; log:\n%s", resp, c.complete, env.log.String())
			}
		})
	}
}

// Guards against a broken call that is relayed as it is although the endpoint is known to have crashed.
func TestEdgeRelaysCallOfCrashedEndpoint(t *testing.T) {
	for path, want := range map[string]int{"/book/1": http.StatusBadGateway, "/read/1": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			var used atomic.Bool
			for _, e := range env.serviceEndpoints {
				e.SetAnswers(func(standin.Run) standin.Answer {
					if used.CompareAndSwap(false, true) {
						return standin.Answer{Unframed: true, Cut: standin.CutCrash, CutAfter: 5}
					}
					return standin.Answer{}
				})
			}
			resp := env.call(http.MethodPost, path)
			if resp.err != nil || resp.status != want || strings.HasPrefix(resp.body, "answ") != (want == http.StatusOK) {
				t.Errorf("got %+v, want status %d; log:\n%s", resp, want, env.log.String())
			}
			if runs, most := env.serviceRuns(), map[string]int{"/book/1": 1, "/read/1": 2}[path]; runs != most {
				t.Errorf("ran %d times, want %d", runs, most)
			}
		})
	}
}

// Guards against a connection of an HTTP/1.0 caller that ends in the ordinary way behind a broken stream: the caller has
// no chunks, so that this would be the end of the body.
func TestEdgeEndsBrokenStreamOfOldCaller(t *testing.T) {
	env := newTestEnv(t)
	for name, c := range map[string]struct {
		answer standin.Answer
		whole  bool
	}{
		"whole":      {standin.Answer{}, true},
		"broken off": {standin.Answer{Cut: standin.CutClose, CutAfter: 30}, false},
	} {
		env.setAnswers(c.answer)
		conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		_, err = fmt.Fprintf(conn, "POST /note/1 HTTP/1.0\r\nHost: h\r\nX-Pistachiovane-Attempt-Id: %s\r\n"+
			"X-Pistachiovane-Credential: key\r\nX-Pistachiovane-Token-Counts: 100,100\r\nContent-Length: 0\r\n\r\n", name)
		if err != nil {
			t.Fatal(err)
		}
		b, err := io.ReadAll(conn)
		if whole := strings.HasSuffix(string(b), completeStream); whole != c.whole || errors.Is(err, syscall.ECONNRESET) == whole {
			t.Errorf("%s: got %q and error %v", name, b, err)
		}
		_ = conn.Close()
	}
}

// Guards against a wrong length in the response to a HEAD request, whose body is not sent.
func TestEdgeKeepsLengthInResponseToHead(t *testing.T) {
	env := newTestEnv(t)
	r := env.newRequest(http.MethodHead, "/read/1", "")
	resp := env.send(r)
	if want := fmt.Sprint(len("answer of s1")); resp.status != http.StatusOK || resp.header.Get("Content-Length") != want {
		t.Errorf("got %+v, want Content-Length %s", resp, want)
	}
}

// Guards against a long unmarked body that is marked, cut short or doubled while it is passed on in pieces.
func TestEdgeRelaysLongUnframedBody(t *testing.T) {
	long := strings.Repeat("0123456789", 40000)
	for name, c := range map[string]struct {
		answer standin.Answer
		broken bool
	}{
		"whole": {standin.Answer{Unframed: true}, false},
		"reset": {standin.Answer{Unframed: true, Cut: standin.CutReset, CutAfter: 300000}, true},
		"crash": {standin.Answer{Unframed: true, Cut: standin.CutCrash, CutAfter: 300000}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			for _, e := range env.serviceEndpoints {
				e.ExtraBody = long
			}
			env.setAnswers(c.answer)
			resp := env.call(http.MethodPost, "/book/1")
			broken := resp.err != nil || resp.status == http.StatusBadGateway
			if broken != c.broken || resp.claimsComplete() || (!c.broken && !strings.HasSuffix(resp.body, long)) {
				t.Errorf("got status %d, error %v, %d bytes, unframed %t", resp.status, resp.err, len(resp.body), resp.unframed)
			}
		})
	}
}

// Guards against losing or doubling events when a stream is resumed whose events are no plain ones.
func TestEdgeResumesUnusualEvents(t *testing.T) {
	big := strings.Repeat("x", 3*(8<<10))
	for name, c := range map[string]struct {
		// event is the text of an event with a number.
		event func(n int) string
		// cutAfter is where the first endpoint breaks off.
		cutAfter int
		complete bool
	}{
		"id in the text": {func(n int) string { return fmt.Sprintf("id: %d\ndata: see id: 9\n\n", n) }, 60, true},
		"CRLF":           {func(n int) string { return fmt.Sprintf("id: %d\r\ndata: a\r\n\r\n", n) }, 40, true},
		"no id":          {func(int) string { return "data: a\n\n" }, 25, false},
		"long event":     {func(n int) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, big) }, 12000, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			whole := ""
			for n := range 5 {
				whole += c.event(n + 1)
			}
			for _, id := range []string{"d1", "d2"} {
				env.modelEndpoints[id].Event = c.event
			}
			env.useAnswers(standin.Answer{Cut: standin.CutClose, CutAfter: c.cutAfter}, standin.Answer{})
			resp := env.generate("/draft/1")
			if resp.claimsComplete() != c.complete || !strings.HasPrefix(whole, resp.body) {
				t.Errorf("got error %v and %d bytes, want complete %t and no event lost or doubled", resp.err, len(resp.body), c.complete)
			}
		})
	}
}

// Guards against accepting half an answer of the parts around a request: prefill, reservation.
func TestEdgeUsesUnframedControlAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		prefill, reservation standin.Answer
		want                 int
	}{
		"whole":              {standin.Answer{Unframed: true}, standin.Answer{Unframed: true}, http.StatusOK},
		"broken prefill":     {standin.Answer{Unframed: true, Cut: standin.CutClose, CutAfter: 20}, standin.Answer{}, http.StatusOK},
		"broken reservation": {standin.Answer{}, standin.Answer{Unframed: true, Cut: standin.CutClose, CutAfter: 8}, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.modelEndpoints["p1"].SetAnswers(func(standin.Run) standin.Answer { return c.prefill })
			for _, id := range []string{"d1", "d2"} {
				env.modelEndpoints[id].ReservationAnswer = c.reservation
			}
			resp := env.generate("/note/1")
			if resp.status != c.want {
				t.Errorf("got %+v, want status %d; log:\n%s", resp, c.want, env.log.String())
			}
			if name == "whole" && (len(env.modelEndpoints["p1"].Runs()) != 1 || strings.Contains(env.log.String(), "crash: suspected")) {
				t.Errorf("a whole prefill ran again or was held against the request; log:\n%s", env.log.String())
			}
			for _, id := range []string{"d1", "d2"} {
				for _, run := range env.modelEndpoints[id].Runs() {
					if source := run.Header.Get("X-Pistachiovane-Kv-Source"); source != "" && !strings.HasSuffix(source, "/k1") {
						t.Errorf("got KV cache source %q", source)
					}
				}
			}
		})
	}
}

// Guards against taking a page of the store that was broken off for a whole one, at any byte.
func TestEdgeUsesBrokenPageOfStore(t *testing.T) {
	env := newTestEnv(t)
	var n atomic.Int64
	env.store.SetAnswers(func(string) standin.Answer {
		return standin.Answer{Unframed: true, Cut: standin.CutClose, CutAfter: int(n.Add(1)) % 97}
	})
	env.store.Put(env.serviceEndpoints[0].StoreEntry("ready"))
	env.waitFor(func() bool { return n.Load() > 12 }, "the gateway should have read pages")
	if got := len(env.state().Endpoints); got != 5 {
		t.Errorf("got %d endpoints after broken pages, want 5; log:\n%s", got, env.log.String())
	}
	env.store.SetAnswers(func(string) standin.Answer { return standin.Answer{Unframed: true} })
	env.store.Remove("servers/s2")
	env.waitFor(func() bool { return len(env.state().Endpoints) == 4 }, "whole pages without a length should be used")
}

// Guards against a gateway that closes a kept connection behind answers whose end is marked.
func TestEdgeKeepsConnectionAfterMarkedAnswer(t *testing.T) {
	env := newTestEnv(t)
	conn, err := net.Dial("tcp", env.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n := range 3 {
		_, err := fmt.Fprintf(conn, "GET /read/1 HTTP/1.1\r\nHost: h\r\nX-Pistachiovane-Attempt-Id: k%d\r\n"+
			"X-Pistachiovane-Credential: key\r\n\r\n", n)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK || resp.Close {
			t.Errorf("got status %d, close %t, error %v", resp.StatusCode, resp.Close, err)
		}
		_ = resp.Body.Close()
	}
}
