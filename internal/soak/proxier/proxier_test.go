package proxier_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/proxier"
)

// echo starts a server that answers each line with the same line.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				for s := bufio.NewScanner(c); s.Scan(); {
					_, _ = fmt.Fprintln(c, s.Text())
				}
			}()
		}
	}()
	return l.Addr().String()
}

// ask sends a line and returns whether it comes back within a time.
func ask(c net.Conn, within time.Duration) bool {
	if _, err := fmt.Fprintln(c, "hello"); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(within))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "hello\n"
}

func TestFaults(t *testing.T) {
	p, err := proxier.New(echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	// A proxy that resets each connection may do so before it counts as open.
	reach := func(within time.Duration) bool {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		return ask(c, within)
	}
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if !ask(c, time.Second) {
		t.Fatal("nothing came through without a fault")
	}
	for _, f := range []proxier.Fault{proxier.Silence, proxier.OneWay} {
		p.SetFault(f)
		if reach(100 * time.Millisecond) {
			t.Errorf("an answer came through %v", f)
		}
		p.SetFault(proxier.None)
	}
	p.SetFault(proxier.Delay)
	if began := time.Now(); !ask(c, 2*time.Second) || time.Since(began) < 200*time.Millisecond {
		t.Error("a delayed connection was not slow, or ended")
	}
	p.SetFault(proxier.Reset)
	if ask(c, time.Second) || reach(time.Second) {
		t.Error("a connection outlived a reset")
	}
	p.SetFault(proxier.None)
	if !reach(time.Second) {
		t.Error("nothing came through after the faults")
	}
}
