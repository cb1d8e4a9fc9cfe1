package exchanger_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/exchanger"
)

// serve answers each request on a connection with the next text; an empty text closes it.
func serve(t *testing.T, answers ...string) (address string, conns *int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	conns = new(int)
	texts := make(chan string, len(answers))
	for _, a := range answers {
		texts <- a
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			*conns++
			go answer(c, texts)
		}
	}()
	return l.Addr().String(), conns
}

func answer(c net.Conn, texts <-chan string) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := <-texts
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if strings.HasSuffix(text, "unframed") {
			return
		}
	}
}

func do(t *testing.T, e *exchanger.Exchanger, address string) (string, error) {
	t.Helper()
	head := &http.Request{Method: http.MethodPost, RequestURI: "/a?b", Host: "h", Header: http.Header{}}
	mine := func(h http.Header) bool { return h.Get("Id") == "1" }
	a, err := e.Do(context.Background(), address, exchanger.Request{Head: head, Body: []byte("body"), MatchesResponse: mine})
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

func fresh() *exchanger.Exchanger {
	return exchanger.New(exchanger.Options{DialTimeout: time.Second, IdleTimeout: time.Second}, clock.SinceBoot)
}

const good = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ngood"

func TestConnectionIsUsedAgain(t *testing.T) {
	address, conns := serve(t, good, good)
	e := fresh()
	for range 2 {
		if got, err := do(t, e, address); err != nil || got != "good" {
			t.Fatalf("got %q, %v", got, err)
		}
	}
	if *conns != 1 {
		t.Errorf("%d connections were opened, want 1", *conns)
	}
}

func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 5\r\n\r\nstray"+good)
	if got, err := do(t, fresh(), address); err != nil || got != "good" {
		t.Fatalf("got %q, %v", got, err)
	}
}

func TestConnectionWithASecondAnswerIsDropped(t *testing.T) {
	address, conns := serve(t, good+good, good)
	e := fresh()
	for range 2 {
		if got, err := do(t, e, address); err != nil || got != "good" {
			t.Fatalf("got %q, %v", got, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if *conns != 2 {
		t.Errorf("%d connections were opened, want 2: the first had bytes that belong to no request", *conns)
	}
}

func TestConnectionOfAnUnframedAnswerIsDropped(t *testing.T) {
	address, conns := serve(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nunframed", good)
	e := fresh()
	if got, err := do(t, e, address); err != nil || got != "unframed" {
		t.Fatalf("got %q, %v", got, err)
	}
	if _, err := do(t, e, address); err != nil || *conns != 2 {
		t.Errorf("%d connections, %v", *conns, err)
	}
}

func TestCutAnswerIsAnError(t *testing.T) {
	address, _ := serve(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nunframed")
	if got, err := do(t, fresh(), address); err == nil {
		t.Errorf("a cut answer was read as %q", got)
	}
}

func TestFailureTellsHowFarItCame(t *testing.T) {
	address, _ := serve(t, "")
	_, err := do(t, fresh(), address)
	var f *exchanger.Failure
	if !errors.As(err, &f) || f.SendState != exchanger.PossiblySent {
		t.Errorf("got %v, want a request that may have run", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gone := l.Addr().String()
	_ = l.Close()
	_, err = do(t, fresh(), gone)
	if !errors.As(err, &f) || f.SendState != exchanger.NotSent {
		t.Errorf("got %v, want a request that was not sent", err)
	}
}

func TestContextEndsAnExchange(t *testing.T) {
	address, _ := serve(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	began := time.Now()
	head := &http.Request{Method: http.MethodGet, RequestURI: "/", Host: "h", Header: http.Header{}}
	if _, err := fresh().Do(ctx, address, exchanger.Request{Head: head}); err == nil {
		t.Fatal("an answer came from nowhere")
	}
	if d := time.Since(began); d > 5*time.Second {
		t.Errorf("the exchange ended after %v", d)
	}
}
