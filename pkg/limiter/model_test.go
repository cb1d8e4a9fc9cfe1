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
	testAccount       = "studio"
	testRate          = 1000.0
	testBurst         = 5000.0
	maxListLag        = 3 * time.Second
	maxUnnoticedPause = time.Second
	gatewayCount      = 5
	tolerance         = 1e-6
)

// mutant breaks one rule, to prove that the checker sees it.
type mutant string

const (
	noMutant               mutant = ""
	growWithoutReplies     mutant = "growth without the answers of others"
	skipPauseDetection     mutant = "no check after a pause"
	staleListAsNewest      mutant = "an older list is taken for the newest"
	fullBucketsAfterGrowth mutant = "buckets start full after growth"
	settleTwice            mutant = "unused tokens are returned twice"
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
	// startedAt is when it started, skew what its monotonic clock lost while suspended.
	startedAt time.Duration
	clockLoss time.Duration
	paused    bool
	// pausedAt is when the suspension began; stops tells that its clock stands still meanwhile.
	pausedAt   time.Duration
	clockStops bool
	lastTickAt time.Duration
	tickets    []Ticket
}

func (p *process) share() float64 {
	return p.allocator.Share(func(v allocator.View, self string) float64 { return EqualShares(v, self, testAccount) })
}

type packet struct {
	recipient string
	message   allocator.Message
	// view is what the sender gossips with the message.
	view allocator.View
}

type admission struct {
	at     time.Duration
	tokens float64
}

// simulation is the model: gateways, a lossy network, a lagging list.
type simulation struct {
	mutant         mutant
	now            time.Duration
	processes      map[string]*process
	packets        []packet
	publishedLists []allocator.View
	publishedAt    []time.Duration
	// stopsAt maps a name that was taken off the list to the time when its VM has stopped.
	stopsAt         map[string]time.Duration
	lastIncarnation uint64
	log             []string
	// admissions holds all admissions less what was returned.
	admissions         []*admission
	admissionsByTicket map[*process]map[Ticket]*admission
	// brokenLinks holds the directed links that are broken; the list is reached over the link to itself.
	brokenLinks map[[2]string]bool
	// growthCount counts growths to a share above zero, to show that runs reach them.
	growthCount int
}

const listService = "list"

func newSimulation(m mutant) *simulation {
	w := &simulation{mutant: m, processes: make(map[string]*process), stopsAt: make(map[string]time.Duration), admissionsByTicket: make(map[*process]map[Ticket]*admission), brokenLinks: make(map[[2]string]bool)}
	w.publish([]string{"g0", "g1", "g2"})
	for _, n := range []string{"g0", "g1", "g2"} {
		w.start(n)
	}
	return w
}

func (w *simulation) logf(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%v ", w.now)+fmt.Sprintf(format, args...))
}

func (w *simulation) publish(members []string) {
	slices.Sort(members)
	w.publishedLists = append(w.publishedLists, allocator.View{Version: uint64(len(w.publishedLists) + 1), Members: members})
	w.publishedAt = append(w.publishedAt, w.now)
	w.logf("publish %v", members)
}

func (w *simulation) start(name string) {
	w.lastIncarnation++
	a := allocator.New(allocator.Member{Name: name, Incarnation: w.lastIncarnation}, allocator.Options{MaxListLag: maxListLag, MaxUnnoticedPause: maxUnnoticedPause})
	p := &process{name: name, allocator: a, limiter: New(a, EqualShares), startedAt: w.now, lastTickAt: w.now}
	p.limiter.SetLimits([]Limit{{Account: testAccount, Rate: testRate, Burst: testBurst}}, 0)
	w.processes[name] = p
	w.admissionsByTicket[p] = make(map[Ticket]*admission)
	w.logf("start %s as %d", name, w.lastIncarnation)
	w.detectPause(p)
}

func (w *simulation) monotonicClock(p *process) time.Duration {
	return w.now - p.startedAt - p.clockLoss
}

// wallClock returns the wall clock; a process that does not check sees no gap on it.
func (w *simulation) wallClock(p *process) time.Duration {
	if w.mutant == skipPauseDetection {
		return w.monotonicClock(p)
	}
	return w.now
}

func (w *simulation) detectPause(p *process) {
	generationBefore := p.allocator.Generation()
	p.allocator.DetectPause(w.monotonicClock(p), w.wallClock(p))
	p.allocator.Tick(w.monotonicClock(p))
	w.resizeBuckets(p, generationBefore)
}

func (w *simulation) resizeBuckets(p *process, generationBefore uint64) {
	if p.allocator.Generation() != generationBefore {
		w.logf("%s view %v share %.2f", p.name, p.allocator.View(), p.share())
		if p.share() > 0 {
			w.growthCount++
		}
	}
	p.limiter.ResizeBuckets(w.monotonicClock(p))
	if w.mutant == fullBucketsAfterGrowth && p.allocator.Generation() != generationBefore {
		e := p.limiter.entries[testAccount]
		e.bucket = bucket.NewFull(e.bucket.Rate(), e.bucket.Burst(), w.monotonicClock(p))
	}
}

// advance lets time pass in small steps, in which running processes check for pauses.
func (w *simulation) advance(d time.Duration) {
	end := w.now + d
	for w.now < end {
		w.now = min(end, w.now+maxUnnoticedPause/4)
		for _, name := range w.processNames() {
			p := w.processes[name]
			if at, ok := w.stopsAt[name]; ok && at <= w.now && !p.paused {
				w.suspend(p, false)
			}
			if !p.paused {
				w.detectPause(p)
				w.exchangeMessages(p)
			}
		}
	}
}

// exchangeMessages is what a running process does several times a second, over the links that are not cut.
func (w *simulation) exchangeMessages(p *process) {
	if !w.brokenLinks[[2]string{p.name, listService}] {
		w.applyList(p, len(w.publishedLists)-1)
	}
	for _, m := range p.allocator.View().Members {
		if w.mutant == growWithoutReplies {
			fake := p.allocator.Query(w.monotonicClock(p))
			fake.From.Name, fake.IsReply, fake.RequesterIncarnation = m, true, fake.From.Incarnation
			w.receive(p, fake, allocator.View{})
			continue
		}
		other := w.processes[m]
		if m == p.name || other == nil || other.paused || w.brokenLinks[[2]string{p.name, m}] {
			continue
		}
		reply, ok := w.receive(other, p.allocator.Query(w.monotonicClock(p)), p.allocator.View())
		if ok && !w.brokenLinks[[2]string{m, p.name}] {
			w.receive(p, reply, other.allocator.View())
		}
	}
}

// receive gives a message to a running process, and now and then the sender's list with it.
func (w *simulation) receive(p *process, m allocator.Message, view allocator.View) (reply allocator.Message, hasReply bool) {
	w.detectPause(p)
	before := p.allocator.Generation()
	if w.lastIncarnation%2 == 0 {
		p.allocator.ApplyView(view, w.monotonicClock(p))
	}
	reply, hasReply = p.allocator.HandleMessage(m, w.monotonicClock(p))
	w.resizeBuckets(p, before)
	return reply, hasReply
}

func (w *simulation) processNames() []string {
	out := make([]string, 0, len(w.processes))
	for n := range w.processes {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

func (w *simulation) suspend(p *process, clockStops bool) {
	p.paused, p.pausedAt, p.clockStops = true, w.now, clockStops || w.mutant == skipPauseDetection
	w.logf("suspend %s", p.name)
}

func (w *simulation) resume(p *process) {
	gap := w.now - p.pausedAt
	// A VM that was taken off the list runs no more once the lag has passed, unless it was suspended for
	// longer than goes unnoticed.
	if at, ok := w.stopsAt[p.name]; ok && at <= w.now {
		if gap <= maxUnnoticedPause {
			return
		}
		delete(w.stopsAt, p.name)
	}
	p.paused = false
	if p.clockStops {
		p.clockLoss += gap
	}
	w.logf("wake %s after %v", p.name, gap)
	w.detectPause(p)
}

// step makes one random choice and carries it out.
func (w *simulation) step(c chooser) {
	name := fmt.Sprintf("g%d", c.choose(gatewayCount, "gateway"))
	p := w.processes[name]
	switch c.choose(17, "action") {
	case 0:
		w.advance(time.Duration(1+c.choose(40, "tenths")) * 100 * time.Millisecond)
	case 1, 2:
		w.sendQueries(p)
	case 3, 4, 5:
		w.deliverPacket(c)
	case 6:
		w.readList(p, c)
	case 7:
		w.editList(name, c)
	case 8:
		w.failProcess(name, p, c)
	case 9, 10, 11:
		w.admit(p, c)
	case 12, 13:
		w.toggleLink(name, c)
	case 14:
		clear(w.brokenLinks)
	case 15:
		w.isolate(name)
	default:
		w.settleTicket(p, c)
	}
}

// isolate cuts a gateway off the list and all others.
func (w *simulation) isolate(name string) {
	w.logf("isolate %s", name)
	w.brokenLinks[[2]string{name, listService}] = true
	for i := range gatewayCount {
		other := fmt.Sprintf("g%d", i)
		w.brokenLinks[[2]string{name, other}] = true
		w.brokenLinks[[2]string{other, name}] = true
	}
}

// toggleLink cuts a link, in one direction, or mends it.
func (w *simulation) toggleLink(name string, c chooser) {
	to := listService
	if i := c.choose(gatewayCount+1, "to"); i < gatewayCount {
		to = fmt.Sprintf("g%d", i)
	}
	link := [2]string{name, to}
	w.brokenLinks[link] = !w.brokenLinks[link]
	w.logf("cut %v: %v", link, w.brokenLinks[link])
}

func (w *simulation) sendQueries(p *process) {
	if p == nil || p.paused {
		return
	}
	w.detectPause(p)
	for _, m := range p.allocator.View().Members {
		if m != p.name {
			w.packets = append(w.packets, packet{recipient: m, message: p.allocator.Query(w.monotonicClock(p)), view: p.allocator.View()})
		}
	}
}

// deliverPacket passes on, doubles or drops a message out of order.
func (w *simulation) deliverPacket(c chooser) {
	if len(w.packets) == 0 {
		return
	}
	i := c.choose(len(w.packets), "packet")
	pk := w.packets[i]
	if c.choose(4, "keep") != 0 {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	p := w.processes[pk.recipient]
	if p == nil || p.paused || c.choose(8, "drop") == 0 {
		return
	}
	if reply, ok := w.receive(p, pk.message, pk.view); ok {
		w.packets = append(w.packets, packet{recipient: pk.message.From.Name, message: reply, view: p.allocator.View()})
	}
}

// readList takes a list that may be as old as the lag.
func (w *simulation) readList(p *process, c chooser) {
	if p == nil || p.paused {
		return
	}
	w.detectPause(p)
	i := len(w.publishedLists) - 1
	for i > 0 && w.publishedAt[i]+maxListLag > w.now && c.choose(2, "stale") == 0 {
		i--
	}
	w.applyList(p, i)
}

// applyList gives a version of the list to a process.
func (w *simulation) applyList(p *process, i int) {
	v := w.publishedLists[i]
	if w.mutant == staleListAsNewest {
		v.Version = w.publishedLists[len(w.publishedLists)-1].Version
	}
	before := p.allocator.Generation()
	p.allocator.ApplyView(v, w.monotonicClock(p))
	p.allocator.RecordListRead(w.monotonicClock(p), w.monotonicClock(p))
	w.resizeBuckets(p, before)
}

// editList adds a VM to the list or takes one off; what is taken off stops within the lag.
func (w *simulation) editList(name string, c chooser) {
	members := slices.Clone(w.publishedLists[len(w.publishedLists)-1].Members)
	if i := slices.Index(members, name); i >= 0 {
		if len(members) == 1 || c.choose(4, "same") == 0 {
			w.publish(members)
			return
		}
		w.publish(slices.Delete(members, i, i+1))
		if w.processes[name] != nil {
			w.stopsAt[name] = w.now + time.Duration(c.choose(int(maxListLag/time.Millisecond), "lag"))*time.Millisecond
		}
		return
	}
	w.publish(append(members, name))
	delete(w.processes, name)
	delete(w.stopsAt, name)
	w.start(name)
}

// failProcess crashes, restarts, suspends or wakes a process.
func (w *simulation) failProcess(name string, p *process, c chooser) {
	listed := w.publishedLists[len(w.publishedLists)-1].Has(name)
	switch {
	case p == nil && listed:
		w.start(name)
	case p == nil:
	case p.paused:
		w.resume(p)
	case c.choose(2, "crash") == 0:
		delete(w.processes, name)
		w.logf("crash %s", name)
		if listed && c.choose(2, "restart") == 0 {
			w.start(name)
		}
	default:
		w.suspend(p, c.choose(2, "stops") == 0)
	}
}

func (w *simulation) admit(p *process, c chooser) {
	if p == nil || p.paused {
		return
	}
	tokens := float64(1 + c.choose(int(testBurst/2), "tokens"))
	ticket, verdict, _ := p.limiter.Admit(testAccount, tokens, w.monotonicClock(p), w.wallClock(p))
	if verdict != Granted {
		lent, granted := p.limiter.Lend(testAccount, tokens, 0, w.monotonicClock(p), w.wallClock(p))
		if granted == 0 {
			return
		}
		ticket, tokens = lent, granted
	}
	a := &admission{at: w.now, tokens: tokens}
	w.admissions = append(w.admissions, a)
	w.admissionsByTicket[p][ticket] = a
	p.tickets = append(p.tickets, ticket)
}

func (w *simulation) settleTicket(p *process, c chooser) {
	if p == nil || p.paused || len(p.tickets) == 0 {
		return
	}
	i := c.choose(len(p.tickets), "ticket")
	t := p.tickets[i]
	p.tickets = slices.Delete(p.tickets, i, i+1)
	unused := t.Tokens * float64(c.choose(11, "unused")) / 10
	w.detectPause(p)
	p.limiter.Settle(t, unused, w.monotonicClock(p))
	if w.mutant == settleTwice {
		p.limiter.Settle(t, unused, w.monotonicClock(p))
	}
	w.admissionsByTicket[p][t].tokens -= unused
}

// violation tells what is wrong now; empty when nothing is.
func (w *simulation) violation() string {
	sum := 0.0
	for _, p := range w.processes {
		if p.paused && w.mutant != skipPauseDetection && w.now-p.pausedAt > maxUnnoticedPause {
			continue
		}
		sum += p.share()
	}
	if sum > 1+tolerance {
		return fmt.Sprintf("shares sum to %.3f", sum)
	}
	// Every window that ends with the latest admission is enough: earlier ends were looked at before.
	total := 0.0
	for i := len(w.admissions) - 1; i >= 0; i-- {
		total += w.admissions[i].tokens
		allowed := testBurst + testRate*(w.now-w.admissions[i].at).Seconds()
		if total > allowed+tolerance {
			return fmt.Sprintf("%.1f tokens since %v, %.1f allowed", total, w.admissions[i].at, allowed)
		}
	}
	return ""
}

// run makes steps until a violation is found.
func (w *simulation) run(c chooser, steps int) string {
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

// TestAdmissionsNeverExceedTheLimit checks at least 100,000 random steps; a failure shrinks to a printed schedule.
func TestAdmissionsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := newSimulation(noMutant).run(rapidChooser{rt}, 300); v != "" {
			rt.Fatal(v)
		}
	})
	growths := 0
	for seed := range uint64(600) {
		w := newSimulation(noMutant)
		if v := w.run(randomChooser{rand.New(rand.NewPCG(seed, 0))}, 300); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
		growths += w.growthCount
	}
	if growths < 600 {
		t.Errorf("only %d growths were reached in 600 runs", growths)
	}
	t.Logf("%d growths", growths)
}

// TestModelDetectsBrokenRules proves that the check fails where a rule is broken.
func TestModelDetectsBrokenRules(t *testing.T) {
	for _, m := range []mutant{growWithoutReplies, skipPauseDetection, staleListAsNewest, fullBucketsAfterGrowth, settleTwice} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20000) {
				if newSimulation(m).run(randomChooser{rand.New(rand.NewPCG(seed, 0))}, 300) != "" {
					t.Logf("seen with seed %d", seed)
					return
				}
			}
			t.Error("never seen")
		})
	}
}
