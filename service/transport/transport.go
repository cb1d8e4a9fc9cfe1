// Package transport configures the HTTP connections of agents and gateways to engines, services and the platform.
package transport

import "net/http"

// maxHeadBytes limits the head of a response. The default of net/http, 10 MB, would let a few servers in trouble fill the memory.
const maxHeadBytes = 64 << 10

// New returns a transport that keeps at most maxIdle idle connections to each server.
func New(maxIdle int) *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: maxIdle, MaxResponseHeaderBytes: maxHeadBytes}
}
