// Package configurer keeps the active configuration of a gateway. It consists of the plans list with the client
// accounts, the uses list, which says what each plan may use, and the VM list. The configurer reads and watches the
// lists at the platform and receives newer versions from peers. A list is never replaced by an older version.
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

// The names of the lists, as used at the platform and in gossip.
const (
	Plans = "plans"
	Uses  = "uses"
	VMs   = "vms"
)

const (
	// watchTimeout is how long the platform may hold one watch request open before it answers without a new version.
	watchTimeout = 10 * time.Second
	// slowPollFactor is the factor by which the poll interval is stretched while peers poll the platform for this
	// gateway.
	slowPollFactor = 20
	// retryInterval is the wait after a failed read.
	retryInterval = 500 * time.Millisecond
)

// ActivateFunc is called with each new active configuration, in the order of activation.
type ActivateFunc func(*catalog.Catalog)

// VMListFunc is called with each new VM list, and with an unchanged one that was read from the platform again.
// readStartedAt is when the read from the platform began. fromPlatform is false where the list was received from a
// peer; readStartedAt is zero then.
type VMListFunc func(v platform.VMList, readStartedAt time.Time, fromPlatform bool)

// Configurer holds the lists of one gateway. It is safe for concurrent use.
type Configurer struct {
	client       *platform.Client
	pollInterval time.Duration
	log          *log.Logger
	onActivate   ActivateFunc
	onVMList     VMListFunc
	// slowPolling reports whether peers poll the platform for this gateway.
	slowPolling func() bool
	active      atomic.Pointer[catalog.Catalog]

	// mu guards the fields below.
	mu sync.Mutex
	// newestLists holds the newest version received of the plans and the uses, valid or not. activeLists holds the
	// versions that the active configuration was made of.
	newestLists map[string]fleet.List
	activeLists map[string]fleet.List
	// findings are the errors in the newest lists.
	findings finding.Findings
	vms      platform.VMList
	// patchers hold the active lists by name, to make and apply deltas.
	patchers map[string]*patcher.Patcher
	// wholeListNeeded marks the lists for which the last delta did not apply, so that the whole list must be requested.
	wholeListNeeded map[string]bool
}

// New returns a configurer without lists. slowPolling reports whether peers poll the platform for this gateway.
func New(c *platform.Client, pollInterval time.Duration, logger *log.Logger, onActivate ActivateFunc,
	onVMList VMListFunc, slowPolling func() bool,
) *Configurer {
	return &Configurer{
		client: c, pollInterval: pollInterval, log: logger, onActivate: onActivate, onVMList: onVMList,
		slowPolling: slowPolling, newestLists: make(map[string]fleet.List), activeLists: make(map[string]fleet.List),
		wholeListNeeded: make(map[string]bool),
		patchers:        map[string]*patcher.Patcher{Plans: patcher.New(), Uses: patcher.New(), VMs: patcher.New()},
	}
}

// Serve reads and watches the lists at the platform until the context ends, and returns the context's error.
func (c *Configurer) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	wg.Go(func() { c.watchList(ctx, Plans) })
	wg.Go(func() { c.watchList(ctx, Uses) })
	wg.Go(func() { c.pollVMs(ctx) })
	wg.Wait()
	return ctx.Err()
}

// Active returns the active configuration, or nil before the first one.
func (c *Configurer) Active() *catalog.Catalog {
	return c.active.Load()
}

// Versions returns the versions of the three lists for a gossip message. The version is zero where the whole list is
// needed, or where there is none yet.
func (c *Configurer) Versions() (plans, uses, vms uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	version := func(name string) uint64 {
		if c.wholeListNeeded[name] {
			return 0
		}
		return c.patchers[name].Version()
	}
	return version(Plans), version(Uses), version(VMs)
}

// ListsNewerThan returns the lists that are newer than the given versions, which a peer has. Each is a delta from the
// peer's version where that version is still known, and the whole list otherwise.
func (c *Configurer) ListsNewerThan(plans, uses, vms uint64) []fleet.List {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []fleet.List
	for _, peerList := range []fleet.List{
		{Name: Plans, Version: plans}, {Name: Uses, Version: uses}, {Name: VMs, Version: vms},
	} {
		p := c.patchers[peerList.Name]
		if p.Version() <= peerList.Version {
			continue
		}
		if delta, ok := p.DeltaSince(peerList.Version); ok {
			out = append(out, fleet.List{
				Name: peerList.Name, Version: delta.ToVersion, BaseVersion: delta.FromVersion,
				ChangedSections: delta.ChangedSections, RemovedSections: delta.RemovedTitles, TextDigest: delta.Digest,
			})
			continue
		}
		out = append(out, fleet.List{Name: peerList.Name, Version: p.Version(), Text: c.wholeText(peerList.Name)})
	}
	return out
}

// ReceiveLists applies lists received from a peer. Unknown lists and deltas that do not apply are ignored.
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
		c.updateVMs(parseVMs(l), time.Time{}, false)
	}
}

// resolveDelta returns the list with its whole text, computed where the list is a delta. It returns false for an
// unknown list and for a delta that does not apply; in the second case Versions then requests the whole list.
func (c *Configurer) resolveDelta(l fleet.List) (fleet.List, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, known := c.patchers[l.Name]
	if !known {
		return l, false
	}
	if l.BaseVersion == 0 {
		c.wholeListNeeded[l.Name] = false
		return l, true
	}
	text, ok := p.Apply(patcher.Delta{
		FromVersion: l.BaseVersion, ToVersion: l.Version, ChangedSections: l.ChangedSections,
		RemovedTitles: l.RemovedSections, Digest: l.TextDigest,
	})
	c.wholeListNeeded[l.Name] = !ok && l.Version > p.Version()
	l.Text = text
	return l, ok
}

// wholeText returns the whole text of an active list. The caller must hold c.mu.
func (c *Configurer) wholeText(name string) string {
	if name == VMs {
		return formatVMs(c.vms)
	}
	return c.activeLists[name].Text
}

// State is the part of a gateway's dump that describes its lists.
type State struct {
	PlansVersion uint64           `json:"plans"`
	UsesVersion  uint64           `json:"uses"`
	VMsVersion   uint64           `json:"vms"`
	Findings     finding.Findings `json:"findings,omitempty"`
}

// State returns the versions of the active lists and the errors found in the newest ones.
func (c *Configurer) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return State{
		PlansVersion: c.activeLists[Plans].Version, UsesVersion: c.activeLists[Uses].Version, VMsVersion: c.vms.Version,
		Findings: c.findings,
	}
}

// VMList returns a copy of the VMs in the newest VM list.
func (c *Configurer) VMList() []platform.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.vms.VMs)
}

// watchList waits for new versions of a list at the platform and adds them, until the context ends.
func (c *Configurer) watchList(ctx context.Context, name string) {
	for ctx.Err() == nil {
		if c.slowPolling() {
			supervision.Sleep(ctx, c.pollDelay(c.pollInterval))
		}
		c.mu.Lock()
		after := c.newestLists[name].Version
		c.mu.Unlock()
		v, err := c.client.ReadList(ctx, name, after, watchTimeout)
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

// PartVersionError reports that a part of a list has another version than the manifest that names it.
type PartVersionError struct {
	Part string
	// WantVersion is the version of the manifest, GotVersion that of the part.
	WantVersion uint64
	GotVersion  uint64
}

// Error returns the name of the part and both versions.
func (e *PartVersionError) Error() string {
	return fmt.Sprintf("part %s has version %d, its manifest %d", e.Part, e.GotVersion, e.WantVersion)
}

// joinParts returns the text of a manifest followed by the parts that it names. It fails where a part can't be read,
// and with a PartVersionError where a part has another version than the manifest, so that parts of different versions
// are never mixed.
func (c *Configurer) joinParts(ctx context.Context, manifest platform.List) (string, error) {
	text := strings.Builder{}
	text.WriteString(manifest.Text)
	for _, name := range parser.PartNames(parser.ListText{Name: manifest.Name, Body: []byte(manifest.Text)}) {
		part, err := c.client.ReadList(ctx, name, 0, 0)
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

// pollDelay returns the delay until the next read: d, or a multiple of it while peers poll the platform for this
// gateway.
func (c *Configurer) pollDelay(d time.Duration) time.Duration {
	if c.slowPolling() {
		return slowPollFactor * d
	}
	return d
}

// pollVMs reads the VM list from the platform periodically until the context ends.
func (c *Configurer) pollVMs(ctx context.Context) {
	for ctx.Err() == nil {
		readStartedAt := time.Now()
		if v, err := c.client.ReadVMList(ctx); err == nil {
			c.updateVMs(v, readStartedAt, true)
		}
		supervision.Sleep(ctx, c.pollDelay(c.pollInterval))
	}
}

// addList stores a newer version of the plans or the uses and activates it where possible. It first checks the newest
// versions of both lists together; where these have findings, it checks the newest version of each with the active
// version of the other one. The version in the text takes precedence over the one in l.
func (c *Configurer) addList(l fleet.List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l.Version <= c.newestLists[l.Name].Version {
		return
	}
	if v, ok := parser.ListVersion(parser.ListText{Name: l.Name, Body: []byte(l.Text)}); ok && v != l.Version {
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
		c.log.Warn().Str("list", l.Name).Uint64("version", l.Version).
			Int("findings", len(c.findings)).Msg("config: list refused")
	}
}

// isNewer reports whether neither list of a pair is older than the active one, and at least one is newer. The caller
// must hold c.mu.
func (c *Configurer) isNewer(pair [2]fleet.List) bool {
	return pair[0].Version >= c.activeLists[Plans].Version && pair[1].Version >= c.activeLists[Uses].Version &&
		pair[0].Version+pair[1].Version > c.activeLists[Plans].Version+c.activeLists[Uses].Version
}

// activate makes a pair of lists, and the configuration parsed from it, the active one. The caller must hold c.mu, so
// that onActivate is called in the order of activation.
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

// updateVMs stores a VM list that is newer than the stored one. It calls onVMList for a newer list, and for the stored
// one where the same version was read from the platform again.
func (c *Configurer) updateVMs(v platform.VMList, readStartedAt time.Time, fromPlatform bool) {
	c.mu.Lock()
	newer := v.Version > c.vms.Version
	if newer {
		c.logMalformed(v)
		c.vms = v
		c.patchers[VMs].Load(v.Version, formatVMs(v))
	}
	current := c.vms
	c.mu.Unlock()
	if newer || (fromPlatform && v.Version == current.Version) {
		c.onVMList(current, readStartedAt, fromPlatform)
	}
}

// logMalformed logs the entries of a VM list that were left out.
func (c *Configurer) logMalformed(v platform.VMList) {
	for _, err := range v.Malformed {
		c.log.Warn().Uint64("version", v.Version).Err(err).Msg("vms: entry not understood")
	}
}

// parserText converts a list to the form that the parser reads.
func parserText(l fleet.List) parser.ListText {
	return parser.ListText{Name: l.Name, Body: []byte(l.Text)}
}
