package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
)

// Whatever bytes an endpoint sends, the exchange must end, without a panic, and a response must be the one to the request.
func FuzzResponse(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\nbody"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 no\r\nId: 2\r\nContent-Length: 0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Skip(err)
		}
		defer func() { _ = l.Close() }()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = c.Write(wire)
			_ = c.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // a TCP listener accepts these
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		head := &http.Request{Method: http.MethodPost, RequestURI: "/", Host: "h", Header: http.Header{}}
		response, err := newExchanger().Do(ctx, l.Addr().String(), exchanger.Request{
			Head: head, MatchesResponse: func(h http.Header) bool { return h.Get("Id") == "1" },
		})
		if err != nil {
			return
		}
		defer response.Close()
		if response.Header.Get("Id") != "1" || response.StatusCode < 200 {
			t.Errorf("got a response with header %v and status %d, want the one to the request", response.Header, response.StatusCode)
		}
		_, _ = io.Copy(io.Discard, response)
		if ctx.Err() != nil {
			t.Error("the exchange did not end with its connection")
		}
	})
}
