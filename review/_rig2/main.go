// Command rig2 plays the cases of the second review: it starts the project's gateways as processes, on stand-ins of the
// platform's store, replicas and clients that it contains.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"time"
)

// heartbeat is how often replicas write their entries.
const heartbeat = 1200 * time.Millisecond

// rig is one play of a case.
type rig struct {
	trouble bool
	folder  string
	block   int
	// blockTaken is the listener that marks the block of addresses as taken.
	blockTaken net.Listener
	store      *store
	gateways   []*gateway
	started    time.Time

	mu     sync.Mutex
	record *os.File
	// traced holds what was sent, answered and run.
	traced []traceLine
}

// traceLine is one line of what was sent, answered and run.
type traceLine struct {
	at   time.Time
	text string
}

var current *rig

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "rig2: no such case")
		os.Exit(2)
	}
	folder, err := os.MkdirTemp("", "rig2-")
	must(err)
	f, err := os.Create(os.Args[2])
	must(err)
	r := &rig{
		trouble: os.Getenv("TROUBLE") != "0", folder: folder, record: f, started: time.Now(),
	}
	r.takeBlock()
	current = r
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { <-signals; r.end(2) }()
	time.AfterFunc(110*time.Second, func() { cannotRun("not over after 110 s") })
	r.store = newStore(r.ip(1))
	r.note("case %s, trouble %v", os.Args[1], r.trouble)
	if broken := play(r); broken {
		r.note("RULE BROKEN")
		r.end(1)
	}
	r.note("rule held")
	r.end(0)
}

// blockPort is the port whose listener marks a block of addresses as taken.
const blockPort = 8361

// takeBlock chooses a block of loopback addresses that no other play uses. The listener lasts as long as the play.
func (r *rig) takeBlock() {
	for range 50 {
		r.block = 1 + rand.IntN(250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", r.ip(1), blockPort))
		if err == nil {
			r.blockTaken = l
			return
		}
	}
	cannotRun("no block of addresses is free")
}

// ip returns an address of the block of this play.
func (r *rig) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 70+r.block%50, r.block, n)
}

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...))
}

// trace adds a line to what was sent, answered and run. It is written to the record at the end.
func (r *rig) trace(at time.Time, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.traced = append(r.traced, traceLine{at: at, text: fmt.Sprintf(format, a...)})
}

// writeTrace writes what was sent, answered and run to the record.
func (r *rig) writeTrace() {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.traced, func(i, j int) bool { return r.traced[i].at.Before(r.traced[j].at) })
	_, _ = fmt.Fprintln(r.record, "\nwhat was sent, answered and run:")
	for _, l := range r.traced {
		_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", l.at.Sub(r.started).Seconds(), l.text)
	}
}

// end ends all processes and exits.
func (r *rig) end(status int) {
	for _, g := range r.gateways {
		g.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else {
		fmt.Println(r.folder)
	}
	r.writeTrace()
	_ = r.record.Close()
	os.Exit(status)
}

// cannotRun ends a play that can't be judged.
func cannotRun(format string, a ...any) {
	fmt.Fprintf(os.Stderr, "rig2: "+format+"\n", a...)
	if current != nil {
		current.note("COULD NOT RUN: "+format, a...)
		current.end(2)
	}
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}
