// Package matcher finds the route, the service and the client account of a request in one version of the configuration.
package matcher

import (
	"iter"
	"maps"
	"sort"
	"strings"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

// RouteKind determines how often a request may run.
type RouteKind uint8

// The kinds of routes.
const (
	// AtMostOnce is the kind of routes whose requests must not run twice.
	AtMostOnce RouteKind = iota
	// Idempotent is the kind of routes whose requests may run again.
	Idempotent
	// Stream is the kind of routes whose requests are answered by a stream of events. They run once unless the route is
	// Resumable.
	Stream
)

// WeightedService is a service that gets a part of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string
	// Weight is at least 0. The sum of the weights of a route is arbitrary.
	Weight int
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the beginning of the path; it ends with a slash.
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time until a caller has its complete answer; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the latency objective: for streams up to the first event, otherwise up to the complete answer.
	TargetLatency time.Duration
	// Priority is the rank that the configuration gives to the route. The gateway does not use it.
	Priority int
	// Services is never empty.
	Services []WeightedService
	// MaxAttempts is the largest number of endpoints that one request may run on; at least 1.
	MaxAttempts int
	// SkipAuth is true if requests need no key.
	SkipAuth bool
	// Resumable is true if a broken stream may be continued at another endpoint.
	Resumable bool
}

// PickService returns the service for a request. random must be evenly distributed; it selects a service in proportion
// to the weights. If all weights are zero, the first service is returned.
func (r *Route) PickService(random uint64) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	remaining := int(random % uint64(total))
	for _, s := range r.Services {
		if remaining < s.Weight {
			return s.Service
		}
		remaining -= s.Weight
	}
	return r.Services[0].Service
}

// Retryable returns whether a request may run a second time.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine describes the endpoints of a model service.
type Engine struct {
	// Slots is the number of requests that an endpoint runs at the same time.
	Slots int
	// KVCapacityTokens is the size of the KV cache of an endpoint in tokens.
	KVCapacityTokens int
	// TokensPerEvent is the number of output tokens in one event of a stream.
	TokensPerEvent int
	// HandleTTL is how long an endpoint keeps a prefilled KV cache that has not been fetched yet.
	HandleTTL time.Duration
}

// Service is a group of endpoints that can serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path of the health check of its endpoints. It is empty if there is none.
	HealthPath string
	// Engine is nil for plain services.
	Engine *Engine
}

// Account is a client account with its limit.
type Account struct {
	Name string
	// Priority is the rank that the configuration gives to the account, the lowest first. HasPriority is false if it
	// gives none. The gateway uses neither.
	Priority    int
	HasPriority bool
	// TokensPerSecond and BurstTokens are the limit of the account over all VMs. Zero TokensPerSecond means no limit.
	TokensPerSecond float64
	BurstTokens     float64
	// DefaultRequestTokens is charged for a request that states no token counts.
	DefaultRequestTokens int
	// KeyDigests holds the digests of the valid keys.
	KeyDigests []catalog.Digest
}

// Limits are the bounds on the requests of callers and on their connections.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the longest time that a caller may take to send the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without requests is kept open. The gateway uses neither of the two.
	IdleTimeout time.Duration
}

// Config is the decoded content of one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Matcher is an index of one configuration. It is immutable and safe for concurrent use.
type Matcher struct {
	config Config
	// routesByHost holds the routes by lower-case host and prefix.
	routesByHost   map[string]map[string]*Route
	servicesByName map[string]*Service
	accountsByKey  map[catalog.Digest]*Account
}

// New returns the index of a configuration, which must not be changed afterwards.
func New(c Config) *Matcher {
	m := &Matcher{
		config:         c,
		routesByHost:   make(map[string]map[string]*Route),
		servicesByName: make(map[string]*Service, len(c.Services)),
		accountsByKey:  make(map[catalog.Digest]*Account),
	}
	for i := range c.Routes {
		m.addRoute(&c.Routes[i])
	}
	for i := range c.Services {
		m.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].KeyDigests {
			m.accountsByKey[k] = &c.Accounts[i]
		}
	}
	return m
}

// addRoute adds a route to the index. Of two routes with the same host and prefix the later one is used.
func (m *Matcher) addRoute(r *Route) {
	host := strings.ToLower(r.Host)
	if m.routesByHost[host] == nil {
		m.routesByHost[host] = make(map[string]*Route)
	}
	m.routesByHost[host][r.Prefix] = r
}

// Version returns the version of the configuration.
func (m *Matcher) Version() uint64 {
	return m.config.Version
}

// Limits returns the bounds on requests and connections.
func (m *Matcher) Limits() Limits {
	return m.config.Limits
}

// Accounts returns a copy of all accounts, sorted by name.
func (m *Matcher) Accounts() []Account {
	out := append([]Account(nil), m.config.Accounts...)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Route returns the route of the host with the longest prefix of the path. The host may have a port, and its case does
// not matter. Prefixes end with a slash, so the lookup takes time in proportion to the depth of the path and not to the
// number of routes.
func (m *Matcher) Route(host, path string) (r *Route, ok bool) {
	prefixes, ok := m.routesByHost[normalizeHost(host)]
	if !ok {
		return nil, false
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r, ok := prefixes[path[:end+1]]; ok {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (m *Matcher) Service(name string) (s *Service, ok bool) {
	s, ok = m.servicesByName[name]
	return s, ok
}

// AccountByKey returns the account to which a key belongs. The key is the plain one, not its digest.
func (m *Matcher) AccountByKey(key string) (a *Account, ok bool) {
	a, ok = m.accountsByKey[catalog.DigestOf(key)]
	return a, ok
}

// Keys returns the digests of all valid keys, in no particular order.
func (m *Matcher) Keys() iter.Seq[catalog.Digest] {
	return maps.Keys(m.accountsByKey)
}

// HoldsKey reports whether a key is valid.
func (m *Matcher) HoldsKey(d catalog.Digest) bool {
	_, ok := m.accountsByKey[d]
	return ok
}

// normalizeHost returns the host in lower case and without its port.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
