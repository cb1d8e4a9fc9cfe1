package limiter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/bucket"
)

const (
	account  = "studio"
	rate     = 1000.0
	burst    = 5000.0
	modelLag = 3 * time.Second
	pause    = time.Second
	names    = 5
	slop     = 1e-6
)

// mutant breaks one rule, to prove that the checker sees it.
type mutant string

const (
	sound         mutant = ""
	unasked       mutant = "growth without the answers of others"
	noCheck       mutant = "no check after a pause"
	lowerVersion  mutant = "an older list is taken for the newest"
	fullStart     mutant = "buckets start full after growth"
	doubleReturns mutant = "unused tokens are returned twice"
)

// chooser is the source of all choices of a run.
type chooser interface {
	choose(n int, label string) int
}

type randomChooser struct{ rng *rand.Rand }

func (c randomChooser) choose(n int, _ string) int { return c.rng.IntN(n) }

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) choose(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

// process is one gateway incarnation of the model.
type process struct {
	name      string
	allocator *allocator.Allocator
	limiter   *Limiter
	// started is when it started, skew what its monotonic clock lost while suspended.
	started time.Duration
	skew    time.Duration
	paused  bool
	// pausedAt is when the suspension began; stops tells that its clock stands still meanwhile.
	pausedAt time.Duration
	stops    bool
	lastTick time.Duration
	tickets  []Ticket
}

func (p *process) share() float64 {
	return p.allocator.Share(func(v allocator.View, self string) float64 { return EqualShares(v, self, account) })
}

type packet struct {
	to      string
	message allocator.Message
	// view is what the sender gossips with the message.
	view allocator.View
}

type admission struct {
	at     time.Duration
	tokens float64
}

// world is the model: gateways, a lossy network, a lagging list.
type world struct {
	mutant    mutant
	now       time.Duration
	processes map[string]*process
	packets   []packet
	lists     []allocator.View
	published []time.Duration
	// doomed maps a name that was taken off the list to the time when its VM has stopped.
	doomed map[string]time.Duration
	next   uint64
	log    []string
	// admitted holds all admissions less what was returned.
	admitted []*admission
	byTicket map[*process]map[Ticket]*admission
	// cut holds the directed links that are broken; the list is reached over the link to itself.
	cut map[[2]string]bool
	// growths counts growths to a share above zero, to show that runs reach them.
	growths int
}

const list = "list"

func newWorld(m mutant) *world {
	w := &world{mutant: m, processes: make(map[string]*process), doomed: make(map[string]time.Duration), byTicket: make(map[*process]map[Ticket]*admission), cut: make(map[[2]string]bool)}
	w.publish([]string{"g0", "g1", "g2"})
	for _, n := range []string{"g0", "g1", "g2"} {
		w.start(n)
	}
	return w
}

func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

func (w *world) publish(members []string) {
	slices.Sort(members)
	w.lists = append(w.lists, allocator.View{Version: uint64(len(w.lists) + 1), Members: members})
	w.published = append(w.published, w.now)
	w.note("publish %v", members)
}

func (w *world) start(name string) {
	w.next++
	a := allocator.New(allocator.Member{Name: name, Incarnation: w.next}, allocator.Options{MaxListLag: modelLag, MaxUnnoticedPause: pause})
	p := &process{name: name, allocator: a, limiter: New(a, EqualShares), started: w.now, lastTick: w.now}
	p.limiter.SetLimits([]Limit{{Account: account, Rate: rate, Burst: burst}}, 0)
	w.processes[name] = p
	w.byTicket[p] = make(map[Ticket]*admission)
	w.note("start %s as %d", name, w.next)
	w.check(p)
}

func (w *world) clock(p *process) time.Duration { return w.now - p.started - p.skew }

// wall returns the wall clock; a process that does not check sees no gap on it.
func (w *world) wall(p *process) time.Duration {
	if w.mutant == noCheck {
		return w.clock(p)
	}
	return w.now
}

func (w *world) check(p *process) {
	before := p.allocator.Generation()
	p.allocator.DetectPause(w.clock(p), w.wall(p))
	p.allocator.Tick(w.clock(p))
	w.resize(p, before)
}

func (w *world) resize(p *process, before uint64) {
	if p.allocator.Generation() != before {
		w.note("%s view %v share %.2f", p.name, p.allocator.View(), p.share())
		if p.share() > 0 {
			w.growths++
		}
	}
	p.limiter.ResizeBuckets(w.clock(p))
	if w.mutant == fullStart && p.allocator.Generation() != before {
		e := p.limiter.entries[account]
		e.bucket = bucket.NewFull(e.bucket.Rate(), e.bucket.Burst(), w.clock(p))
	}
}

// advance lets time pass in small steps, in which running processes check for pauses.
func (w *world) advance(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.now = min(end, w.now+pause/4)
		for _, name := range w.sorted() {
			p := w.processes[name]
			if at, ok := w.doomed[name]; ok && at <= w.now && !p.paused {
				w.suspend(p, false)
			}
			if !p.paused {
				w.check(p)
				w.routine(p)
			}
		}
	}
}

// routine is what a running process does several times a second, over the links that are not cut.
func (w *world) routine(p *process) {
	if !w.cut[[2]string{p.name, list}] {
		w.take(p, len(w.lists)-1)
	}
	for _, m := range p.allocator.View().Members {
		if w.mutant == unasked {
			fake := p.allocator.Query(w.clock(p))
			fake.From.Name, fake.IsReply, fake.RequesterIncarnation = m, true, fake.From.Incarnation
			w.receive(p, fake, allocator.View{})
			continue
		}
		other := w.processes[m]
		if m == p.name || other == nil || other.paused || w.cut[[2]string{p.name, m}] {
			continue
		}
		reply, ok := w.receive(other, p.allocator.Query(w.clock(p)), p.allocator.View())
		if ok && !w.cut[[2]string{m, p.name}] {
			w.receive(p, reply, other.allocator.View())
		}
	}
}

// receive gives a message to a running process, and now and then the sender's list with it.
func (w *world) receive(p *process, m allocator.Message, view allocator.View) (reply allocator.Message, answered bool) {
	w.check(p)
	before := p.allocator.Generation()
	if w.next%2 == 0 {
		p.allocator.ApplyView(view, w.clock(p))
	}
	reply, answered = p.allocator.HandleMessage(m, w.clock(p))
	w.resize(p, before)
	return reply, answered
}

func (w *world) sorted() []string {
	out := make([]string, 0, len(w.processes))
	for n := range w.processes {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (w *world) suspend(p *process, stops bool) {
	p.paused, p.pausedAt, p.stops = true, w.now, stops || w.mutant == noCheck
	w.note("suspend %s", p.name)
}

func (w *world) wake(p *process) {
	gap := w.now - p.pausedAt
	// A VM that was taken off the list runs no more once the lag has passed, unless it was suspended for
	// longer than goes unnoticed.
	if at, ok := w.doomed[p.name]; ok && at <= w.now {
		if gap <= pause {
			return
		}
		delete(w.doomed, p.name)
	}
	p.paused = false
	if p.stops {
		p.skew += gap
	}
	w.note("wake %s after %v", p.name, gap)
	w.check(p)
}

// step makes one random choice and carries it out.
func (w *world) step(c chooser) {
	name := fmt.Sprintf("g%d", c.choose(names, "gateway"))
	p := w.processes[name]
	switch c.choose(17, "action") {
	case 0:
		w.advance(time.Duration(1+c.choose(40, "tenths")) * 100 * time.Millisecond)
	case 1, 2:
		w.ask(p)
	case 3, 4, 5:
		w.deliver(c)
	case 6:
		w.read(p, c)
	case 7:
		w.edit(name, c)
	case 8:
		w.fail(name, p, c)
	case 9, 10, 11:
		w.admit(p, c)
	case 12, 13:
		w.toggle(name, c)
	case 14:
		clear(w.cut)
	case 15:
		w.isolate(name)
	default:
		w.settle(p, c)
	}
}

// isolate cuts a gateway off the list and all others.
func (w *world) isolate(name string) {
	w.note("isolate %s", name)
	w.cut[[2]string{name, list}] = true
	for i := range names {
		other := fmt.Sprintf("g%d", i)
		w.cut[[2]string{name, other}] = true
		w.cut[[2]string{other, name}] = true
	}
}

// toggle cuts a link, in one direction, or mends it.
func (w *world) toggle(name string, c chooser) {
	to := list
	if i := c.choose(names+1, "to"); i < names {
		to = fmt.Sprintf("g%d", i)
	}
	link := [2]string{name, to}
	w.cut[link] = !w.cut[link]
	w.note("cut %v: %v", link, w.cut[link])
}

func (w *world) ask(p *process) {
	if p == nil || p.paused {
		return
	}
	w.check(p)
	for _, m := range p.allocator.View().Members {
		if m != p.name {
			w.packets = append(w.packets, packet{to: m, message: p.allocator.Query(w.clock(p)), view: p.allocator.View()})
		}
	}
}

// deliver passes on, doubles or drops a message out of order.
func (w *world) deliver(c chooser) {
	if len(w.packets) == 0 {
		return
	}
	i := c.choose(len(w.packets), "packet")
	pk := w.packets[i]
	if c.choose(4, "keep") != 0 {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	p := w.processes[pk.to]
	if p == nil || p.paused || c.choose(8, "drop") == 0 {
		return
	}
	if reply, ok := w.receive(p, pk.message, pk.view); ok {
		w.packets = append(w.packets, packet{to: pk.message.From.Name, message: reply, view: p.allocator.View()})
	}
}

// read takes a list that may be as old as the lag.
func (w *world) read(p *process, c chooser) {
	if p == nil || p.paused {
		return
	}
	w.check(p)
	i := len(w.lists) - 1
	for i > 0 && w.published[i]+modelLag > w.now && c.choose(2, "stale") == 0 {
		i--
	}
	w.take(p, i)
}

// take gives a version of the list to a process.
func (w *world) take(p *process, i int) {
	v := w.lists[i]
	if w.mutant == lowerVersion {
		v.Version = w.lists[len(w.lists)-1].Version
	}
	before := p.allocator.Generation()
	p.allocator.ApplyView(v, w.clock(p))
	p.allocator.RecordListRead(w.clock(p), w.clock(p))
	w.resize(p, before)
}

// edit adds a VM to the list or takes one off; what is taken off stops within the lag.
func (w *world) edit(name string, c chooser) {
	members := slices.Clone(w.lists[len(w.lists)-1].Members)
	if i := slices.Index(members, name); i >= 0 {
		if len(members) == 1 || c.choose(4, "same") == 0 {
			w.publish(members)
			return
		}
		w.publish(slices.Delete(members, i, i+1))
		if w.processes[name] != nil {
			w.doomed[name] = w.now + time.Duration(c.choose(int(modelLag/time.Millisecond), "lag"))*time.Millisecond
		}
		return
	}
	w.publish(append(members, name))
	delete(w.processes, name)
	delete(w.doomed, name)
	w.start(name)
}

// fail crashes, restarts, suspends or wakes a process.
func (w *world) fail(name string, p *process, c chooser) {
	listed := w.lists[len(w.lists)-1].Has(name)
	switch {
	case p == nil && listed:
		w.start(name)
	case p == nil:
	case p.paused:
		w.wake(p)
	case c.choose(2, "crash") == 0:
		delete(w.processes, name)
		w.note("crash %s", name)
		if listed && c.choose(2, "restart") == 0 {
			w.start(name)
		}
	default:
		w.suspend(p, c.choose(2, "stops") == 0)
	}
}

func (w *world) admit(p *process, c chooser) {
	if p == nil || p.paused {
		return
	}
	tokens := float64(1 + c.choose(int(burst/2), "tokens"))
	ticket, verdict, _ := p.limiter.Admit(account, tokens, w.clock(p), w.wall(p))
	if verdict != Granted {
		lent, granted := p.limiter.Lend(account, tokens, 0, w.clock(p), w.wall(p))
		if granted == 0 {
			return
		}
		ticket, tokens = lent, granted
	}
	a := &admission{at: w.now, tokens: tokens}
	w.admitted = append(w.admitted, a)
	w.byTicket[p][ticket] = a
	p.tickets = append(p.tickets, ticket)
}

func (w *world) settle(p *process, c chooser) {
	if p == nil || p.paused || len(p.tickets) == 0 {
		return
	}
	i := c.choose(len(p.tickets), "ticket")
	t := p.tickets[i]
	p.tickets = slices.Delete(p.tickets, i, i+1)
	unused := t.Tokens * float64(c.choose(11, "unused")) / 10
	w.check(p)
	p.limiter.Settle(t, unused, w.clock(p))
	if w.mutant == doubleReturns {
		p.limiter.Settle(t, unused, w.clock(p))
	}
	w.byTicket[p][t].tokens -= unused
}

// violation tells what is wrong now; empty when nothing is.
func (w *world) violation() string {
	sum := 0.0
	for _, p := range w.processes {
		if p.paused && w.mutant != noCheck && w.now-p.pausedAt > pause {
			continue
		}
		sum += p.share()
	}
	if sum > 1+slop {
		return fmt.Sprintf("shares sum to %.3f", sum)
	}
	// Every window that ends with the latest admission is enough: earlier ends were looked at before.
	total := 0.0
	for i := len(w.admitted) - 1; i >= 0; i-- {
		total += w.admitted[i].tokens
		allowed := burst + rate*(w.now-w.admitted[i].at).Seconds()
		if total > allowed+slop {
			return fmt.Sprintf("%.1f tokens since %v, %.1f allowed", total, w.admitted[i].at, allowed)
		}
	}
	return ""
}

// run makes steps until a violation is found.
func (w *world) run(c chooser, steps int) string {
	for range steps {
		w.step(c)
		if v := w.violation(); v != "" {
			return v + "\n" + strings.Join(w.log, "\n")
		}
	}
	return ""
}

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// TestNobodyExceedsThePlan checks at least 100,000 random steps; a failure shrinks to a printed schedule.
func TestNobodyExceedsThePlan(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := newWorld(sound).run(rapidChooser{rt}, 300); v != "" {
			rt.Fatal(v)
		}
	})
	growths := 0
	for seed := range uint64(600) {
		w := newWorld(sound)
		if v := w.run(randomChooser{rand.New(rand.NewPCG(seed, 0))}, 300); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
		growths += w.growths
	}
	if growths < 600 {
		t.Errorf("only %d growths were reached in 600 runs", growths)
	}
	t.Logf("%d growths", growths)
}

// TestBrokenRulesAreSeen proves that the check fails where a rule is broken.
func TestBrokenRulesAreSeen(t *testing.T) {
	for _, m := range []mutant{unasked, noCheck, lowerVersion, fullStart, doubleReturns} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20000) {
				if newWorld(m).run(randomChooser{rand.New(rand.NewPCG(seed, 0))}, 300) != "" {
					t.Logf("seen with seed %d", seed)
					return
				}
			}
			t.Error("never seen")
		})
	}
}
