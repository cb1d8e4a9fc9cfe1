package scanner_test

import (
	"strings"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/proxy/scanner"
)

// Guards against a wrong end of an event, however the bytes are cut into reads.
func TestScan(t *testing.T) {
	long := strings.Repeat("x", 300)
	for _, c := range []struct {
		name, stream string
		// complete is the part of the stream up to the end of its last complete event.
		complete string
		events   int
		lastID   string
		known    bool
	}{
		{"empty", "", "", 0, "", true},
		{"two events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 2, "2", true},
		{"broken off in the data", "id: 1\ndata: a\n\nid: 2\ndata", "id: 1\ndata: a\n\n", 1, "1", true},
		{"broken off before the blank line", "id: 1\ndata: a\n\nid: 2\ndata: b\n", "id: 1\ndata: a\n\n", 1, "1", true},
		{"CRLF", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", 1, "1", true},
		{"CR", "id: 1\rdata: a\r\rid: 2", "id: 1\rdata: a\r\r", 1, "1", true},
		{"no space", "id:7\ndata:a\n\n", "id:7\ndata:a\n\n", 1, "7", true},
		{"id in the data", "id: 3\ndata: see id: 9\n\n", "id: 3\ndata: see id: 9\n\n", 1, "3", true},
		{"id field of another name", "idx: 3\ndata: a\n\n", "idx: 3\ndata: a\n\n", 1, "", false},
		{"event without id", "id: 1\ndata: a\n\ndata: b\n\n", "id: 1\ndata: a\n\ndata: b\n\n", 2, "1", false},
		{"other text", "HTTP/1.1 500 no\r\n\r\n", "HTTP/1.1 500 no\r\n\r\n", 1, "", false},
		{"retry", "retry: 5\n\nevent: a\n\n", "retry: 5\n\nevent: a\n\n", 2, "", true},
		{"comment", "id: 1\ndata: a\n\n: ping\n\n", "id: 1\ndata: a\n\n: ping\n\n", 2, "1", true},
		{"blank lines", "id: 1\ndata: a\n\n\n\n", "id: 1\ndata: a\n\n\n\n", 1, "1", true},
		{"long id", "id: " + long + "\ndata: a\n\n", "id: " + long + "\ndata: a\n\n", 1, "", false},
		{"long data", "data: " + long + "\nid: 4\n\n", "data: " + long + "\nid: 4\n\n", 1, "4", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for size := 1; size <= len(c.stream)+1; size++ {
				var s scanner.Scanner
				end := 0
				for at := 0; at < len(c.stream); at += size {
					if n := s.Scan([]byte(c.stream[at:min(at+size, len(c.stream))])); n > 0 {
						end = at + n
					}
				}
				lastID, known := s.LastEventID()
				if c.stream[:end] != c.complete || s.Events() != c.events || known != c.known || known && lastID != c.lastID {
					t.Errorf("reads of %d bytes: got %q, %d events, last %q %t", size, c.stream[:end], s.Events(), lastID, known)
				}
				if s.Inside() != (c.complete != c.stream) {
					t.Errorf("reads of %d bytes: got inside %t", size, s.Inside())
				}
			}
		})
	}
}

// Guards against taking the rest of a broken-off event for a part of the next one.
func TestDropIncomplete(t *testing.T) {
	var s scanner.Scanner
	s.Scan([]byte("id: 1\ndata: a\n\nid: 2\nda"))
	s.DropIncomplete()
	if n := s.Scan([]byte("id: 2\ndata: b\n\n")); n != 15 || s.Events() != 2 {
		t.Errorf("got %d bytes and %d events, want 15 and 2", n, s.Events())
	}
}

// FuzzScan checks that the cut into reads changes nothing and that the part after the last event is what is inside.
func FuzzScan(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\r\ndata", 3)
	f.Fuzz(func(t *testing.T, stream string, cut int) {
		var whole, cutUp scanner.Scanner
		end := whole.Scan([]byte(stream))
		cut = max(0, min(cut, len(stream)))
		cutUp.Scan([]byte(stream[:cut]))
		cutUp.Scan([]byte(stream[cut:]))
		if wholeID, known := whole.LastEventID(); whole.Events() != cutUp.Events() || whole.Inside() != cutUp.Inside() {
			t.Errorf("%q cut at %d: the scanners differ", stream, cut)
		} else if id, ok := cutUp.LastEventID(); id != wholeID || ok != known {
			t.Errorf("%q cut at %d: got last ID %q %t, want %q %t", stream, cut, id, ok, wholeID, known)
		}
		if whole.Inside() != (end < len(stream)) {
			t.Errorf("%q: complete up to %d, inside %t", stream, end, whole.Inside())
		}
	})
}

func BenchmarkScan(b *testing.B) {
	event := []byte("id: 17\ndata: a piece of text of a usual length\n\n")
	var s scanner.Scanner
	b.SetBytes(int64(len(event)))
	b.ReportAllocs()
	for b.Loop() {
		s.Scan(event)
	}
}
