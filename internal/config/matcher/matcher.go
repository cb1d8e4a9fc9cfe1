// Package matcher finds the route and the client account of a request in one version of the configuration.
package matcher

import (
	"sort"
	"strings"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

// RouteKind tells how often a request may run.
type RouteKind uint8

// The kinds of routes.
const (
	// AtMostOnce requests run at most once.
	AtMostOnce RouteKind = iota
	// Idempotent requests may be repeated.
	Idempotent
	// Stream requests are answered by events; they run once unless the route lets them be resumed.
	Stream
)

// WeightedService is the part of a route's requests that goes to a service.
type WeightedService struct {
	Service string
	// Weight is never negative; the weights of a route need not sum to anything.
	Weight int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   RouteKind
	// Timeout is the longest time that a caller is kept waiting for a complete answer; zero means no bound.
	Timeout time.Duration
	// TargetLatency is the latency objective; for streams it holds up to the first event.
	TargetLatency time.Duration
	Priority      int
	// Services is never empty.
	Services []WeightedService
	// MaxAttempts bounds the endpoints that one request may run on; at least one.
	MaxAttempts int
	// SkipAuth routes need no key.
	SkipAuth bool
	// Resumable tells whether a broken stream may go on at another endpoint.
	Resumable bool
}

// PickService returns the service for a request; dice chooses among the shares.
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

// Retryable tells whether the request may run a second time.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Engine describes the model endpoints of a service.
type Engine struct {
	// Slots is how many requests an endpoint runs at a time.
	Slots int
	// KVCapacityTokens is the KV memory of an endpoint in tokens.
	KVCapacityTokens int
	// TokensPerEvent is how many tokens of the answer come in one event.
	TokensPerEvent int
	// HandleTTL is how long a prefilled KV cache waits to be taken.
	HandleTTL time.Duration
}

// Service is a group of equal endpoints.
type Service struct {
	Name string
	// Engine is nil for plain services.
	Engine *Engine
}

// Account is a client account with its limit.
type Account struct {
	Name string
	// Priority is the rank of the account's requests; the lowest is first. Ranked tells whether it is set.
	Priority    int
	HasPriority bool
	// TokensPerSecond in tokens a second and Burst in tokens hold over all VMs; a zero rate means no limit.
	TokensPerSecond float64
	BurstTokens     float64
	// DefaultRequestTokens is the charge in tokens of a request that names no token counts.
	DefaultRequestTokens int
	// KeyDigests are the digests of the keys in force.
	KeyDigests []catalog.Digest
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is what a configuration consists of.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Matcher is one immutable configuration.
type Matcher struct {
	config         Config
	routesByHost   map[string]map[string]*Route
	servicesByName map[string]*Service
	accountsByKey  map[catalog.Digest]*Account
}

// New indexes a configuration; the content must not be changed afterwards.
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

// Limits returns the bounds on requests.
func (m *Matcher) Limits() Limits {
	return m.config.Limits
}

// Accounts returns all accounts, by name.
func (m *Matcher) Accounts() []Account {
	out := append([]Account(nil), m.config.Accounts...)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Route returns the route of the host with the longest prefix that begins the path. Prefixes end with a slash, so
// the cost grows with the depth of the path and not with the number of routes.
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

// Service returns the service with that name.
func (m *Matcher) Service(name string) (s *Service, ok bool) {
	s, ok = m.servicesByName[name]
	return s, ok
}

// AccountByKey returns the account that holds a key.
func (m *Matcher) AccountByKey(key string) (a *Account, ok bool) {
	a, ok = m.accountsByKey[catalog.DigestOf(key)]
	return a, ok
}

func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	return strings.ToLower(host)
}
