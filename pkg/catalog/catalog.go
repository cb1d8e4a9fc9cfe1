// Package catalog is one accepted configuration: client accounts, their plans and what each plan
// may use. A catalog is immutable.
package catalog

import (
	"crypto/sha256"
	"sort"
)

// Digest is the SHA-256 digest of a caller's key. The key itself is never stored.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	return sha256.Sum256([]byte(key))
}

// RouteKind tells what stands behind a route.
type RouteKind string

// The kinds of routes.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
	RouteOpen    RouteKind = "open"
)

// Account is a client account.
type Account struct {
	Name string
	Plan string
	// Keys are the digests of the keys in force; never empty.
	Keys []Digest
	// TokensPerSecond is in tokens a second over the whole fleet; always positive.
	TokensPerSecond float64
	// BurstTokens is in tokens over the whole fleet; always positive.
	BurstTokens float64
	// Weight is the share in fair queues; always positive.
	Weight float64
}

// Plan is what the accounts of a plan may use.
type Plan struct {
	Name string
	// Routes are names of routes that exist.
	Routes []string
	// MaxOutputTokens bounds max_tokens; zero means no bound.
	MaxOutputTokens int
}

// Route is one thing that plans may use.
type Route struct {
	Name string
	Kind RouteKind
	// Target is the model or the service.
	Target string
	// Retryable tells whether a call may be run more than once.
	Retryable bool
	// CostTokens is what one call is charged, in tokens; zero for models, which are charged by length.
	CostTokens float64
	// ChecksFencingTokens tells whether the endpoints check the fencing numbers of orders themselves.
	ChecksFencingTokens bool
}

// Catalog is an immutable configuration; use New.
type Catalog struct {
	plansVersion uint64
	usesVersion  uint64
	accounts     map[string]*Account
	accountByKey map[Digest]*Account
	plans        map[string]*Plan
	routes       map[string]*Route
	// allowedRoutes maps plan, kind and target to the route.
	allowedRoutes map[routeKey]*Route
}

type routeKey struct {
	plan   string
	kind   RouteKind
	target string
}

// New returns a catalog of checked parts; versions are those of the plans and uses lists.
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

func (c *Catalog) addPlan(p *Plan) {
	c.plans[p.Name] = p
	for _, name := range p.Routes {
		if r, ok := c.routes[name]; ok {
			c.allowedRoutes[routeKey{p.Name, r.Kind, r.Target}] = r
		}
	}
}

// Versions returns the versions of the plans and uses lists.
func (c *Catalog) Versions() (plans, uses uint64) {
	return c.plansVersion, c.usesVersion
}

// AccountByKey returns the account that the key's digest belongs to.
func (c *Catalog) AccountByKey(d Digest) (*Account, bool) {
	a, ok := c.accountByKey[d]
	return a, ok
}

// Account returns the account with that name.
func (c *Catalog) Account(name string) (*Account, bool) {
	a, ok := c.accounts[name]
	return a, ok
}

// Accounts returns all accounts by name.
func (c *Catalog) Accounts() []*Account {
	out := make([]*Account, 0, len(c.accounts))
	for _, a := range c.accounts {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Plan returns the plan with that name.
func (c *Catalog) Plan(name string) (*Plan, bool) {
	p, ok := c.plans[name]
	return p, ok
}

// AllowedRoute returns the route that lets the plan use a target.
func (c *Catalog) AllowedRoute(plan string, kind RouteKind, target string) (*Route, bool) {
	r, ok := c.allowedRoutes[routeKey{plan, kind, target}]
	return r, ok
}

// OpenRoute returns the route that is open to all for a target.
func (c *Catalog) OpenRoute(target string) (*Route, bool) {
	for _, r := range c.routes {
		if r.Kind == RouteOpen && r.Target == target {
			return r, true
		}
	}
	return nil, false
}
