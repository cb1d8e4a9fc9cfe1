// Package platform contains a client for what the platform publishes over HTTP: the lists of plans and uses, and the VM
// list.
package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

const (
	// maxListBytes is the longest text of a list. Responses may be twice as long, because the text is encoded as JSON.
	maxListBytes = 1 << 20
	// requestTimeout is the timeout of a request. If the request asks the platform to wait, that time is added.
	requestTimeout = 3 * time.Second
)

// List is one version of a list, or of one of the parts into which a long list is divided.
type List struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// VM is one entry of the VM list.
type VM struct {
	ID string `json:"id"`
	// Kind is KindGateway or KindEndpoint.
	Kind string `json:"kind"`
	// Address is the fleet address of the gateway or of the endpoint's agent, as ip:port.
	Address string `json:"address"`
	// Domain is the failure domain of the VM.
	Domain string `json:"domain"`
	// Role is prefill, decode or plain; only for endpoints.
	Role string `json:"role,omitempty"`
	// Model is the loaded model, or the service name of a plain endpoint.
	Model string `json:"model,omitempty"`
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int `json:"slots,omitempty"`
	// Leaving means that the VM must get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// The kinds of VMs.
const (
	KindGateway  = "gateway"
	KindEndpoint = "endpoint"
)

// Endpoint converts the entry of an endpoint VM. ok is false for another kind of VM and for an unknown role.
func (v VM) Endpoint() (e endpoint.Endpoint, ok bool) {
	role, known := endpoint.ParseRole(v.Role)
	if v.Kind != KindEndpoint || !known {
		return endpoint.Endpoint{}, false
	}
	return endpoint.Endpoint{
		ID: v.ID, Address: v.Address, Domain: v.Domain, Model: v.Model, Role: role, Slots: v.Slots, Leaving: v.Leaving,
	}, true
}

// Check fails if the VM can't be called: it has no ID, or its address or number of slots is impossible.
func (v VM) Check() error {
	if v.ID == "" {
		return errors.New("VM has no id")
	}
	if err := endpoint.CheckAddress(v.Address); err != nil {
		return errors.Wrapf(err, "VM %q", v.ID)
	}
	return errors.Wrapf(endpoint.CheckSlots(v.Slots), "VM %q", v.ID)
}

// VMList is one version of the list of all gateway and endpoint VMs.
type VMList struct {
	Version uint64
	VMs     []VM
	// Malformed holds why entries were left out, one error each.
	Malformed []error
}

// wireVMList is a VMList as the platform sends it.
type wireVMList struct {
	Version uint64            `json:"version"`
	VMs     []json.RawMessage `json:"vms"`
}

// decode leaves out the entries that are not understood. One odd entry must not hide the others.
func (w wireVMList) decode() VMList {
	out := VMList{Version: w.Version, VMs: make([]VM, 0, len(w.VMs))}
	for _, raw := range w.VMs {
		v, err := DecodeVM(raw)
		if err != nil {
			out.Malformed = append(out.Malformed, err)
			continue
		}
		out.VMs = append(out.VMs, v)
	}
	return out
}

// DecodeVM decodes an entry of the VM list. It fails on invalid JSON and on a VM that can't be called.
func DecodeVM(raw []byte) (VM, error) {
	var v VM
	if err := json.Unmarshal(raw, &v); err != nil {
		return VM{}, errors.Wrap(err, "decode VM")
	}
	if err := v.Check(); err != nil {
		return VM{}, err
	}
	return v, nil
}

// Client reads lists from the platform. It is safe for concurrent use.
type Client struct {
	baseURL     string
	processName string
	httpClient  *http.Client
}

// New returns a client of the platform at baseURL. processName is sent as User-Agent header.
func New(baseURL, processName string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, processName: processName, httpClient: httpClient}
}

// ReadList reads the list with the given name. If afterVersion is above zero, the platform waits up to wait for a
// version above it, and returns the current version if there is none by then.
func (c *Client) ReadList(ctx context.Context, name string, afterVersion uint64, wait time.Duration) (List, error) {
	path := "/v1/values/" + url.PathEscape(name)
	if afterVersion > 0 {
		path += "?after=" + strconv.FormatUint(afterVersion, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	var v List
	err := c.get(ctx, path, wait+requestTimeout, &v)
	return v, err
}

// ReadVMList reads the current VM list, without the entries that are not understood.
func (c *Client) ReadVMList(ctx context.Context) (VMList, error) {
	var w wireVMList
	err := c.get(ctx, "/v1/vms", requestTimeout, &w)
	return w.decode(), err
}

// get sends a GET request and decodes the JSON body of the response into the value into. It fails on a status other
// than 200.
func (c *Client) get(ctx context.Context, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "create platform request")
	}
	req.Header.Set("User-Agent", c.processName)
	// Answers have no ID. On a kept connection a late copy of one list would be taken for another.
	req.Close = true
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "call platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("platform responded with status %d to GET %s", resp.StatusCode, path)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxListBytes))
	if err != nil {
		return errors.Wrap(err, "read platform response")
	}
	return errors.Wrap(json.Unmarshal(body, into), "decode platform response")
}
