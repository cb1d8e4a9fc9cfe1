// Package platform is a stand-in for what the platform publishes: a configuration service that
// can be read and watched, and a lagging list of VMs.
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	wire "github.com/pistachiovane/pistachiovane/service/platform"
)

// Platform holds the published state.
type Platform struct {
	mu      sync.Mutex
	values  map[string]wire.List
	vms     wire.VMList
	changed chan struct{}
	down    bool
	// blocked holds the processes that can't reach the service.
	blocked map[string]bool
	calls   int
}

// New returns a platform that publishes nothing yet.
func New() *Platform {
	return &Platform{values: make(map[string]wire.List), blocked: make(map[string]bool), changed: make(chan struct{})}
}

// Publish sets a list; a lower version than before is published too, as a stale service would.
func (p *Platform) Publish(name string, version uint64, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[name] = wire.List{Name: name, Version: version, Text: text}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetVMs publishes the VM list with the next version.
func (p *Platform) SetVMs(vms []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = wire.VMList{Version: p.vms.Version + 1, VMs: append([]wire.VM(nil), vms...)}
}

// VMs returns the published VM list.
func (p *Platform) VMs() wire.VMList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms
}

// SetDown starts or ends an outage.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Block cuts a process off the service.
func (p *Platform) Block(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blocked[name] = true
}

func (p *Platform) isBlocked(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blocked[r.UserAgent()]
}

// count counts a call and tells whether it is answered.
func (p *Platform) count(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	return !p.down && !p.blocked[r.UserAgent()]
}

// RequestCount returns how many calls were made.
func (p *Platform) RequestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Handler returns the HTTP face.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", p.serveValue)
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	mux.HandleFunc("PUT /v1/values/{name}", p.serveEdit)
	return mux
}

// state returns a value with the channel that closes at the next change.
func (p *Platform) state(name string) (v wire.List, known bool, changed chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, known = p.values[name]
	return v, known, p.changed, p.down
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	if !p.count(r) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; waiting; {
		v, _, changed, _ := p.state(r.PathValue("name"))
		if after == 0 || v.Version > after {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	v, known, _, down := p.state(r.PathValue("name"))
	switch {
	case down || p.isBlocked(r):
		http.Error(w, "down", http.StatusServiceUnavailable)
	case !known:
		http.NotFound(w, r)
	default:
		_ = json.NewEncoder(w).Encode(v)
	}
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	if !p.count(r) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(p.VMs())
}

// serveEdit is the operator's editor; the system itself never writes.
func (p *Platform) serveEdit(w http.ResponseWriter, r *http.Request) {
	var v wire.List
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(r.PathValue("name"), v.Version, v.Text)
	w.WriteHeader(http.StatusNoContent)
}

// PublishIfChanged sets a list unless it stands so already.
func (p *Platform) PublishIfChanged(name string, version uint64, text string) {
	if v, known, _, _ := p.state(name); !known || v.Version != version || v.Text != text {
		p.Publish(name, version, text)
	}
}

// SetVMsIfChanged publishes the VM list unless it stands so already.
func (p *Platform) SetVMsIfChanged(vms []wire.VM) {
	if !slices.Equal(vms, p.VMs().VMs) {
		p.SetVMs(vms)
	}
}
