// Package configurer keeps the lists in force: it reads and watches them at the platform, and takes
// newer ones from other gateways. A version never goes back.
package configurer

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/finding"
	"github.com/pistachiovane/pistachiovane/pkg/parser"
	"github.com/pistachiovane/pistachiovane/pkg/patcher"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

// The names of the lists.
const (
	Plans = "plans"
	Uses  = "uses"
	VMs   = "vms"
)

const (
	// watchTimeout is how long one watch call waits.
	watchTimeout = 10 * time.Second
	// slowPollFactor is how much rarer a gateway reads while others read for it.
	slowPollFactor = 20
	// retryInterval is the pause after a failed read.
	retryInterval = 500 * time.Millisecond
)

// ActivateFunc is called with each configuration that comes into force, in order.
type ActivateFunc func(*catalog.Catalog)

// VMListFunc is called with each VM list, and with when its read began; seen is false when it came from another gateway.
type VMListFunc func(v platform.VMs, asked time.Time, seen bool)

// Configurer holds the lists of one gateway.
type Configurer struct {
	client       *platform.Client
	pollInterval time.Duration
	log          *log.Logger
	onActivate   ActivateFunc
	onVMList     VMListFunc
	slowPolling  func() bool
	active       atomic.Pointer[catalog.Catalog]

	mu sync.Mutex
	// newestLists are the newest texts seen, valid or not; inForce those that are in force.
	newestLists map[string]fleet.List
	activeLists map[string]fleet.List
	findings    finding.Findings
	vms         platform.VMs
	// patchers hold the lists in force, for deltas; whole marks those for which a delta did not fit.
	patchers    map[string]*patcher.Patcher
	wholeNeeded map[string]bool
}

// New returns a configurer without lists. relaxed tells whether other gateways read the platform for this one.
func New(c *platform.Client, pollInterval time.Duration, logger *log.Logger, onActivate ActivateFunc, onVMList VMListFunc, slowPolling func() bool) *Configurer {
	return &Configurer{
		client: c, pollInterval: pollInterval, log: logger, onActivate: onActivate, onVMList: onVMList, slowPolling: slowPolling,
		newestLists: make(map[string]fleet.List), activeLists: make(map[string]fleet.List), wholeNeeded: make(map[string]bool),
		patchers: map[string]*patcher.Patcher{Plans: patcher.New(), Uses: patcher.New(), VMs: patcher.New()},
	}
}

// Serve reads and watches the platform until the context ends.
func (c *Configurer) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.watchList(ctx, Plans) })
	wg.Go(func() { c.watchList(ctx, Uses) })
	wg.Go(func() { c.pollVMs(ctx) })
	wg.Wait()
	return ctx.Err()
}

// Active returns the configuration in force, or nil before the first one.
func (c *Configurer) Active() *catalog.Catalog {
	return c.active.Load()
}

// Versions returns the versions held of the three lists, for gossip; zero asks for a whole list.
func (c *Configurer) Versions() (plans, uses, vms uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := func(name string) uint64 {
		if c.wholeNeeded[name] {
			return 0
		}
		return c.patchers[name].Version()
	}
	return version(Plans), version(Uses), version(VMs)
}

// ListsNewerThan returns what is newer here than at another gateway that holds those versions: deltas where they are known.
func (c *Configurer) ListsNewerThan(plans, uses, vms uint64) []fleet.List {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []fleet.List
	for _, peerList := range []fleet.List{{Name: Plans, Version: plans}, {Name: Uses, Version: uses}, {Name: VMs, Version: vms}} {
		p := c.patchers[peerList.Name]
		if p.Version() <= peerList.Version {
			continue
		}
		if delta, ok := p.Since(peerList.Version); ok {
			out = append(out, fleet.List{Name: peerList.Name, Version: delta.To, From: delta.From, Set: delta.Set, Drop: delta.Drop, Digest: delta.Digest})
			continue
		}
		out = append(out, fleet.List{Name: peerList.Name, Version: p.Version(), Text: c.wholeText(peerList.Name)})
	}
	return out
}

// ReceiveLists takes in lists from another gateway.
func (c *Configurer) ReceiveLists(lists []fleet.List) {
	for _, l := range lists {
		l, ok := c.resolveDelta(l)
		if !ok {
			continue
		}
		if l.Name != VMs {
			c.addList(l)
			continue
		}
		if v, err := parseVMs(l); err == nil {
			c.updateVMs(v, time.Time{}, false)
		}
	}
}

// resolveDelta turns a delta into the whole list; one that does not fit makes the next question ask for the whole.
func (c *Configurer) resolveDelta(l fleet.List) (fleet.List, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, known := c.patchers[l.Name]
	if !known {
		return l, false
	}
	if l.From == 0 {
		c.wholeNeeded[l.Name] = false
		return l, true
	}
	text, ok := p.Apply(patcher.Delta{From: l.From, To: l.Version, Set: l.Set, Drop: l.Drop, Digest: l.Digest})
	c.wholeNeeded[l.Name] = !ok && l.Version > p.Version()
	l.Text = text
	return l, ok
}

// wholeText returns the whole text of a list that is in force.
func (c *Configurer) wholeText(name string) string {
	if name == VMs {
		return formatVMs(c.vms)
	}
	return c.activeLists[name].Text
}

// State is the dump of the configurer.
type State struct {
	PlansVersion uint64           `json:"plans"`
	UsesVersion  uint64           `json:"uses"`
	VMsVersion   uint64           `json:"vms"`
	Findings     finding.Findings `json:"findings,omitempty"`
}

// State returns the versions in force, and what is wrong with newer ones.
func (c *Configurer) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{PlansVersion: c.activeLists[Plans].Version, UsesVersion: c.activeLists[Uses].Version, VMsVersion: c.vms.Version, Findings: c.findings}
}

// VMList returns the VM list as it was read last.
func (c *Configurer) VMList() []platform.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vms.VMs)
}

func (c *Configurer) watchList(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if c.slowPolling() {
			supervision.Sleep(ctx, c.pollDelay(c.pollInterval))
		}
		c.mu.Lock()
		after := c.newestLists[name].Version
		c.mu.Unlock()
		v, err := c.client.Value(ctx, name, after, watchTimeout)
		if err != nil {
			supervision.Sleep(ctx, retryInterval)
			continue
		}
		if v.Version <= after {
			supervision.Sleep(ctx, retryInterval/10)
			continue
		}
		text, err := c.joinParts(ctx, v)
		if err != nil {
			c.log.Warn().Str("list", name).Uint64("version", v.Version).Err(err).Msg("config: parts do not fit yet")
			supervision.Sleep(ctx, retryInterval)
			continue
		}
		c.addList(fleet.List{Name: name, Version: v.Version, Text: text})
	}
}

// PartVersionError is a part of a list that is not of the version that its manifest names.
type PartVersionError struct {
	Part string
	// WantVersion and Got are the versions of the manifest and of the part.
	WantVersion uint64
	GotVersion  uint64
}

// Error names the part and the versions.
func (e *PartVersionError) Error() string {
	return fmt.Sprintf("part %s has version %d, its manifest %d", e.Part, e.GotVersion, e.WantVersion)
}

// joinParts appends the parts that a manifest names, all of its own version, or fails: a list is taken whole or not at
// all.
func (c *Configurer) joinParts(ctx context.Context, manifest platform.Value) (string, error) {
	text := strings.Builder{}
	text.WriteString(manifest.Text)
	for _, name := range parser.Parts(parser.Text{Name: manifest.Name, Body: []byte(manifest.Text)}) {
		part, err := c.client.Value(ctx, name, 0, 0)
		if err != nil {
			return "", err
		}
		if part.Version != manifest.Version {
			return "", &PartVersionError{Part: name, WantVersion: manifest.Version, GotVersion: part.Version}
		}
		text.WriteString("\n")
		text.WriteString(part.Text)
	}
	return text.String(), nil
}

// pollDelay stretches the time between reads while others read for this gateway.
func (c *Configurer) pollDelay(d time.Duration) time.Duration {
	if c.slowPolling() {
		return slowPollFactor * d
	}
	return d
}

func (c *Configurer) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		readStartedAt := time.Now()
		if v, err := c.client.VMs(ctx); err == nil {
			c.updateVMs(v, readStartedAt, true)
		}
		supervision.Sleep(ctx, c.pollDelay(c.pollInterval))
	}
}

// addList takes in a version of a list. Both newest lists are tried together; where they do not fit, the newer of
// either with the one in force.
func (c *Configurer) addList(l fleet.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Version <= c.newestLists[l.Name].Version {
		return
	}
	if v, ok := parser.Version(parser.Text{Name: l.Name, Body: []byte(l.Text)}); ok && v != l.Version {
		l.Version = v
		if v <= c.newestLists[l.Name].Version {
			return
		}
	}
	c.newestLists[l.Name] = l
	pairs := [][2]fleet.List{
		{c.newestLists[Plans], c.newestLists[Uses]},
		{c.activeLists[Plans], c.newestLists[Uses]},
		{c.newestLists[Plans], c.activeLists[Uses]},
	}
	for i, pair := range pairs {
		parsed, findings := parser.Parse(parserText(pair[0]), parserText(pair[1]))
		if i == 0 {
			c.findings = findings
		}
		if len(findings) == 0 && c.isNewer(pair) {
			c.activate(pair, parsed)
			return
		}
	}
	if c.newestLists[Plans].Version > 0 && c.newestLists[Uses].Version > 0 {
		c.log.Warn().Str("list", l.Name).Uint64("version", l.Version).Int("findings", len(c.findings)).Msg("config: list refused")
	}
}

func (c *Configurer) isNewer(pair [2]fleet.List) bool {
	return pair[0].Version >= c.activeLists[Plans].Version && pair[1].Version >= c.activeLists[Uses].Version &&
		pair[0].Version+pair[1].Version > c.activeLists[Plans].Version+c.activeLists[Uses].Version
}

func (c *Configurer) activate(pair [2]fleet.List, parsed *catalog.Catalog) {
	c.activeLists[Plans], c.activeLists[Uses] = pair[0], pair[1]
	for _, l := range pair {
		if p, ok := c.patchers[l.Name]; ok && l.Version > p.Version() {
			p.Load(l.Version, l.Text)
		}
	}
	c.active.Store(parsed)
	c.onActivate(parsed)
	c.log.Info().Uint64("plans", pair[0].Version).Uint64("uses", pair[1].Version).Msg("config: in force")
}

func (c *Configurer) updateVMs(v platform.VMs, readStartedAt time.Time, fromPlatform bool) {
	c.mu.Lock()
	newer := v.Version > c.vms.Version
	if newer {
		c.vms = v
		c.patchers[VMs].Load(v.Version, formatVMs(v))
	}
	current := c.vms
	c.mu.Unlock()
	if newer || (fromPlatform && v.Version == current.Version) {
		c.onVMList(current, readStartedAt, fromPlatform)
	}
}

func parserText(l fleet.List) parser.Text {
	return parser.Text{Name: l.Name, Body: []byte(l.Text)}
}
