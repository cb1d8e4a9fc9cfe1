// Package launcher runs one program as a separate process and sends it signals, for tests that inject faults from
// outside the process. It only ends processes that it started itself.
package launcher

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Program describes the program that a launcher starts.
type Program struct {
	Path      string
	Arguments []string
	// Environment holds "NAME=value" entries that are added to the environment of the current process.
	Environment []string
	// LogPath is the file that receives standard output and standard error. Each start appends to it.
	LogPath string
}

// Launcher runs at most one process of its program at a time. It is safe for concurrent use.
type Launcher struct {
	program Program

	// mu guards the fields below.
	mu sync.Mutex
	// process is nil while no process runs.
	process   *os.Process
	startedAt time.Time
	// exited is closed when the current process has exited.
	exited chan struct{}
	// exitExpected is set before the launcher sends a signal that ends the current process.
	exitExpected bool
	// unexpectedExits counts the processes that exited although the launcher had not sent SIGTERM or SIGKILL.
	unexpectedExits int
	starts          int
	// closed is set by Close; no process is started afterwards.
	closed bool
}

// New returns a launcher of a program. It does not start the program.
func New(p Program) *Launcher {
	return &Launcher{program: p}
}

// Start starts the program. It does nothing when the program runs already or the launcher is closed. It fails when
// the log file can't be opened or the program can't be started.
func (l *Launcher) Start() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process != nil || l.closed {
		return nil
	}
	out, err := os.OpenFile(l.program.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open log file")
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(l.program.Path, l.program.Arguments...) //nolint:gosec,noctx // program of the caller, outlives Start
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

// runWait waits until a process has exited and records the exit.
func (l *Launcher) runWait(c *exec.Cmd, exited chan struct{}) {
	// The exit status does not matter: exitExpected shows whether a signal of the launcher ended the process.
	_ = c.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.exitExpected {
		l.unexpectedExits++
	}
	l.process = nil
	close(exited)
}

// Signal sends a signal to the process. It does nothing when no process runs.
func (l *Launcher) Signal(s syscall.Signal) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		l.exitExpected = true
	}
	// Sending fails only when the process has exited meanwhile, and then no signal is needed.
	_ = l.process.Signal(s)
}

// Kill ends the process with SIGKILL and waits up to a minute until it has exited.
func (l *Launcher) Kill() {
	l.Signal(syscall.SIGKILL)
	l.awaitExit(time.Minute)
}

// Close kills the process. Later calls of Start do nothing.
func (l *Launcher) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Kill()
}

// Terminate sends SIGTERM and waits until the process has exited. After the grace period it kills the process and
// returns false.
func (l *Launcher) Terminate(grace time.Duration) bool {
	l.Signal(syscall.SIGTERM)
	if l.awaitExit(grace) {
		return true
	}
	l.Kill()
	return false
}

// awaitExit waits until the current process has exited. It returns false when the process still runs after the
// timeout.
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

// Uptime returns the time since the current process was started, and zero when no process runs.
func (l *Launcher) Uptime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.process == nil {
		return 0
	}
	return time.Since(l.startedAt)
}

// Starts returns the number of starts, and the number of exits that no SIGTERM or SIGKILL of the launcher caused.
func (l *Launcher) Starts() (starts, unexpectedExits int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts, l.unexpectedExits
}
