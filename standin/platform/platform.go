// Package platform is a stand-in for the platform: a configuration service whose lists can be read and watched, and the
// VM list. The watch is a long poll: a reader names the version that it has and waits for a higher one.
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

// Platform holds the published lists and serves them. It is safe for concurrent use.
type Platform struct {
	// mu protects all fields.
	mu    sync.Mutex
	lists map[string]wire.List
	vms   wire.VMList
	// changeSignal is closed and replaced each time a list other than the VM list is published.
	changeSignal chan struct{}
	// down is set during an outage, in which every read gets status 503.
	down bool
	// blockedProcesses are the names of the processes whose reads get status 503. A process sends its name as
	// User-Agent.
	blockedProcesses map[string]bool
	requestCount     int
}

// New returns a platform without lists and with an empty VM list.
func New() *Platform {
	return &Platform{
		lists: make(map[string]wire.List), blockedProcesses: make(map[string]bool), changeSignal: make(chan struct{}),
	}
}

// Publish publishes a list and wakes the long polls that wait for it. It accepts a lower version than the published
// one, to simulate a service with stale data.
func (p *Platform) Publish(name string, version uint64, text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists[name] = wire.List{Name: name, Version: version, Text: text}
	close(p.changeSignal)
	p.changeSignal = make(chan struct{})
}

// SetVMs publishes a copy of the VM list with the next version.
func (p *Platform) SetVMs(vms []wire.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = wire.VMList{Version: p.vms.Version + 1, VMs: append([]wire.VM(nil), vms...)}
}

// VMs returns the published VM list. The caller must not change its entries.
func (p *Platform) VMs() wire.VMList {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.vms
}

// SetDown starts or ends an outage of the whole service.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Block makes the service refuse all reads of the process of that name, for good.
func (p *Platform) Block(process string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedProcesses[process] = true
}

// isBlocked reports whether the process that sent the request is blocked.
func (p *Platform) isBlocked(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.blockedProcesses[r.UserAgent()]
}

// countRequest counts a read and reports whether it may be served: there is no outage and its process is not blocked.
func (p *Platform) countRequest(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestCount++
	return !p.down && !p.blockedProcesses[r.UserAgent()]
}

// RequestCount returns the number of reads so far, refused ones included.
func (p *Platform) RequestCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requestCount
}

// Handler returns the handler of the HTTP interface. Processes read with GET; PUT is for the operator.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", p.serveList)
	mux.HandleFunc("GET /v1/vms", p.serveVMs)
	mux.HandleFunc("PUT /v1/values/{name}", p.serveListUpdate)
	return mux
}

// listState returns a list, whether it was ever published, the channel that is closed at the next publication of any
// list, and whether there is an outage.
func (p *Platform) listState(name string) (list wire.List, known bool, changeSignal chan struct{}, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list, known = p.lists[name]
	return list, known, p.changeSignal, p.down
}

// serveList responds with a list. With the parameter after=VERSION it first waits until the list has a higher version,
// for wait=MILLISECONDS at most, and then responds with the list as it is. It responds with status 503 during an
// outage, also when the outage began during the wait.
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

// serveListUpdate publishes the list in the body. Only operators use it; gateways and agents never write to the
// platform.
func (p *Platform) serveListUpdate(w http.ResponseWriter, r *http.Request) {
	var list wire.List
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2<<20)).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Publish(r.PathValue("name"), list.Version, list.Text)
	w.WriteHeader(http.StatusNoContent)
}

// PublishIfChanged publishes a list unless the published one has the same version and text.
func (p *Platform) PublishIfChanged(name string, version uint64, text string) {
	if list, known, _, _ := p.listState(name); !known || list.Version != version || list.Text != text {
		p.Publish(name, version, text)
	}
}

// SetVMsIfChanged publishes the VM list unless the published one has the same entries in the same order.
func (p *Platform) SetVMsIfChanged(vms []wire.VM) {
	if !slices.Equal(vms, p.VMs().VMs) {
		p.SetVMs(vms)
	}
}
