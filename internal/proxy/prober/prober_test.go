package prober_test

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
)

// When an endpoint crashes, all its connections break at once. Each of them must get the result, of few connections.
func TestEachBrokenConnectionProbes(t *testing.T) {
	var connections atomic.Int32
	p := prober.New(func(_ context.Context, process prober.Process) (prober.Identity, error) {
		connections.Add(1)
		if process.Address == "down" {
			return prober.Identity{}, errors.Wrap(syscall.ECONNREFUSED, "connect")
		}
		return prober.Identity{EndpointID: process.EndpointID}, nil
	})
	var done sync.WaitGroup
	var wrong atomic.Int32
	for range 200 {
		for address, want := range map[string]prober.Verdict{"down": prober.Refused, "up": prober.SameID} {
			done.Add(1)
			go func() {
				defer done.Done()
				if got, _ := p.Probe(prober.Process{Address: address, EndpointID: "a"}); got != want {
					wrong.Add(1)
				}
			}()
		}
	}
	done.Wait()
	if n := wrong.Load(); n > 0 {
		t.Errorf("got %d wrong results of 400, want none", n)
	}
	if n := connections.Load(); n > 40 {
		t.Errorf("got %d connections for 400 probes of two addresses, want far fewer", n)
	}
}

// What answers at an address need not be the process that was there.
func TestProbeTakesAnyAnswerForTheProcess(t *testing.T) {
	known := prober.Process{Address: "x", EndpointID: "a", StartedAtMs: 5}
	unknownStart := prober.Process{Address: "x", EndpointID: "a"}
	for name, c := range map[string]struct {
		process  prober.Process
		answered prober.Identity
		err      error
		want     prober.Verdict
	}{
		"its start":               {known, prober.Identity{StartedAtMs: 5}, nil, prober.Running},
		"its ID and start":        {known, prober.Identity{EndpointID: "a", StartedAtMs: 5}, nil, prober.Running},
		"its ID":                  {known, prober.Identity{EndpointID: "a"}, nil, prober.SameID},
		"its ID, another start":   {known, prober.Identity{EndpointID: "a", StartedAtMs: 6}, nil, prober.Replaced},
		"another start":           {known, prober.Identity{StartedAtMs: 6}, nil, prober.Replaced},
		"another ID":              {known, prober.Identity{EndpointID: "b"}, nil, prober.Replaced},
		"another ID, its start":   {known, prober.Identity{EndpointID: "b", StartedAtMs: 5}, nil, prober.Replaced},
		"a start, none known":     {unknownStart, prober.Identity{StartedAtMs: 6}, nil, prober.Unknown},
		"its ID, no start known":  {unknownStart, prober.Identity{EndpointID: "a", StartedAtMs: 6}, nil, prober.SameID},
		"another ID, none known":  {unknownStart, prober.Identity{EndpointID: "b"}, nil, prober.Replaced},
		"nothing":                 {known, prober.Identity{}, context.DeadlineExceeded, prober.Unknown},
		"a refused connection":    {known, prober.Identity{}, syscall.ECONNREFUSED, prober.Refused},
		"a connection that broke": {known, prober.Identity{}, syscall.ECONNRESET, prober.Unknown},
	} {
		t.Run(name, func(t *testing.T) {
			p := prober.New(func(context.Context, prober.Process) (prober.Identity, error) { return c.answered, c.err })
			if got, _ := p.Probe(c.process); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// A probe that finds nothing, because the network lost it, must be repeated until something is known, once for all that
// wait.
func TestLostProbeIsNotRepeated(t *testing.T) {
	var asked atomic.Int32
	p := prober.New(func(context.Context, prober.Process) (prober.Identity, error) {
		if asked.Add(1) < 3 {
			return prober.Identity{}, context.DeadlineExceeded
		}
		return prober.Identity{EndpointID: "b"}, nil
	})
	verdicts := make(chan prober.Verdict, 10)
	for range 3 {
		p.Watch(prober.Process{Address: "x", EndpointID: "a"}, func(v prober.Verdict, _ time.Duration, _ error) bool {
			verdicts <- v
			return v != prober.Unknown
		})
	}
	for _, want := range []prober.Verdict{prober.Unknown, prober.Unknown, prober.Replaced} {
		select {
		case got := <-verdicts:
			if got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("got no verdict in 5 s, want %v", want)
		}
	}
	time.Sleep(time.Second)
	if n := asked.Load(); n != 3 {
		t.Errorf("asked %d times, want 3", n)
	}
}

// An endpoint that has just started again under its ID is listed with its earlier start for a while. That shows one crash,
// not one at each probe (found by drawn exchanges: a whole answer without a marked end was broken off twice).
func TestRestartedProcessIsReplacedAgainAndAgain(t *testing.T) {
	start := int64(6)
	p := prober.New(func(context.Context, prober.Process) (prober.Identity, error) {
		return prober.Identity{StartedAtMs: start}, nil
	})
	listed := prober.Process{Address: "x", EndpointID: "a", StartedAtMs: 5}
	for i, want := range []prober.Verdict{prober.Replaced, prober.Running, prober.Running} {
		if got, _ := p.Probe(listed); got != want {
			t.Errorf("probe %d: got %v, want %v", i, got, want)
		}
	}
	start = 7
	if got, _ := p.Probe(listed); got != prober.Replaced {
		t.Errorf("got %v after another start, want replaced", got)
	}
}

// Whether an endpoint that wants no requests still runs must be found out without sending it anything.
func TestReachSendsBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address, received := l.Addr().String(), make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			received <- -1
			return
		}
		b, _ := io.ReadAll(c)
		_ = c.Close()
		received <- len(b)
	}()
	p := prober.New(nil)
	if v, err := p.Reach(address); v != prober.Reachable || err != nil {
		t.Errorf("got %v and error %v for an address that accepts connections, want reachable", v, err)
	}
	if n := <-received; n != 0 {
		t.Errorf("got %d bytes, want none", n)
	}
	_ = l.Close()
	if v, err := p.Reach(address); v != prober.Refused || err == nil {
		t.Errorf("got %v and error %v for an address that refuses connections, want refused", v, err)
	}
	if v, err := p.Reach("nowhere"); v != prober.Unknown || err == nil {
		t.Errorf("got %v and error %v for an impossible address, want unknown", v, err)
	}
}
