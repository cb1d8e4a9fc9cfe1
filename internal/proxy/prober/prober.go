// Package prober finds out whether an endpoint still accepts connections after one of its connections broke.
package prober

import (
	"context"
	"sync"
	"time"
)

const (
	// settleTime is the time from a broken connection to the probe. The connections of a process that crashes do not all
	// end at the same instant.
	settleTime = 5 * time.Millisecond
	// connectTimeout limits a probe. It is longer than the round trip between regions.
	connectTimeout = 100 * time.Millisecond
)

// Prober probes endpoints. The connections of many requests break at once when an endpoint crashes, so they share one
// probe. It is safe for concurrent use.
type Prober struct {
	connect func(ctx context.Context, address string) error

	// mu guards the field below.
	mu sync.Mutex
	// waiting holds the probes that have not begun to connect, by address.
	waiting map[string]*probe
}

// probe is the probe of one address.
type probe struct {
	// done is closed once err is valid.
	done chan struct{}
	err  error
}

// New returns a Prober. connect must open a connection to an address and close it again.
func New(connect func(ctx context.Context, address string) error) *Prober {
	return &Prober{connect: connect, waiting: map[string]*probe{}}
}

// Probe connects to an address, not before settleTime has passed, and returns the error of connecting.
func (p *Prober) Probe(address string) error {
	p.mu.Lock()
	if shared, ok := p.waiting[address]; ok {
		p.mu.Unlock()
		<-shared.done
		return shared.err
	}
	own := &probe{done: make(chan struct{})}
	p.waiting[address] = own
	p.mu.Unlock()
	time.Sleep(settleTime)
	p.mu.Lock()
	delete(p.waiting, address)
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	own.err = p.connect(ctx, address)
	close(own.done)
	return own.err
}
