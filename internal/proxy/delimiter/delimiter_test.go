package delimiter_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/proxy/delimiter"
)

// Guards against taking a response that has no body for one that ends with its connection, and the reverse.
func TestNew(t *testing.T) {
	for _, c := range []struct {
		name, method, response string
		want                   delimiter.Delimiter
	}{
		{"length", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", delimiter.Length},
		{"empty", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", delimiter.None},
		{"chunks", "GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", delimiter.Chunks},
		{"neither", "GET", "HTTP/1.1 200 OK\r\n\r\nx", delimiter.ConnectionEnd},
		{"neither, nothing sent", "GET", "HTTP/1.1 200 OK\r\n\r\n", delimiter.ConnectionEnd},
		{"HTTP/1.0", "GET", "HTTP/1.0 200 OK\r\n\r\nx", delimiter.ConnectionEnd},
		{"HEAD", "HEAD", "HTTP/1.1 200 OK\r\n\r\n", delimiter.None},
		{"HEAD with length", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", delimiter.Length},
		{"204", "GET", "HTTP/1.1 204 No Content\r\n\r\n", delimiter.None},
		{"304", "GET", "HTTP/1.1 304 Not Modified\r\n\r\n", delimiter.None},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.response)), &http.Request{Method: c.method})
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = r.Body.Close() }()
			got := delimiter.New(r)
			if got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
			if got.MarksEnd() != (c.want != delimiter.ConnectionEnd) {
				t.Errorf("%v marks the end: %t", got, got.MarksEnd())
			}
		})
	}
}
