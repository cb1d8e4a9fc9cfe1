// Package proxier forwards TCP connections over loopback and disturbs them on request, for tests that inject
// network faults between processes.
package proxier

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is a way in which a proxy disturbs its connections.
type Fault uint8

// The network faults that a proxy can apply.
const (
	// None forwards everything.
	None Fault = iota
	// Delay forwards each chunk after delayTime.
	Delay
	// Reset closes all open connections with a TCP reset, and each new connection.
	Reset
	// Silence forwards nothing in either direction; connections stay open.
	Silence
	// OneWay forwards what callers send to the target, but nothing from the target to the callers.
	OneWay
)

// String returns the name of the fault in reports.
func (f Fault) String() string {
	return [...]string{"none", "delay", "reset", "silence", "one-way"}[f]
}

const (
	// delayTime is the time by which Delay delays each chunk.
	delayTime = 150 * time.Millisecond
	// maxChunkBytes is the most that is read and forwarded at once.
	maxChunkBytes = 16 << 10
	// dialTimeout is the time limit for a connection to the target.
	dialTimeout = time.Second
)

// Proxier is a proxy in front of one target. It is safe for concurrent use.
type Proxier struct {
	listener net.Listener
	// target is the address to which connections are forwarded.
	target string

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	// faultChanged is closed and replaced at each change of the fault, and when the proxy is closed.
	faultChanged chan struct{}
	// conns holds the open connections of both sides.
	conns  map[net.Conn]bool
	closed bool
}

// New starts a proxy to the target address on a free port of the loopback interface. It fails when it can't listen.
func New(target string) (*Proxier, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // listens until Close
	if err != nil {
		return nil, errors.Wrap(err, "listen on the loopback interface")
	}
	p := &Proxier{listener: l, target: target, faultChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.runAccept()
	return p, nil
}

// Address returns the "host:port" on which the proxy listens.
func (p *Proxier) Address() string {
	return p.listener.Addr().String()
}

// SetFault replaces the active fault; None ends it. Data that Silence or OneWay held back is forwarded when that fault
// ends. Reset closes the open connections at once.
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

// Fault returns the active fault.
func (p *Proxier) Fault() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Close stops listening and closes all connections with a TCP reset.
func (p *Proxier) Close() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	close(p.faultChanged)
	p.faultChanged = make(chan struct{})
	p.resetAll()
}

// resetAll closes all connections with a TCP reset. The caller must hold the lock.
func (p *Proxier) resetAll() {
	for c := range p.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// runAccept accepts connections until the listener is closed.
func (p *Proxier) runAccept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.runConn(c)
	}
}

// runConn connects to the target and forwards a connection in both directions until either side closes it. It
// resets both connections then, and the accepted one when the target can't be reached or Reset is active.
func (p *Proxier) runConn(c net.Conn) {
	if !p.addConn(c) {
		reset(c)
		return
	}
	defer p.removeConn(c)
	t, err := net.DialTimeout("tcp", p.target, dialTimeout) //nolint:noctx // has a timeout
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

// addConn records an open connection. It returns false when the connection must be reset instead.
func (p *Proxier) addConn(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault == Reset {
		return false
	}
	p.conns[c] = true
	return true
}

// removeConn removes a connection that is no longer forwarded.
func (p *Proxier) removeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// runCopy forwards one direction of a connection; isResponse is set for the direction from the target to the
// caller. When the target closes its sending side, runCopy closes that of the connection to the caller and waits for
// delayTime, so that the caller reads the rest of the response before the connection is reset.
func (p *Proxier) runCopy(to, from net.Conn, isResponse bool) {
	buffer := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buffer)
		if !p.awaitForward(isResponse) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
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

// awaitForward blocks until the active fault lets a chunk pass. It returns false when the proxy is closed.
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
