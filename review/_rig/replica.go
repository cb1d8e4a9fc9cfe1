package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	// modelSlots and kvCapacity, in tokens, are those of a model replica; plainSlots and plainQueue those of a plain one.
	modelSlots = 12
	kvCapacity = 106421
	plainSlots = 6
	plainQueue = 24
	// prefillTokensPerMS is how fast a prefill replica reads prompts, chunkTokens at a time.
	prefillTokensPerMS = 55.5556
	chunkTokens        = 2048
	kvHold             = 500 * time.Millisecond
)

// run is one request that reached a replica.
type run struct {
	ID      string
	Replica string
	Kind    string
	At      time.Time
}

// replica is a stand-in of a replica of one of the services.
type replica struct {
	id, address, service, zone string
	born                       int64
	// stage is empty for plain replicas.
	stage string
	// work returns how long a plain replica works on a request. Nil means 60 ms.
	work func(r *http.Request, body string) time.Duration
	// hangs reports whether the replica's process stops answering when it begins to run a request. It ends hangTime later.
	hangs    func(body string) bool
	hangTime time.Duration
	// others returns the replica at an address.
	others func(address string) *replica
	// onCrash is called once the process has ended.
	onCrash func()
	// tokenTime returns how long a token takes while a number of runs are active.
	tokenTime      func(active int) time.Duration
	tokensPerEvent int

	record   *record
	listener net.Listener
	server   *http.Server
	mu       sync.Mutex
	state    string
	sequence int
	arrivals []run
	active   int
	// waiting counts requests in the queue of a plain replica.
	waiting int
	// holds are the IDs of reservations in the order in which they were taken.
	holds  []string
	holdAt time.Time
	// handles holds the tokens of each KV cache that waits for its decode, by handle.
	handles   map[string]int
	kvUsed    int
	prompts   []*prompt
	admitted  chan struct{}
	lastToken atomic.Int64
	crashedAt time.Time
	// hung is set while the process answers nothing. gone is closed when it has ended.
	hung bool
	gone chan struct{}
}

// prompt is a prompt that a prefill replica reads.
type prompt struct {
	id     string
	tokens int
	left   int
	inside bool
	done   chan struct{}
}

// nextNumber makes IDs unique.
var nextNumber atomic.Int64

// start begins to serve. An address with port 0 gets a free port.
func (p *replica) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	p.listener, p.address, p.born, p.state = l, l.Addr().String(), time.Now().UnixMilli(), "ready"
	p.id = fmt.Sprintf("i-%08x", 0x7f3a0000+nextNumber.Add(1))
	p.handles, p.gone = map[string]int{}, make(chan struct{})
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
	if p.stage == "prefill" {
		go p.readPrompts()
	}
	return nil
}

// crash ends the replica like a process that dies: its sockets are closed.
func (p *replica) crash() {
	p.mu.Lock()
	if !p.crashedAt.IsZero() {
		p.mu.Unlock()
		return
	}
	p.crashedAt = time.Now()
	p.mu.Unlock()
	p.record.printf("replica %s crashes", p.id)
	_ = p.server.Close()
	close(p.gone)
	if p.onCrash != nil {
		p.onCrash()
	}
}

// leave ends the replica after it has drained.
func (p *replica) leave() {
	p.record.printf("replica %s has left", p.id)
	_ = p.server.Close()
}

// entry returns the replica's item in the store.
func (p *replica) entry() (key string, value any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	v := map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slot_count": plainSlots, "state": p.state,
		"cold_left_ms": 0, "sequence": p.sequence, "born": p.born,
	}
	if p.stage != "" {
		v["stage"], v["slot_count"] = p.stage, modelSlots
		v["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return "servers/" + p.id, v
}

func (p *replica) setState(state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
}

// runs returns the requests that reached the replica.
func (p *replica) runs() []run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]run(nil), p.arrivals...)
}

// arrived records that a request has reached the replica.
func (p *replica) arrived(r *http.Request, kind string) {
	a := run{ID: r.Header.Get(headerID), Replica: p.id, Kind: kind, At: time.Now()}
	p.mu.Lock()
	p.arrivals = append(p.arrivals, a)
	p.mu.Unlock()
	p.record.printf("request %s reaches replica %s (%s %s)", a.ID, p.id, p.service, kind)
}

// ServeHTTP handles one request.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.waitWhileHung()
	if p.control(w, r, body) {
		return
	}
	h := w.Header()
	h.Set(headerID, r.Header.Get(headerID))
	if want := r.Header.Get("X-Pistachiovane-Expect-Instance"); want != "" && want != p.id {
		h.Set("X-Pistachiovane-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case p.stage == "":
		p.servePlain(w, r, string(body))
	case r.Header.Get("X-Pistachiovane-Serving-Stage") == "prefill":
		p.servePrefill(w, r)
	default:
		p.serveDecode(w, r, string(body))
	}
}

// waitWhileHung returns when the process does not hang, or has ended.
func (p *replica) waitWhileHung() {
	p.mu.Lock()
	hung := p.hung
	p.mu.Unlock()
	if hung {
		<-p.gone
	}
}

// hang makes the process answer nothing and end after hangTime.
func (p *replica) hang() {
	p.mu.Lock()
	p.hung = true
	p.mu.Unlock()
	p.record.printf("replica %s hangs", p.id)
	time.Sleep(p.hangTime)
	p.crash()
}

// control answers the calls that are no requests of clients.
func (p *replica) control(w http.ResponseWriter, r *http.Request, body []byte) bool {
	switch path := r.URL.Path; {
	case path == "/healthz":
		w.Header().Set("X-Pistachiovane-Replica-Id", p.id)
	case path == "/v1/report" && p.stage != "":
		p.mu.Lock()
		defer p.mu.Unlock()
		writeJSON(w, map[string]any{
			"stage": p.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
			"sequence": 0, "queued": 0, "active": p.active, "kv_used": p.kvUsed, "kv_total": kvCapacity, "kv_handles": len(p.handles),
			"born": p.born,
		})
	case path == "/v1/hold-take":
		var call struct {
			Tokens int `json:"tokens"`
		}
		_ = json.Unmarshal(body, &call)
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.active >= modelSlots {
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}
		id := fmt.Sprintf("h%x", nextNumber.Add(1))
		p.holds, p.holdAt = append(p.holds, id), time.Now()
		p.record.printf("replica %s reserves %d tokens", p.id, call.Tokens)
		writeJSON(w, map[string]any{"hold": id})
	case strings.HasPrefix(path, "/v1/hold-drop/"):
		w.WriteHeader(http.StatusOK)
	case strings.HasPrefix(path, "/v1/kv-handle/"):
		p.free(strings.TrimPrefix(path, "/v1/kv-handle/"))
		w.WriteHeader(http.StatusOK)
	case path == "/v1/order":
		p.record.printf("replica %s gets the order %s", p.id, body)
		w.WriteHeader(http.StatusConflict)
	default:
		return false
	}
	return true
}

// seal marks an answer as the replica's own.
func (p *replica) seal(w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := plainSlots
	if p.stage != "" {
		slots = modelSlots
	}
	w.Header().Set(headerSeal, p.id+".c9f2a4d1")
	w.Header().Set("X-Pistachiovane-Replica-Load", fmt.Sprintf("%d,%d,%d", p.active, p.waiting, slots))
}

// refuse answers that the request has not run.
func (p *replica) refuse(w http.ResponseWriter, r *http.Request, why string) {
	p.record.printf("replica %s does not run request %s: %s", p.id, r.Header.Get(headerID), why)
	w.Header().Set("X-Pistachiovane-Not-Executed", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// servePlain runs a request of the plain service.
func (p *replica) servePlain(w http.ResponseWriter, r *http.Request, body string) {
	p.mu.Lock()
	if p.active >= plainSlots+plainQueue {
		p.mu.Unlock()
		p.refuse(w, r, "full")
		return
	}
	p.active++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.active--
		p.mu.Unlock()
	}()
	p.arrived(r, "run")
	work := 60 * time.Millisecond
	if p.work != nil {
		work = p.work(r, body)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	p.seal(w)
	answer := "answer of " + p.id + " to " + r.Header.Get(headerID)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// servePrefill reads a prompt and keeps its KV cache.
func (p *replica) servePrefill(w http.ResponseWriter, r *http.Request) {
	if p.stage != "prefill" {
		w.Header().Set("X-Pistachiovane-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.arrived(r, "prefill")
	tokens, _ := tokenCounts(r)
	q := &prompt{id: r.Header.Get(headerID), tokens: tokens, left: tokens, done: make(chan struct{})}
	p.mu.Lock()
	p.prompts = append(p.prompts, q)
	p.mu.Unlock()
	select {
	case <-q.done:
	case <-r.Context().Done():
		p.drop(q)
		return
	}
	handle := fmt.Sprintf("%012x", 0x3fa09c000000+nextNumber.Add(1))
	p.mu.Lock()
	p.handles[handle] = tokens
	p.mu.Unlock()
	time.AfterFunc(kvHold, func() { p.free(handle) })
	p.record.printf("replica %s has read the prompt of request %s", p.id, q.id)
	p.seal(w)
	writeJSON(w, map[string]any{"kv_handle": handle, "tokens": tokens, "version": 1})
}

// free ends the time of a KV cache. It reports whether there was one.
func (p *replica) free(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	tokens, ok := p.handles[handle]
	if ok {
		delete(p.handles, handle)
		p.kvUsed -= tokens
	}
	return ok
}

// takeKV takes the KV cache of a request from the replica that has read its prompt. It reports whether it was there.
func (p *replica) takeKV(r *http.Request) bool {
	address, handle, ok := strings.Cut(r.Header.Get("X-Pistachiovane-Kv-Source"), "/")
	if !ok {
		return true
	}
	source := p.others(address)
	return source != nil && source.free(handle)
}

// drop forgets a prompt whose caller has gone.
func (p *replica) drop(q *prompt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.prompts {
		if other == q {
			p.prompts = append(p.prompts[:i], p.prompts[i+1:]...)
			if q.inside {
				p.kvUsed -= q.tokens
			}
			return
		}
	}
}

// readPrompts reads the prompts of a prefill replica in chunks, by turns among those for which there is memory.
func (p *replica) readPrompts() {
	debt := time.Now()
	for turn := 0; ; turn++ {
		p.mu.Lock()
		if !p.crashedAt.IsZero() {
			p.mu.Unlock()
			return
		}
		var inside []*prompt
		for _, q := range p.prompts {
			if !q.inside && p.kvUsed+q.tokens <= kvCapacity && len(inside) < modelSlots {
				q.inside, p.kvUsed = true, p.kvUsed+q.tokens
			}
			if q.inside {
				inside = append(inside, q)
			}
		}
		if len(inside) == 0 {
			p.mu.Unlock()
			time.Sleep(time.Millisecond)
			debt = time.Now()
			continue
		}
		q := inside[turn%len(inside)]
		n := min(chunkTokens, q.left)
		q.left -= n
		ended := q.left == 0
		if ended {
			for i, other := range p.prompts {
				if other == q {
					p.prompts = append(p.prompts[:i], p.prompts[i+1:]...)
					break
				}
			}
		}
		p.mu.Unlock()
		debt = debt.Add(time.Duration(float64(n) / prefillTokensPerMS * float64(time.Millisecond)))
		time.Sleep(time.Until(debt))
		if ended {
			close(q.done)
		}
	}
}

// serveDecode streams the answer to a request.
func (p *replica) serveDecode(w http.ResponseWriter, r *http.Request, body string) {
	if p.stage != "decode" {
		w.Header().Set("X-Pistachiovane-Replica-Id", p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.mu.Lock()
	if p.active >= modelSlots {
		p.mu.Unlock()
		p.refuse(w, r, "full")
		return
	}
	p.active++
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.active--
		p.mu.Unlock()
	}()
	p.arrived(r, "run")
	if p.hangs != nil && p.hangs(body) {
		p.hang()
		return
	}
	prompt, tokens := tokenCounts(r)
	if !p.takeKV(r) {
		p.refuse(w, r, "no KV cache")
		return
	}
	if r.Header.Get("X-Pistachiovane-Kv-Source") == "" {
		// The prompt is read here, at half the speed.
		time.Sleep(time.Duration(2 * float64(prompt) / prefillTokensPerMS * float64(time.Millisecond)))
	}
	p.seal(w)
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := w.(http.Flusher)
	resumeAfter, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	events := (tokens + p.tokensPerEvent - 1) / p.tokensPerEvent
	for n := resumeAfter + 1; n <= events; n++ {
		for range p.tokensPerEvent {
			p.mu.Lock()
			active := p.active
			p.mu.Unlock()
			select {
			case <-time.After(p.tokenTime(active)):
				p.waitWhileHung()
			case <-r.Context().Done():
				return
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %d for %s\n\n", n, n, events, r.Header.Get(headerID)); err != nil {
			return
		}
		flusher.Flush()
	}
	p.record.printf("replica %s has run request %s", p.id, r.Header.Get(headerID))
}

// tokenCounts returns the numbers of prompt and output tokens of a request.
func tokenCounts(r *http.Request) (prompt, output int) {
	a, b, _ := strings.Cut(r.Header.Get("X-Pistachiovane-Token-Counts"), ",")
	prompt, _ = strconv.Atoi(a)
	output, _ = strconv.Atoi(b)
	return prompt, output
}
