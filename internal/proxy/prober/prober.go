// Package prober asks whether the process that a request was sent to still runs. A connection that opens shows only that
// something listens at the address, which may be in use again by another process. So the probe asks what answers there who
// it is, and asks again until it knows.
package prober

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// settleTime is the time from a broken connection to the probe. The connections of a process that crashes do not all
	// end at the same instant.
	settleTime = 5 * time.Millisecond
	// answerTimeout limits a probe for which a request waits. It is longer than two round trips between regions.
	answerTimeout = 200 * time.Millisecond
	// maxReportedStarts limits the starts that are remembered.
	maxReportedStarts = 1024
	// watchTimeout limits each probe of a watch.
	watchTimeout = time.Second
)

// watchDelays returns the pauses before the probes of a watch. Together they last longer than it takes until the entry of
// an endpoint that crashed is gone.
func watchDelays() []time.Duration {
	return []time.Duration{
		100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond,
		2 * time.Second, 2 * time.Second,
	}
}

// Process is the process at an address that is asked for.
type Process struct {
	Address    string
	EndpointID string
	// StartedAtMs is the Unix time of its start in ms, or zero if it is not known.
	StartedAtMs int64
	// Model is set if the process serves a model, so that it says when it started.
	Model bool
	// HealthPath is the path of its health check. It is empty if there is none.
	HealthPath string
}

// Identity is what a process says of itself. The zero value says nothing.
type Identity struct {
	EndpointID  string
	StartedAtMs int64
}

// Verdict is what a probe has found.
type Verdict uint8

// The verdicts of a probe.
const (
	// Unknown means that the probe has found nothing.
	Unknown Verdict = iota
	// Running means that the process answered.
	Running
	// SameID means that a process with its ID answered, which may have started since.
	SameID
	// Refused means that no process accepts connections at the address.
	Refused
	// Replaced means that another process answered.
	Replaced
	// Reachable means that something accepts connections at the address. It was not asked who it is.
	Reachable
)

// Gone reports whether the process no longer runs.
func (v Verdict) Gone() bool {
	return v == Refused || v == Replaced
}

// String returns the verdict as it appears in logs.
func (v Verdict) String() string {
	switch v {
	case Running:
		return "running"
	case SameID:
		return "same ID"
	case Refused:
		return "refused"
	case Replaced:
		return "replaced"
	case Reachable:
		return "reachable"
	default:
		return "unknown"
	}
}

// Prober probes processes. The connections of many requests break at once when an endpoint crashes, so they share one
// probe. It is safe for concurrent use.
type Prober struct {
	identify func(ctx context.Context, p Process) (Identity, error)
	dialer   net.Dialer

	// mu guards the fields below.
	mu sync.Mutex
	// waiting holds the probes that have not begun to connect.
	waiting map[Process]*probe
	// watched holds the processes that are being watched.
	watched map[Process]bool
	// reported holds the latest starts that processes reported, by address and ID. The endpoint list shows a start later.
	reported map[place]int64
}

// place is where a process answered, and the ID for which it was asked.
type place struct {
	address    string
	endpointID string
}

// probe is the probe of one process.
type probe struct {
	// done is closed once verdict and err are valid.
	done    chan struct{}
	verdict Verdict
	err     error
}

// New returns a Prober. identify must ask what answers at the address of a process, on a new connection, who it is.
func New(identify func(ctx context.Context, p Process) (Identity, error)) *Prober {
	return &Prober{
		identify: identify, dialer: net.Dialer{Timeout: answerTimeout, KeepAlive: -1},
		waiting: map[Process]*probe{}, watched: map[Process]bool{}, reported: map[place]int64{},
	}
}

// Probe asks for a process, not before settleTime has passed. The error says why the verdict is Unknown.
func (p *Prober) Probe(process Process) (Verdict, error) {
	p.mu.Lock()
	if shared, ok := p.waiting[process]; ok {
		p.mu.Unlock()
		<-shared.done
		return shared.verdict, shared.err
	}
	own := &probe{done: make(chan struct{})}
	p.waiting[process] = own
	p.mu.Unlock()
	time.Sleep(settleTime)
	p.mu.Lock()
	delete(p.waiting, process)
	p.mu.Unlock()
	own.verdict, own.err = p.ask(process, answerTimeout)
	close(own.done)
	return own.verdict, own.err
}

// Reach opens a connection to an address, not before settleTime has passed, and closes it. Nothing is sent, so it may be called
// for endpoints that want no requests. The error says why the verdict is not Reachable.
func (p *Prober) Reach(address string) (Verdict, error) {
	time.Sleep(settleTime)
	c, err := p.dialer.Dial("tcp", address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused, err
	case err != nil:
		return Unknown, err
	}
	// The only possible error is that the connection is closed already.
	_ = c.Close()
	return Reachable, nil
}

// Watch asks for a process again and again until report returns true for the verdict, or for as long as its entry may
// outlive it. report gets how long ago the probe began. Watch returns at once. A process that is being watched already is
// not watched twice.
func (p *Prober) Watch(process Process, report func(v Verdict, took time.Duration, err error) (done bool)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.watched[process] {
		return
	}
	p.watched[process] = true
	w := &watch{prober: p, process: process, report: report}
	go w.run()
}

// ask asks for a process once.
func (p *Prober) ask(process Process, timeout time.Duration) (Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	identity, err := p.identify(ctx, process)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused, err
	case err != nil:
		return Unknown, err
	default:
		return p.withReported(process, identity).compare(identity), nil
	}
}

// withReported returns a process with the latest start that was reported at its place, if that is later than the one in the
// list, and remembers the start that an answer reports.
func (p *Prober) withReported(process Process, answered Identity) Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	at := place{address: process.Address, endpointID: process.EndpointID}
	if process.StartedAtMs != 0 {
		process.StartedAtMs = max(process.StartedAtMs, p.reported[at])
	}
	if len(p.reported) >= maxReportedStarts {
		clear(p.reported)
	}
	if answered.StartedAtMs != 0 {
		p.reported[at] = answered.StartedAtMs
	}
	return process
}

// compare returns what an answer says about the process.
func (p Process) compare(answered Identity) Verdict {
	switch {
	case answered.EndpointID != "" && answered.EndpointID != p.EndpointID:
		return Replaced
	case answered.StartedAtMs != 0 && p.StartedAtMs != 0 && answered.StartedAtMs != p.StartedAtMs:
		return Replaced
	case answered.StartedAtMs != 0 && p.StartedAtMs != 0:
		return Running
	case answered.EndpointID != "":
		return SameID
	default:
		return Unknown
	}
}

// watch asks for one process until it is known what became of it.
type watch struct {
	prober  *Prober
	process Process
	report  func(v Verdict, took time.Duration, err error) (done bool)
}

// run probes after each of watchDelays.
func (w *watch) run() {
	defer w.end()
	for _, delay := range watchDelays() {
		time.Sleep(delay)
		startedAt := time.Now()
		v, err := w.prober.ask(w.process, watchTimeout)
		if w.report(v, time.Since(startedAt), err) {
			return
		}
	}
}

// end forgets the watch.
func (w *watch) end() {
	w.prober.mu.Lock()
	defer w.prober.mu.Unlock()
	delete(w.prober.watched, w.process)
}
