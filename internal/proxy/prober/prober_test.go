package prober_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
)

// When an endpoint crashes, all its connections break at once. Each of them must get the result, of few connections.
func TestEachBrokenConnectionProbes(t *testing.T) {
	var connections atomic.Int32
	refused := errors.New("refused")
	p := prober.New(func(_ context.Context, address string) error {
		connections.Add(1)
		if address == "down" {
			return refused
		}
		return nil
	})
	var done sync.WaitGroup
	var wrong atomic.Int32
	for range 200 {
		for address, want := range map[string]error{"down": refused, "up": nil} {
			done.Add(1)
			go func() {
				defer done.Done()
				if err := p.Probe(address); !errors.Is(err, want) {
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
