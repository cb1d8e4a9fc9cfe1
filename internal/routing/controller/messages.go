package controller

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
)

// Compose returns the next message to the peers, and whether this gateway has requests in progress. If
// includeAvailableTokens is set, the message contains the available tokens of the accounts, unless this gateway has
// just started and needs those of its peers itself.
func (c *Controller) Compose(includeAvailableTokens bool) (m broadcaster.Message, busy bool) {
	config := c.tracker.Report()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	m = m.WithConfigReport(config)
	for id, l := range c.planner.Loads(now) {
		m.Loads = append(m.Loads, encodeLoad(id, l))
	}
	c.composeStages(&m, now)
	for id, report := range c.balancer.RecentReports(now) {
		if m.EndpointRequests == nil {
			m.EndpointRequests = make(map[string][2]int64)
		}
		m.EndpointRequests[id] = [2]int64{int64(report.Requests), report.Age.Milliseconds()}
	}
	c.composeCrashes(&m, includeAvailableTokens, now)
	maxAge := totalsReportTime
	if c.composedMessages%messagesPerFullTotals == 0 {
		maxAge, m.AllAccounts = now, true
	}
	c.composedMessages++
	m.AdmittedTotals = c.capper.AdmittedTotals(maxAge, now)
	size, validFor := c.capper.FleetSize(now)
	m.FleetSize, m.FleetSizeMs = size, validFor.Milliseconds()
	m.NeedsAvailableTokens = c.capper.NeedsAvailableTokens(now)
	if includeAvailableTokens && !m.NeedsAvailableTokens {
		m.AvailableTokens = c.capper.AvailableTokens(now)
	}
	return m, c.requests.Len() > 0
}

// Announcer sends messages to the peers outside of the periodic ones.
type Announcer interface {
	// Announce sends the load of this gateway on some endpoints to all peers immediately.
	Announce(loads []broadcaster.Load)
}

// SetAnnouncer sets the connection to the peers. It must be called once, before the first request.
func (c *Controller) SetAnnouncer(a Announcer) {
	c.announcer = a
}

// announcePlan announces a start on endpoints with low capacity to the peers, because they may start more requests
// there until they know of it. A nil plan is ignored.
func (c *Controller) announcePlan(plan *planner.Plan) {
	switch {
	case plan == nil || !plan.LowCapacity:
	case plan.Prefill == nil:
		c.announce(plan.Decode.ID)
	default:
		c.announce(plan.Decode.ID, plan.Prefill.ID)
	}
}

// announce sends the current load of this gateway on some endpoints to the peers immediately.
func (c *Controller) announce(endpoints ...string) {
	if c.announcer == nil {
		return
	}
	c.mu.Lock()
	now := c.clock()
	loads := make([]broadcaster.Load, 0, len(endpoints))
	for _, id := range endpoints {
		loads = append(loads, encodeLoad(id, c.planner.LoadOn(id, now)))
	}
	c.mu.Unlock()
	c.announcer.Announce(loads)
}

// Receive applies a message from a peer. A message with only loads updates the loads of the named endpoints. A full
// message replaces the load of the peer on all endpoints and also carries admitted totals, available tokens, orders,
// usages, crash records, requests that endpoints reported, and the age of the configuration. What is only true for a while is
// taken from messages of known age alone.
func (c *Controller) Receive(m broadcaster.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	if m.AgeKnown && m.Age > maxLoadMessageAge {
		m.Loads = nil
	}
	if m.LoadsOnly {
		for _, l := range m.Loads {
			c.planner.UpdatePeerLoad(m.From, l.Endpoint, decodeLoad(l), now)
		}
		c.logEjectionChanges(m.From)
		return
	}
	if !c.peers[m.From] {
		c.peers[m.From] = true
		c.setGateways(len(c.peers) + 1)
	}
	c.receiveLimits(m, now)
	c.receiveStages(m, now)
	c.receiveCrashRecords(m, now)
	loads := make(map[string]planner.Load, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Endpoint] = decodeLoad(l)
	}
	c.planner.UpdatePeerLoads(m.From, loads, now)
	c.logEjectionChanges(m.From)
	if !m.AgeKnown {
		return
	}
	composedAt := now - m.Age
	for id, report := range m.EndpointRequests {
		c.balancer.MergePeerReport(id, int(report[0]), composedAt-time.Duration(report[1])*time.Millisecond)
	}
	c.confirmConfig(m, composedAt-m.ConfigReport().Age, now)
}

// confirmConfig records that the store confirmed the version of a message to its sender at the given time. The lock must be
// held.
func (c *Controller) confirmConfig(m broadcaster.Message, confirmedAt, now time.Duration) {
	previous, confirmed := c.tracker.ConfirmFromPeer(m.ConfigReport(), confirmedAt)
	if confirmed && now-previous > minLoggedConfigAge {
		c.log.Info().Str("from", m.From).Uint64("version", m.ConfigVersion).Int64("was_ms", (now-previous).Milliseconds()).
			Int64("age_ms", (now-confirmedAt).Milliseconds()).Int64("message_ms", m.Age.Milliseconds()).
			Msg("config: confirmed again")
	}
}

// receiveLimits applies what a message says of the limits of accounts. The lock must be held.
func (c *Controller) receiveLimits(m broadcaster.Message, now time.Duration) {
	validFor := time.Duration(m.FleetSizeMs)*time.Millisecond - m.Age
	if !m.AgeKnown {
		validFor = min(validFor, undatedFleetSizeTime)
	}
	c.capper.ReceiveFleetSize(m.FleetSize, validFor, now)
	composedAt := now - m.Age
	if !m.AgeKnown {
		composedAt = now - undatedReportAge
	}
	c.capper.ReceiveTotals(capper.Report{
		Gateway: m.From, Incarnation: m.Incarnation, Totals: m.AdmittedTotals, AllAccounts: m.AllAccounts, ComposedAt: composedAt,
	}, now)
	if m.AgeKnown && m.Age <= maxAvailableTokensAge {
		c.capper.AdoptAvailableTokens(m.AvailableTokens, now)
	}
}

// encodeLoad converts the load on an endpoint for a message. Ages become ms.
func encodeLoad(id string, l planner.Load) broadcaster.Load {
	out := broadcaster.Load{Endpoint: id, PrefillBacklogTokens: l.BacklogTokens}
	if l.LastPrefill.ID != 0 {
		out.LastPrefill = &broadcaster.PrefillSample{
			ID: l.LastPrefill.ID, TokensPerSecond: int(l.LastPrefill.TokensPerSecond),
			PromptTokens: l.LastPrefill.PromptTokens, Uncontended: l.LastPrefill.Uncontended,
		}
	}
	if l.LastFailure.ID != 0 {
		out.LastFailure = &broadcaster.Failure{ID: l.LastFailure.ID, AgeMs: l.LastFailure.Age.Milliseconds()}
	}
	if l.Recovered {
		age := l.RecoveryAge.Milliseconds()
		out.LastSuccessAgeMs = &age
	}
	for _, r := range l.Runs {
		out.RunningRequests = append(out.RunningRequests, [3]int{
			r.PromptTokens, r.ExpectedOutputTokens, int(r.Age.Milliseconds()),
		})
	}
	return out
}

// decodeLoad converts the load on an endpoint from a message.
func decodeLoad(l broadcaster.Load) planner.Load {
	out := planner.Load{BacklogTokens: l.PrefillBacklogTokens}
	if l.LastFailure != nil {
		out.LastFailure = planner.Failure{ID: l.LastFailure.ID, Age: time.Duration(l.LastFailure.AgeMs) * time.Millisecond}
	}
	if l.LastSuccessAgeMs != nil {
		out.Recovered, out.RecoveryAge = true, time.Duration(*l.LastSuccessAgeMs)*time.Millisecond
	}
	if l.LastPrefill != nil {
		out.LastPrefill = planner.PrefillSample{
			ID: l.LastPrefill.ID, TokensPerSecond: float64(l.LastPrefill.TokensPerSecond),
			PromptTokens: l.LastPrefill.PromptTokens, Uncontended: l.LastPrefill.Uncontended,
		}
	}
	for _, r := range l.RunningRequests {
		out.Runs = append(out.Runs, planner.Run{
			PromptTokens: r[0], ExpectedOutputTokens: r[1], Age: time.Duration(r[2]) * time.Millisecond,
		})
	}
	return out
}

// RemovePeer removes everything received from a peer that is no longer part of the fleet.
func (c *Controller) RemovePeer(peer string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.peers, peer)
	c.planner.RemovePeer(peer)
	c.profiler.RemovePeer(peer)
	c.setGateways(len(c.peers) + 1)
}

// setGateways tells the parts that share something among all gateways how many there are. The lock must be held.
func (c *Controller) setGateways(gateways int) {
	c.retrier.SetGateways(gateways)
	c.balancer.SetGateways(gateways)
}
