package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// arrival is a request of a client that reached a replica.
type arrival struct {
	id      string
	at      time.Time
	ran     bool
	replica string
	header  http.Header
}

// replica is a stand-in of a replica of a plain service.
type replica struct {
	id, service, zone string
	address           string
	slots             int
	// work is how long a request takes.
	work time.Duration
	// answer, if not nil, answers a request in its own way once it runs. It returns false if the channel is closed.
	answer func(c net.Conn, head *http.Request, body io.Reader) (handled, keepOpen bool)

	listener net.Listener
	store    *store
	born     int64

	mu       sync.Mutex
	state    string
	listed   bool
	sequence int
	running  int
	arrivals []arrival
	conns    map[net.Conn]bool
	stopped  bool
	// pausedUntil is the time until which the replica turns requests away and says so in Retry-After.
	pausedUntil time.Time
	// pauseFull makes the replica turn away the next request in the same way, though it runs others.
	turnAway time.Duration
}

// newReplica starts a replica that writes its entry to the store. receiveBytes, if not zero, is the size of its receive buffers.
func newReplica(s *store, ip, id, service, zone string, slots int, work time.Duration, receiveBytes int) *replica {
	lc := net.ListenConfig{}
	if receiveBytes > 0 {
		lc.Control = func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
			})
		}
	}
	l, err := lc.Listen(context.Background(), "tcp", ip+":0")
	must(err)
	r := &replica{
		id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, work: work, listener: l, store: s,
		born: time.Now().UnixMilli(), state: "ready", listed: true, conns: map[net.Conn]bool{},
	}
	r.beat()
	go r.beatLoop()
	go r.acceptLoop()
	return r
}

// beat writes the entry, unless it was removed.
func (r *replica) beat() (revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.listed || r.stopped {
		return 0
	}
	r.sequence++
	b, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slot_count": r.slots, "state": r.state,
		"cold_left_ms": 0, "sequence": r.sequence, "born": r.born,
	})
	must(err)
	revision, _ = r.store.put("servers/"+r.id, b)
	return revision
}

func (r *replica) beatLoop() {
	for {
		time.Sleep(heartbeat)
		r.mu.Lock()
		stopped := r.stopped
		r.mu.Unlock()
		if stopped {
			return
		}
		r.beat()
	}
}

// crash ends the listener and all channels, as the end of a process does.
func (r *replica) crash() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	for c := range r.conns {
		_ = c.Close()
	}
}

// startAgain starts a crashed replica again under its id and address. It writes its entry after a time.
func (r *replica) startAgain(writesAfter time.Duration) *replica {
	l, err := net.Listen("tcp", r.address)
	must(err)
	next := &replica{
		id: r.id, service: r.service, zone: r.zone, address: r.address, slots: r.slots, work: r.work, answer: r.answer, listener: l,
		store: r.store, born: time.Now().UnixMilli(), state: "ready", listed: true, conns: map[net.Conn]bool{},
	}
	go next.acceptLoop()
	time.AfterFunc(writesAfter, func() { next.beat(); next.beatLoop() })
	return next
}

// unlist removes the entry. The replica goes on serving.
func (r *replica) unlist() (revision uint64) {
	r.mu.Lock()
	r.listed = false
	r.mu.Unlock()
	revision, ok := r.store.remove("servers/" + r.id)
	if !ok {
		cannotRun("the store did not take the removal")
	}
	return revision
}

func (r *replica) acceptLoop() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go r.serve(c)
	}
}

func (r *replica) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		head, err := http.ReadRequest(reader)
		if err != nil || !r.handle(c, head) {
			return
		}
	}
}

// handle handles one request and reports whether the channel stays open.
func (r *replica) handle(c net.Conn, head *http.Request) bool {
	if head.Method == http.MethodGet && head.URL.Path == "/healthz" {
		return r.write(c, 200, "X-Pistachiovane-Replica-Id: "+r.id+"\r\n", "")
	}
	id := head.Header.Get("X-Pistachiovane-Attempt-Id")
	idLine := "X-Pistachiovane-Attempt-Id: " + id + "\r\n"
	if expected := head.Header.Get("X-Pistachiovane-Expect-Instance"); expected != "" && expected != r.id {
		return r.write(c, 421, idLine+"X-Pistachiovane-Replica-Id: "+r.id+"\r\n", "") && false
	}
	if id == "" {
		return r.write(c, 400, "X-Pistachiovane-Not-Executed: 1\r\n", "") && false
	}
	r.mu.Lock()
	pause := time.Until(r.pausedUntil)
	if r.turnAway > 0 {
		pause, r.turnAway = r.turnAway, 0
	}
	full := r.running >= r.slots || pause > 0
	r.arrivals = append(r.arrivals, arrival{id: id, at: time.Now(), ran: !full, replica: r.id, header: head.Header})
	if !full {
		r.running++
	}
	r.mu.Unlock()
	current.trace(time.Now(), "%s reaches %s, which runs it: %v", id, r.id, !full)
	if full {
		_, _ = io.Copy(io.Discard, head.Body)
		if pause > 0 {
			idLine += fmt.Sprintf("Retry-After: %.1f\r\n", pause.Seconds())
		}
		return r.write(c, 503, idLine+"X-Pistachiovane-Not-Executed: 1\r\n", "")
	}
	defer func() { r.mu.Lock(); r.running--; r.mu.Unlock() }()
	if r.answer != nil {
		if handled, keep := r.answer(c, head, head.Body); handled {
			return keep
		}
	}
	if _, err := io.Copy(io.Discard, head.Body); err != nil {
		return false
	}
	time.Sleep(r.work)
	return r.write(c, 200, idLine+r.sealLine(), r.body(id))
}

func (r *replica) sealLine() string {
	return fmt.Sprintf("X-Pistachiovane-Server-Seal: s.%s\r\nX-Pistachiovane-Replica-Load: 1,0,%d\r\n", r.id, r.slots)
}

// body returns the body of an answer, of 800 bytes.
func (r *replica) body(id string) string {
	b := fmt.Sprintf("answer of %s to %s ", r.id, id)
	for len(b) < 792 {
		b += "."
	}
	return b + "the end\n"
}

// write sends an answer with a length.
func (r *replica) write(c net.Conn, status int, lines, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), lines, len(body), body)
	return err == nil
}

// seen returns the requests that have reached the replica.
func (r *replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
