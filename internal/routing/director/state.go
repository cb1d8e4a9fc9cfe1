package director

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/gossiper"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// Compose returns what to tell the other gateways.
func (d *Director) Compose(levels bool) (m gossiper.Message, busy bool) {
	version, age := d.tracker.Seen()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	d.composedAt = now
	m.Version, m.Age = version, age.Milliseconds()
	for id, l := range d.planner.Loads(now) {
		m.Loads = append(m.Loads, encodeLoad(id, l))
	}
	for id, at := range d.balance.Recent(switchWithin, now) {
		if m.Ordered == nil {
			m.Ordered = make(map[string]int64)
		}
		m.Ordered[id] = (now - at).Milliseconds()
	}
	for id, h := range d.balancer.Reports(now) {
		if m.Held == nil {
			m.Held = make(map[string][2]int64)
		}
		m.Held[id] = [2]int64{int64(h.Requests), h.Age.Milliseconds()}
	}
	for _, b := range d.blamer.Blames(now) {
		m.Blames = append(m.Blames, gossiper.Blame{Fingerprint: uint64(b.Fingerprint), Endpoints: b.Endpoints, Age: b.Age.Milliseconds()})
	}
	within := tellFor
	if d.composed%wholeEvery == 0 {
		within, m.Whole = now, true
	}
	d.composed++
	m.Totals = d.capper.Totals(within, now)
	m.Young = d.capper.Young(now)
	if levels && !m.Young {
		m.Levels = d.capper.Levels(now)
	}
	return m, d.busy > 0
}

// Announcer tells the other gateways at once what this one has on some endpoints.
type Announcer interface {
	Announce(loads []gossiper.Load)
}

// Tell sets the way to the other gateways; it must be called once, before the first request.
func (d *Director) Tell(a Announcer) {
	d.announcer = a
}

// announcePlan tells the other gateways of a start on endpoints that have little room left: until they know, they may
// start more there.
func (d *Director) announcePlan(plan *planner.Plan) {
	switch {
	case plan == nil || !plan.Tight:
	case plan.Prefill == nil:
		d.announce(plan.Decode.ID)
	default:
		d.announce(plan.Decode.ID, plan.Prefill.ID)
	}
}

// announce tells the other gateways at once what is known of some endpoints.
func (d *Director) announce(endpoints ...string) {
	if d.announcer == nil {
		return
	}
	d.mu.Lock()
	now := d.clock()
	loads := make([]gossiper.Load, 0, len(endpoints))
	for _, id := range endpoints {
		loads = append(loads, encodeLoad(id, d.planner.LoadOn(id, now)))
	}
	d.mu.Unlock()
	d.announcer.Announce(loads)
}

// Receive takes in what another gateway tells.
func (d *Director) Receive(m gossiper.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	if m.Partial {
		for _, l := range m.Loads {
			d.planner.PeerOn(m.From, l.Endpoint, decodeLoad(l), now)
		}
		d.logSuspicions(m.From)
		return
	}
	if !d.gateways[m.From] {
		d.gateways[m.From] = true
		d.retrier.Share(len(d.gateways) + 1)
	}
	d.capper.Hear(m.From, m.Incarnation, m.Totals, m.Whole, now)
	d.capper.Adopt(m.Levels, now)
	d.ordered(m.Ordered, now)
	d.blamer.Merge(decodeBlames(m.Blames), now)
	loads := make(map[string]planner.Load, len(m.Loads))
	for _, l := range m.Loads {
		loads[l.Endpoint] = decodeLoad(l)
	}
	d.planner.Peer(m.From, loads, now)
	d.logSuspicions(m.From)
	for id, h := range m.Held {
		d.balancer.Hear(id, int(h[0]), now-time.Duration(h[1])*time.Millisecond)
	}
	if now-d.composedAt < awakeWithin {
		d.tracker.Vouch(m.Version, now-time.Duration(m.Age)*time.Millisecond-transit)
	}
}

// ordered takes in the orders of another gateway.
func (d *Director) ordered(ages map[string]int64, now time.Duration) {
	recent := d.balance.Recent(switchWithin, now)
	news := false
	for id, age := range ages {
		_, known := recent[id]
		news = news || !known
		d.balance.Ordered(id, now-time.Duration(age)*time.Millisecond)
	}
	if news {
		d.place()
	}
}

func decodeBlames(blames []gossiper.Blame) []quarantiner.Blame {
	out := make([]quarantiner.Blame, 0, len(blames))
	for _, b := range blames {
		out = append(out, quarantiner.Blame{
			Fingerprint: quarantiner.Fingerprint(b.Fingerprint), Endpoints: b.Endpoints, Age: time.Duration(b.Age) * time.Millisecond,
		})
	}
	return out
}

func encodeLoad(id string, l planner.Load) gossiper.Load {
	out := gossiper.Load{Endpoint: id, Backlog: l.Backlog}
	if l.Read.Number != 0 {
		out.Read = &gossiper.Read{Number: l.Read.Number, Rate: int(l.Read.Rate), Alone: l.Read.Alone}
	}
	if l.Failure.Number != 0 {
		out.Failure = &gossiper.Failure{Number: l.Failure.Number, Age: l.Failure.Age.Milliseconds()}
	}
	if l.Worked {
		age := l.WorkedAge.Milliseconds()
		out.Worked = &age
	}
	for _, r := range l.Runs {
		out.Runs = append(out.Runs, [3]int{r.Prompt, r.Output, int(r.Age.Milliseconds())})
	}
	return out
}

func decodeLoad(l gossiper.Load) planner.Load {
	out := planner.Load{Backlog: l.Backlog}
	if l.Failure != nil {
		out.Failure = planner.Failure{Number: l.Failure.Number, Age: time.Duration(l.Failure.Age) * time.Millisecond}
	}
	if l.Worked != nil {
		out.Worked, out.WorkedAge = true, time.Duration(*l.Worked)*time.Millisecond
	}
	if l.Read != nil {
		out.Read = planner.Sample{Number: l.Read.Number, Rate: float64(l.Read.Rate), Alone: l.Read.Alone}
	}
	for _, r := range l.Runs {
		out.Runs = append(out.Runs, planner.Run{Prompt: r[0], Output: r[1], Age: time.Duration(r[2]) * time.Millisecond})
	}
	return out
}

// Left forgets another gateway.
func (d *Director) Left(gateway string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.gateways, gateway)
	d.planner.Left(gateway)
	d.retrier.Share(len(d.gateways) + 1)
}
