package executor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// startRepeatingEngine starts an engine that numbers its KV caches. On each kept connection it sends the previous answer
// once more when the next request has arrived.
func startRepeatingEngine(t *testing.T) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	handles := make(chan string, 20)
	for n := range cap(handles) {
		handles <- fmt.Sprintf("k%d", n)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go repeatAnswers(c, handles)
		}
	}()
	return l.Addr().String()
}

// repeatAnswers answers the prefills on one connection.
func repeatAnswers(c net.Conn, handles <-chan string) {
	defer func() { _ = c.Close() }()
	reader, previous := bufio.NewReader(c), ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		body := fmt.Sprintf(`{"handle":%q}`, <-handles)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(c, previous+answer); err != nil {
			return
		}
		previous = answer
	}
}

// Answers of an engine have no ID. A late copy of an earlier one was taken for the answer to the next prefill.
func TestLateCopyIsTakenForAnswerOfEngine(t *testing.T) {
	e := New(Options{
		EngineURL: "http://" + startRepeatingEngine(t), DecodeSlots: 4, MemoryPieces: 8, ReservationTimeout: time.Hour,
	}, &http.Client{Transport: &http.Transport{}})
	for n := range 6 {
		r := fleet.StageRequest{Attempt: fleet.Attempt{RequestID: uint64(n)}}
		got := e.Prefill(context.Background(), &fleet.Peer{Name: "gw-1"}, r)
		if want := fmt.Sprintf("k%d", n); got.KVHandle != want {
			t.Errorf("prefill %d: got %+v, want the KV cache %s", n, got, want)
		}
	}
}
