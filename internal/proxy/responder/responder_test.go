package responder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
	"github.com/pistachiovane/pistachiovane/internal/proxy/responder"
)

// exchange sends a request to a server that answers with the handler, and returns what the caller reads until the end
// of the connection, and the error that ends it.
func exchange(t *testing.T, version string, handler func(r *responder.Responder)) (string, error) {
	t.Helper()
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler(responder.New(r.Context(), w, r.ProtoAtLeast(1, 1)))
	}))
	s.Config.ConnContext = responder.WithConn
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "GET / HTTP/%s\r\nHost: h\r\nConnection: close\r\n\r\n", version); err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(c)
	return string(b), err
}

// Guards against telling a caller that a body is complete when nobody knows: by a length, by a last chunk or by an
// ordinary end of a connection that is the only mark of the end.
func TestEndOfResponse(t *testing.T) {
	for _, c := range []struct {
		version   string
		delimiter delimiter.Delimiter
		abort     bool
		// marked is whether the head says how the end is marked.
		marked bool
		// complete is whether the caller takes the response for complete.
		complete bool
	}{
		{"1.1", delimiter.Chunks, false, true, true},
		{"1.1", delimiter.Chunks, true, true, false},
		{"1.1", delimiter.Length, false, true, true},
		{"1.1", delimiter.ConnectionEnd, false, false, true},
		{"1.1", delimiter.ConnectionEnd, true, false, false},
		{"1.0", delimiter.Chunks, false, false, true},
		{"1.0", delimiter.Chunks, true, false, false},
		{"1.0", delimiter.ConnectionEnd, true, false, false},
	} {
		t.Run(fmt.Sprintf("%s %v abort %t", c.version, c.delimiter, c.abort), func(t *testing.T) {
			got, err := exchange(t, c.version, func(r *responder.Responder) {
				r.WriteHead(http.StatusOK, c.delimiter)
				if r.MarksEnd() != c.marked {
					t.Errorf("marks the end: %t", r.MarksEnd())
				}
				_, _ = io.WriteString(r, "a part")
				_ = r.Flush()
				if c.abort {
					r.Abort()
				}
				r.Finish()
			})
			head, _, _ := strings.Cut(got, "\r\n\r\n")
			if marked := strings.Contains(head, "chunked") || strings.Contains(head, "Content-Length"); marked != c.marked {
				t.Errorf("got head %q, want a marked end %t", head, c.marked)
			}
			if strings.Contains(head, "identity") {
				t.Errorf("got head %q, want no transfer encoding of our own", head)
			}
			if complete(got, err) != c.complete {
				t.Errorf("got %q and error %v, want complete %t", got, err, c.complete)
			}
		})
	}
}

// complete reports whether a caller takes what it has read for a complete response.
func complete(got string, readErr error) bool {
	if errors.Is(readErr, syscall.ECONNRESET) {
		return false
	}
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(got)), nil)
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	return err == nil && string(body) == "a part"
}

// Guards against a length or an end of our own on a refusal, which has no body.
func TestRefusalKeepsItsLength(t *testing.T) {
	got, err := exchange(t, "1.1", func(r *responder.Responder) {
		r.Header().Set("Content-Length", "0")
		r.WriteHead(http.StatusServiceUnavailable, delimiter.Length)
		r.Finish()
	})
	if err != nil || !strings.Contains(got, "Content-Length: 0\r\n") {
		t.Errorf("got %q and error %v, want a response of length 0", got, err)
	}
}
