package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the largest number of entries in one page of a range.
const maxPageItems = 500

// item is an entry of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	LeaseID  uint64 `json:"lease_id"`
	IsGone   bool   `json:"is_gone,omitempty"`
}

// storeCopy is the state of a store at one revision.
type storeCopy struct {
	items    map[string]item
	events   []item
	revision uint64
	takenAt  time.Time
}

// store is a stand-in of the platform's store as PROTOCOL.md and the news pages describe it. It has an address for each machine,
// so that it may reject some machines and serve the others.
type store struct {
	ip string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	era      int
	down     bool
	wake     chan struct{}
	// rejects holds the addresses at which calls are answered with 503.
	rejects map[string]bool
}

func newStore(ip string) *store {
	return &store{ip: ip, items: map[string]item{}, revision: 1, era: 1, wake: make(chan struct{}), rejects: map[string]bool{}}
}

// newAddress returns an address for a machine.
func (s *store) newAddress() string {
	l, err := net.Listen("tcp", s.ip+":0")
	must(err)
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

// reject makes the store answer 503 to a machine, or serve it again.
func (s *store) reject(address string, rejecting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects[address] = rejecting
	s.signal()
}

// rejected reports whether a call must be answered with 503.
func (s *store) rejected(r *http.Request) bool {
	address := r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.rejects[address]
}

// put writes an entry and returns its revision. ok is false while the store is away.
func (s *store) put(key string, value []byte) (revision uint64, ok bool) {
	return s.change(item{Key: key, Value: value})
}

// remove removes an entry.
func (s *store) remove(key string) (revision uint64, ok bool) {
	return s.change(item{Key: key, IsGone: true})
}

func (s *store) change(i item) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, false
	}
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, known := s.items[i.Key]; known {
		i.Created = old.Created
	}
	if i.IsGone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	s.signal()
	return s.revision, true
}

// signal wakes the waiting watches. The caller holds mu.
func (s *store) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// setDown makes the store answer 503 to all calls.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signal()
}

// takeCopy returns a copy of the state.
func (s *store) takeCopy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{items: map[string]item{}, events: append([]item(nil), s.events...), revision: s.revision, takenAt: time.Now()}
	for k, v := range s.items {
		c.items[k] = v
	}
	return c
}

// restore replaces the state by a copy and begins a new era.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items, s.events, s.revision = map[string]item{}, append([]item(nil), c.events...), c.revision
	for k, v := range c.items {
		s.items[k] = v
	}
	s.era++
	s.signal()
}

func (s *store) currentRevision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// keys returns the keys with a prefix.
func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			out = append(out, k)
		}
	}
	sort.Strings(out)
	return out
}

type page struct {
	Items   []item `json:"items,omitempty"`
	Events  []item `json:"events,omitempty"`
	HasMore bool   `json:"has_more"`
	At      uint64 `json:"at"`
}

// answer sends a status and an object.
func (s *store) answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	must(err)
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case s.rejected(r):
		s.answer(w, http.StatusServiceUnavailable, page{})
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.serveWatch(w, r)
	case r.URL.Path == "/v1/kv-key":
		s.mu.Lock()
		i, ok := s.items[r.FormValue("key")]
		s.mu.Unlock()
		if !ok {
			s.answer(w, http.StatusNotFound, page{})
			return
		}
		s.answer(w, http.StatusOK, i)
	default:
		s.answer(w, http.StatusNotFound, page{})
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	p := page{At: s.revision}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			p.Items = append(p.Items, i)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Items, func(a, b int) bool { return p.Items[a].Key < p.Items[b].Key })
	if len(p.Items) > maxPageItems {
		p.Items, p.HasMore = p.Items[:maxPageItems], true
	}
	s.answer(w, http.StatusOK, p)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || err2 != nil {
		s.answer(w, http.StatusBadRequest, page{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, wake := page{At: s.revision}, s.wake
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				p.Events = append(p.Events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case s.rejected(r):
			s.answer(w, http.StatusServiceUnavailable, page{})
			return
		case after > p.At:
			s.answer(w, http.StatusGone, page{})
			return
		case len(p.Events) > 0:
			s.answer(w, http.StatusOK, p)
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			s.answer(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}
