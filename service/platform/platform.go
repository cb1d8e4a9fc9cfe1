// Package platform reads what the platform publishes: the two lists and the VM list.
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
	maxListBytes   = 1 << 20
	requestTimeout = 3 * time.Second
)

// List is one version of a list.
type List struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// VM is one entry of the VM list.
type VM struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	Role    string `json:"role,omitempty"`
	Model   string `json:"model,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// KindGateway and KindEndpoint are the kinds of VMs.
const (
	KindGateway  = "gateway"
	KindEndpoint = "endpoint"
)

// Endpoint converts an entry of an endpoint VM; ok is false for any other.
func (v VM) Endpoint() (e endpoint.Endpoint, ok bool) {
	role, known := endpoint.ParseRole(v.Role)
	if v.Kind != KindEndpoint || !known {
		return endpoint.Endpoint{}, false
	}
	return endpoint.Endpoint{ID: v.ID, Address: v.Address, Domain: v.Domain, Model: v.Model, Role: role, Slots: v.Slots, Leaving: v.Leaving}, true
}

// VMList is one version of the VM list.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Client reads from the platform.
type Client struct {
	baseURL     string
	processName string
	httpClient  *http.Client
}

// New returns a client of the platform at the base URL for the named process.
func New(baseURL, processName string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, processName: processName, httpClient: httpClient}
}

// ReadList reads a list; with after above zero it waits a while for a version above it and returns
// the present one when none comes.
func (c *Client) ReadList(ctx context.Context, name string, afterVersion uint64, wait time.Duration) (List, error) {
	path := "/v1/values/" + url.PathEscape(name)
	if afterVersion > 0 {
		path += "?after=" + strconv.FormatUint(afterVersion, 10) + "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	var v List
	err := c.get(ctx, path, wait+requestTimeout, &v)
	return v, err
}

// ReadVMList reads the VM list.
func (c *Client) ReadVMList(ctx context.Context) (VMList, error) {
	var v VMList
	err := c.get(ctx, "/v1/vms", requestTimeout, &v)
	return v, err
}

func (c *Client) get(ctx context.Context, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	req.Header.Set("User-Agent", c.processName)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "read platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("platform answered %d for %s", resp.StatusCode, path)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*maxListBytes))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	return errors.Wrap(json.Unmarshal(body, into), "decode body")
}
