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
	mu           sync.Mutex
	lists        map[string]wire.List
	vms          wire.VMList
	changeSignal chan struct{}
	down         bool
	// blockedProcesses holds the processes that can't reach the service.
	blockedProcesses map[string]bool
	requestCount     int
}

// New returns a platform that publishes nothing yet.
func New() *Platform {
	return &Platform{lists: make(map[string]wire.List), blockedProcesses: make(map[string]bool), changeSignal: make(chan struct{})}
}

// Publish sets a list; a lower version than before is published too, as a stale service would.
func (p *Platform) Publish(name string, version uint64, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists[name] = wire.List{Name: name, Version: version, Text: text}
	close(p.changeSignal)
	p.changeSignal = make(chan struct{})
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
func (p *Platform) Block(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedProcesses[process] = true
}

func (p *Platform) isBlocked(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blockedProcesses[r.UserAgent()]
}

// countRequest counts a call and tells whether it is answered.
func (p *Platform) countRequest(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestCount++
	return !p.down && !p.blockedProcesses[r.UserAgent()]
}

// RequestCount returns how many calls were made.
func (p *Platform) RequestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requestCount
}

// Handler returns the HTTP face.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", p.serveList)
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	mux.HandleFunc("PUT /v1/values/{name}", p.serveListUpdate)
	return mux
}

// listState returns a value with the channel that closes at the next change.
func (p *Platform) listState(name string) (list wire.List, known bool, changeSignal chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, known = p.lists[name]
	return list, known, p.changeSignal, p.down
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request) {
	if !p.countRequest(r) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	afterVersion, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	for waiting := true; waiting; {
		list, _, changeSignal, _ := p.listState(r.PathValue("name"))
		if afterVersion == 0 || list.Version > afterVersion {
			break
		}
		select {
		case <-changeSignal:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	list, known, _, down := p.listState(r.PathValue("name"))
	switch {
	case down || p.isBlocked(r):
		http.Error(w, "down", http.StatusServiceUnavailable)
	case !known:
		http.NotFound(w, r)
	default:
		_ = json.NewEncoder(w).Encode(list)
	}
}

func (p *Platform) serveVMs(w http.ResponseWriter, r *http.Request) {
	if !p.countRequest(r) {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	_ = json.NewEncoder(w).Encode(p.VMs())
}

// serveListUpdate is the operator's editor; the system itself never writes.
func (p *Platform) serveListUpdate(w http.ResponseWriter, r *http.Request) {
	var list wire.List
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(r.PathValue("name"), list.Version, list.Text)
	w.WriteHeader(http.StatusNoContent)
}

// PublishIfChanged sets a list unless it stands so already.
func (p *Platform) PublishIfChanged(name string, version uint64, text string) {
	if list, known, _, _ := p.listState(name); !known || list.Version != version || list.Text != text {
		p.Publish(name, version, text)
	}
}

// SetVMsIfChanged publishes the VM list unless it stands so already.
func (p *Platform) SetVMsIfChanged(vms []wire.VM) {
	if !slices.Equal(vms, p.VMs().VMs) {
		p.SetVMs(vms)
	}
}
