// Package catalog holds one accepted configuration: the client accounts, their plans and the models and services that
// each plan may use. A catalog is immutable and safe for concurrent use.
package catalog

import (
	"crypto/sha256"
	"sort"
)

// Digest is the SHA-256 digest of a caller's API key. The key itself is never stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// RouteKind is the kind of target that a route leads to. The values are those of the key "kind" in the uses list.
type RouteKind string

// The kinds of routes. A model route leads to model engines and a service route to a plain service, both for accounts
// whose plan names the route. An open route leads to a plain service and needs no account.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
	RouteOpen    RouteKind = "open"
)

// Account is a client account. Its rate and burst limits hold for the whole fleet, not for each gateway.
type Account struct {
	Name string
	// Plan is the name of the account's plan.
	Plan string
	// Keys holds the digests of the valid API keys; never empty.
	Keys []Digest
	// TokensPerSecond is the rate limit; always positive.
	TokensPerSecond float64
	// BurstTokens is the burst limit; always positive.
	BurstTokens float64
	// Weight is the account's weight in fair queues; always positive.
	Weight float64
}

// Plan lists what the accounts of a plan may use.
type Plan struct {
	Name string
	// Routes holds the names of the routes that the plan may use. All of them exist.
	Routes []string
	// MaxOutputTokens is the largest max_tokens that a request may ask for; 0 means no bound.
	MaxOutputTokens int
}

// Route is one model or service that plans may use.
type Route struct {
	Name string
	Kind RouteKind
	// Target is the name of the model or the service.
	Target string
	// Retryable is true if a call may be executed more than once.
	Retryable bool
	// CostTokens is the charge for one call, in tokens. It is 0 for models, which are charged by length.
	CostTokens float64
	// ChecksFencingTokens is true if the endpoints check the fencing tokens of orders themselves.
	ChecksFencingTokens bool
}

// Catalog is an immutable configuration. New creates it from lists that have been checked.
type Catalog struct {
	plansVersion uint64
	usesVersion  uint64
	accounts     map[string]*Account
	accountByKey map[Digest]*Account
	plans        map[string]*Plan
	routes       map[string]*Route
	// allowedRoutes holds the routes that each plan may use.
	allowedRoutes map[routeKey]*Route
}

// routeKey identifies a route by the plan that may use it, its kind and its target.
type routeKey struct {
	plan   string
	kind   RouteKind
	target string
}

// New returns a catalog of accounts, plans and routes that have been checked. The versions are those of the plans list
// and the uses list.
// The catalog refers to the slices, which must not change afterwards.
func New(plansVersion, usesVersion uint64, accounts []Account, plans []Plan, routes []Route) *Catalog {
	c := &Catalog{
		plansVersion: plansVersion, usesVersion: usesVersion,
		accounts:      make(map[string]*Account, len(accounts)),
		accountByKey:  make(map[Digest]*Account, len(accounts)),
		plans:         make(map[string]*Plan, len(plans)),
		routes:        make(map[string]*Route, len(routes)),
		allowedRoutes: make(map[routeKey]*Route),
	}
	for i := range routes {
		c.routes[routes[i].Name] = &routes[i]
	}
	for i := range accounts {
		c.accounts[accounts[i].Name] = &accounts[i]
		for _, k := range accounts[i].Keys {
			c.accountByKey[k] = &accounts[i]
		}
	}
	for i := range plans {
		c.addPlan(&plans[i])
	}
	return c
}

// addPlan adds a plan and its allowed routes. The routes must have been added before.
func (c *Catalog) addPlan(p *Plan) {
	c.plans[p.Name] = p
	for _, name := range p.Routes {
		if r, ok := c.routes[name]; ok {
			c.allowedRoutes[routeKey{p.Name, r.Kind, r.Target}] = r
		}
	}
}

// Versions returns the versions of the plans list and the uses list from which the catalog was made.
func (c *Catalog) Versions() (plans, uses uint64) {
	return c.plansVersion, c.usesVersion
}

// AccountByKey returns the account that owns the API key with this digest. The second result is false if there is none.
func (c *Catalog) AccountByKey(d Digest) (*Account, bool) {
	a, ok := c.accountByKey[d]
	return a, ok
}

// Account returns the account with the name. The second result is false if there is none.
func (c *Catalog) Account(name string) (*Account, bool) {
	a, ok := c.accounts[name]
	return a, ok
}

// Accounts returns all accounts, sorted by name.
func (c *Catalog) Accounts() []*Account {
	out := make([]*Account, 0, len(c.accounts))
	for _, a := range c.accounts {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Plan returns the plan with the name. The second result is false if there is none.
func (c *Catalog) Plan(name string) (*Plan, bool) {
	p, ok := c.plans[name]
	return p, ok
}

// AllowedRoute returns the route by which the plan may use a target. The second result is false when it may not.
func (c *Catalog) AllowedRoute(plan string, kind RouteKind, target string) (*Route, bool) {
	r, ok := c.allowedRoutes[routeKey{plan, kind, target}]
	return r, ok
}

// OpenRoute returns the open route to a target, which callers may use without an account. The second result is false if
// there is none.
func (c *Catalog) OpenRoute(target string) (*Route, bool) {
	for _, r := range c.routes {
		if r.Kind == RouteOpen && r.Target == target {
			return r, true
		}
	}
	return nil, false
}
