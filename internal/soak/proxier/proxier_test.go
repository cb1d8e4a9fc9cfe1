package proxier_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/proxier"
)

// startEchoServer starts a server that sends each received line back, and returns its address.
func startEchoServer(t *testing.T) string {
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

// exchange sends a line and returns whether it comes back within the timeout.
func exchange(c net.Conn, timeout time.Duration) bool {
	if _, err := fmt.Fprintln(c, "hello"); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "hello\n"
}

// TestFaults guards against network faults that have no effect or outlast their end. It sends a line through the
// proxy under each fault.
func TestFaults(t *testing.T) {
	p, err := proxier.New(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	// Dial fails when the proxy resets the connection before it is established, so that its error is a result here.
	connectAndExchange := func(timeout time.Duration) bool {
		c, err := net.Dial("tcp", p.Address())
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		return exchange(c, timeout)
	}
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if !exchange(c, time.Second) {
		t.Fatal("got no response without a fault, want one")
	}
	for _, f := range []proxier.Fault{proxier.Silence, proxier.OneWay} {
		p.SetFault(f)
		if connectAndExchange(100 * time.Millisecond) {
			t.Errorf("got a response under fault %v, want none", f)
		}
		p.SetFault(proxier.None)
	}
	p.SetFault(proxier.Delay)
	if startedAt := time.Now(); !exchange(c, 2*time.Second) || time.Since(startedAt) < 200*time.Millisecond {
		t.Error("got no response or one in less than 200 ms under delay, want one after 200 ms to 2 s")
	}
	p.SetFault(proxier.Reset)
	if exchange(c, time.Second) || connectAndExchange(time.Second) {
		t.Error("got a response under reset, want none on open and new connections")
	}
	p.SetFault(proxier.None)
	if !connectAndExchange(time.Second) {
		t.Error("got no response after the last fault ended, want one")
	}
}
