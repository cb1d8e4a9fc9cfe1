package reader_test

import (
	"bytes"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/peer/reader"
)

// Reading must end for any bytes, and not invent a body.
func FuzzRead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, wire []byte) {
		r := reader.Read(bytes.NewReader(wire))
		if len(r.Body) > len(wire) || (r.Complete && r.Status == 0) {
			t.Errorf("%q: got %+v", wire, r)
		}
	})
}
