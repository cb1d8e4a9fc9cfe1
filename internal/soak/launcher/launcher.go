// Package launcher runs one program as a process of its own and sends it signals, for tests that inject faults from
// outside. It ends only processes that it has started.
package launcher

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Program is what a launcher starts.
type Program struct {
	Path      string
	Arguments []string
	// Environment is added to the own.
	Environment []string
	// LogPath is the file to which all starts append what they print.
	LogPath string
}

// Launcher owns at most one process at a time. It is safe for concurrent use.
type Launcher struct {
	program Program

	mu      sync.Mutex
	process *os.Process
	// startedAt is when the present process was started.
	startedAt time.Time
	// exited is closed when the present process has ended.
	exited chan struct{}
	// exitExpected is set before a signal that ends the process.
	exitExpected bool
	// unexpectedExits counts the processes that ended by themselves.
	unexpectedExits int
	starts          int
	// closed is set once nothing is to be started any more.
	closed bool
}

// New returns a launcher that has started nothing.
func New(p Program) *Launcher {
	return &Launcher{program: p}
}

// Start starts the program, unless it runs or the launcher is closed.
func (l *Launcher) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process != nil || l.closed {
		return nil
	}
	out, err := os.OpenFile(l.program.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(l.program.Path, l.program.Arguments...) //nolint:gosec,noctx // the caller names the program; it outlives its start
	c.Env = append(os.Environ(), l.program.Environment...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start program")
	}
	l.process, l.exited, l.exitExpected, l.startedAt = c.Process, make(chan struct{}), false, time.Now()
	l.starts++
	go l.runWait(c, l.exited)
	return nil
}

func (l *Launcher) runWait(c *exec.Cmd, exited chan struct{}) {
	// How it ended doesn't matter here: signals that were sent are known.
	_ = c.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.exitExpected {
		l.unexpectedExits++
	}
	l.process = nil
	close(exited)
}

// Signal sends a signal to the process, if one runs.
func (l *Launcher) Signal(s syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		l.exitExpected = true
	}
	// A process that has ended meanwhile needs no signal.
	_ = l.process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (l *Launcher) Kill() {
	l.Signal(syscall.SIGKILL)
	l.awaitExit(time.Minute)
}

// Close ends the process for good: a later start does nothing.
func (l *Launcher) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Kill()
}

// Terminate asks the process to end and kills it after a while. It tells whether the process ended by itself.
func (l *Launcher) Terminate(grace time.Duration) bool {
	l.Signal(syscall.SIGTERM)
	if l.awaitExit(grace) {
		return true
	}
	l.Kill()
	return false
}

func (l *Launcher) awaitExit(timeout time.Duration) bool {
	l.mu.Lock()
	process, exited := l.process, l.exited
	l.mu.Unlock()
	if process == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Uptime returns for how long the present process has run; zero where none runs.
func (l *Launcher) Uptime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == nil {
		return 0
	}
	return time.Since(l.startedAt)
}

// Starts returns how often the program was started, and how often it ended without being told.
func (l *Launcher) Starts() (starts, unexpectedExits int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts, l.unexpectedExits
}
