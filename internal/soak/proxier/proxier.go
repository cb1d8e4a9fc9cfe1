// Package proxier passes TCP connections on over loopback and disturbs them on request, for tests that inject faults between
// processes from outside.
package proxier

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what a proxy does to its connections.
type Fault uint8

// The faults.
const (
	// None passes everything on.
	None Fault = iota
	// Delay holds each piece back for a while.
	Delay
	// Reset closes all connections abruptly, and each new one.
	Reset
	// Silence passes nothing on, in neither direction; connections stay open.
	Silence
	// OneWay passes requests on and keeps the answers.
	OneWay
)

func (f Fault) String() string {
	return [...]string{"none", "delay", "reset", "silence", "one-way"}[f]
}

const (
	// delayTime is how long Delay holds a piece back.
	delayTime = 150 * time.Millisecond
	// maxChunkBytes is the largest piece.
	maxChunkBytes = 16 << 10
	// dialTimeout bounds the opening of a connection to the target.
	dialTimeout = time.Second
)

// Proxier is one proxy in front of one target. It is safe for concurrent use.
type Proxier struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	fault Fault
	// faultChanged is closed at the next change of the fault.
	faultChanged chan struct{}
	conns        map[net.Conn]bool
	closed       bool
}

// New starts a proxy on a free port of loopback.
func New(target string) (*Proxier, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // it listens until Close
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	p := &Proxier{listener: l, target: target, faultChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.runAccept()
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxier) Address() string {
	return p.listener.Addr().String()
}

// SetFault changes the fault. What was held back by a silence goes on when it ends.
func (p *Proxier) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
	if f == Reset {
		p.resetAll()
	}
}

// Fault returns the fault in force.
func (p *Proxier) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Close ends the proxy and its connections.
func (p *Proxier) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
	p.resetAll()
}

// resetAll closes all connections abruptly. The lock must be held.
func (p *Proxier) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxier) runAccept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.runConn(c)
	}
}

// runConn passes one connection on until it ends on either side.
func (p *Proxier) runConn(c net.Conn) {
	if !p.addConn(c) {
		reset(c)
		return
	}
	defer p.removeConn(c)
	t, err := net.DialTimeout("tcp", p.target, dialTimeout) //nolint:noctx // it has a time-out
	if err != nil {
		reset(c)
		return
	}
	if !p.addConn(t) {
		reset(c)
		reset(t)
		return
	}
	defer p.removeConn(t)
	done := make(chan struct{}, 2)
	go func() { p.runCopy(t, c, false); done <- struct{}{} }()
	go func() { p.runCopy(c, t, true); done <- struct{}{} }()
	<-done
	reset(c)
	reset(t)
	<-done
}

func (p *Proxier) addConn(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxier) removeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// runCopy passes one direction on; answers tells which. An orderly end is passed on too.
func (p *Proxier) runCopy(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if !p.awaitForward(isResponse) {
			return
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) && isResponse {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
				time.Sleep(delayTime)
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitForward returns once a piece may go on; false when the proxy has ended.
func (p *Proxier) awaitForward(isResponse bool) bool {
	for {
		p.mu.Lock()
		fault, faultChanged, closed := p.fault, p.faultChanged, p.closed
		p.mu.Unlock()
		switch {
		case closed:
			return false
		case fault == Silence, fault == OneWay && isResponse:
			<-faultChanged
		case fault == Delay:
			time.Sleep(delayTime)
			return true
		default:
			return true
		}
	}
}
