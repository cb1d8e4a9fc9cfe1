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

// The model test simulates up to gatewayCount gateways, which share the limit of one account.
const (
	testAccount       = "studio"
	testRate          = 1000.0 // tokens per second
	testBurst         = 5000.0 // tokens
	maxListLag        = 3 * time.Second
	maxUnnoticedPause = time.Second
	gatewayCount      = 5
	tolerance         = 1e-6 // for sums of shares and of tokens
)

// mutant breaks one rule of the model, to prove that the check detects it.
type mutant string

const (
	noMutant               mutant = ""
	growWithoutReplies     mutant = "shares grow without replies of other gateways"
	skipPauseDetection     mutant = "pauses are not detected"
	staleListAsNewest      mutant = "an older list is taken for the newest one"
	fullBucketsAfterGrowth mutant = "buckets are full after their share grows"
	settleTwice            mutant = "tickets are settled twice"
)

// chooser makes all random choices of a run: choose returns a number from 0 to n-1.
type chooser interface {
	choose(n int, label string) int
}

// randomChooser chooses by a seeded generator, which is fast.
type randomChooser struct{ rng *rand.Rand }

func (c randomChooser) choose(n int, _ string) int { return c.rng.IntN(n) }

// rapidChooser lets rapid choose, which can reduce a failing run to a short one.
type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) choose(n int, label string) int { return rapid.IntRange(0, n-1).Draw(c.t, label) }

// process is one incarnation of a gateway in the simulation.
type process struct {
	name      string
	allocator *allocator.Allocator
	limiter   *Limiter
	// startedAt is the time of the start.
	startedAt time.Duration
	// clockLoss is the total time for which the monotonic clock stopped during suspensions.
	clockLoss time.Duration
	paused    bool
	// pausedAt is when the current suspension began.
	pausedAt time.Duration
	// clockStops is set if the monotonic clock stops during the current suspension.
	clockStops bool
	lastTickAt time.Duration
	// tickets holds the tickets that are not settled yet.
	tickets []Ticket
}

// share returns the share of the test account that the process may use.
func (p *process) share() float64 {
	return p.allocator.Share(func(v allocator.View, self string) float64 { return EqualShares(v, self, testAccount) })
}

// packet is a message in transit.
type packet struct {
	recipient string
	message   allocator.Message
	// view is the sender's newest list, which is gossiped with the message.
	view allocator.View
}

// admission is one admitted request, with its tokens less those that were returned.
type admission struct {
	at     time.Duration
	tokens float64
}

// simulation models gateways that fail and pause, a network that delays, drops, repeats and reorders messages, and a
// list of gateways that may be read late.
type simulation struct {
	mutant         mutant
	now            time.Duration
	processes      map[string]*process
	packets        []packet
	publishedLists []allocator.View
	// publishedAt holds the time of publication of each of publishedLists.
	publishedAt []time.Duration
	// stopsAt maps the name of a gateway that was removed from the list to the time at which its VM stops.
	stopsAt         map[string]time.Duration
	lastIncarnation uint64
	log             []string
	// admissions holds all admissions in order of time.
	admissions         []*admission
	admissionsByTicket map[*process]map[Ticket]*admission
	// brokenLinks maps a sender and a receiver to true if the link between them is broken in this direction.
	brokenLinks map[[2]string]bool
	// growthCount counts how often a share changed to a value above zero. The test requires a minimum, because runs in
	// which all shares stay zero would check nothing.
	growthCount int
}

// listService is the receiver of the links over which the list is read.
const listService = "list"

// newSimulation returns a simulation of three running gateways.
func newSimulation(m mutant) *simulation {
	s := &simulation{
		mutant: m, processes: make(map[string]*process), stopsAt: make(map[string]time.Duration),
		admissionsByTicket: make(map[*process]map[Ticket]*admission), brokenLinks: make(map[[2]string]bool),
	}
	s.publish([]string{"g0", "g1", "g2"})
	for _, n := range []string{"g0", "g1", "g2"} {
		s.start(n)
	}
	return s
}

// logf records a line that is printed with a violation.
func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%v ", s.now)+fmt.Sprintf(format, args...))
}

// publish adds a new version of the list.
func (s *simulation) publish(members []string) {
	slices.Sort(members)
	s.publishedLists = append(s.publishedLists,
		allocator.View{Version: uint64(len(s.publishedLists) + 1), Members: members})
	s.publishedAt = append(s.publishedAt, s.now)
	s.logf("publish %v", members)
}

// start starts a new incarnation of a gateway.
func (s *simulation) start(name string) {
	s.lastIncarnation++
	a := allocator.New(allocator.Member{Name: name, Incarnation: s.lastIncarnation},
		allocator.Options{MaxListLag: maxListLag, MaxUnnoticedPause: maxUnnoticedPause})
	p := &process{name: name, allocator: a, limiter: New(a, EqualShares), startedAt: s.now, lastTickAt: s.now}
	p.limiter.SetLimits([]Limit{{Account: testAccount, Rate: testRate, Burst: testBurst}}, 0)
	s.processes[name] = p
	s.admissionsByTicket[p] = make(map[Ticket]*admission)
	s.logf("start %s as %d", name, s.lastIncarnation)
	s.detectPause(p)
}

// monotonicClock returns the time since the start of a process, less its suspensions in which the clock stopped.
func (s *simulation) monotonicClock(p *process) time.Duration {
	return s.now - p.startedAt - p.clockLoss
}

// wallClock returns the wall clock of a process. With the mutant skipPauseDetection it stops during pauses.
func (s *simulation) wallClock(p *process) time.Duration {
	if s.mutant == skipPauseDetection {
		return s.monotonicClock(p)
	}
	return s.now
}

// detectPause lets a process check for a pause and grow its share if it may.
func (s *simulation) detectPause(p *process) {
	generationBefore := p.allocator.Generation()
	p.allocator.DetectPause(s.monotonicClock(p), s.wallClock(p))
	p.allocator.Tick(s.monotonicClock(p))
	s.resizeBuckets(p, generationBefore)
}

// resizeBuckets resizes the bucket of a process after a possible change of its share, and logs and counts the change.
func (s *simulation) resizeBuckets(p *process, generationBefore uint64) {
	if p.allocator.Generation() != generationBefore {
		s.logf("%s view %v share %.2f", p.name, p.allocator.View(), p.share())
		if p.share() > 0 {
			s.growthCount++
		}
	}
	p.limiter.ResizeBuckets(s.monotonicClock(p))
	if s.mutant == fullBucketsAfterGrowth && p.allocator.Generation() != generationBefore {
		e := p.limiter.entries[testAccount]
		e.bucket = bucket.NewFull(e.bucket.Rate(), e.bucket.Burst(), s.monotonicClock(p))
	}
}

// advance lets time pass in small steps. In each step, running processes check for pauses and exchange messages, and
// VMs that were removed from the list stop at their stop time.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	for s.now < end {
		s.now = min(end, s.now+maxUnnoticedPause/4)
		for _, name := range s.processNames() {
			p := s.processes[name]
			if at, ok := s.stopsAt[name]; ok && at <= s.now && !p.paused {
				s.suspend(p, false)
			}
			if !p.paused {
				s.detectPause(p)
				s.exchangeMessages(p)
			}
		}
	}
}

// exchangeMessages does what a running process does several times per second over its intact links: it reads the list
// and queries the other members.
func (s *simulation) exchangeMessages(p *process) {
	if !s.brokenLinks[[2]string{p.name, listService}] {
		s.applyList(p, len(s.publishedLists)-1)
	}
	for _, m := range p.allocator.View().Members {
		if s.mutant == growWithoutReplies {
			forgedReply := p.allocator.Query(s.monotonicClock(p))
			forgedReply.From.Name, forgedReply.IsReply, forgedReply.RequesterIncarnation = m, true, forgedReply.From.Incarnation
			s.receive(p, forgedReply, allocator.View{})
			continue
		}
		other := s.processes[m]
		if m == p.name || other == nil || other.paused || s.brokenLinks[[2]string{p.name, m}] {
			continue
		}
		reply, ok := s.receive(other, p.allocator.Query(s.monotonicClock(p)), p.allocator.View())
		if ok && !s.brokenLinks[[2]string{m, p.name}] {
			s.receive(p, reply, other.allocator.View())
		}
	}
}

// receive delivers a message to a running process. The sender's list is delivered with it only while the number of
// incarnations started so far is even, so that runs cover processes with and without gossip.
func (s *simulation) receive(
	p *process, m allocator.Message, view allocator.View,
) (reply allocator.Message, hasReply bool) {
	s.detectPause(p)
	generationBefore := p.allocator.Generation()
	if s.lastIncarnation%2 == 0 {
		p.allocator.ApplyView(view, s.monotonicClock(p))
	}
	reply, hasReply = p.allocator.HandleMessage(m, s.monotonicClock(p))
	s.resizeBuckets(p, generationBefore)
	return reply, hasReply
}

// processNames returns the names of all processes in alphabetical order.
func (s *simulation) processNames() []string {
	out := make([]string, 0, len(s.processes))
	for n := range s.processes {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// suspend pauses a process.
func (s *simulation) suspend(p *process, clockStops bool) {
	p.paused, p.pausedAt, p.clockStops = true, s.now, clockStops || s.mutant == skipPauseDetection
	s.logf("suspend %s", p.name)
}

// resume ends the pause of a process.
func (s *simulation) resume(p *process) {
	gap := s.now - p.pausedAt
	// A VM that was removed from the list does not run again after its stop time, unless it was suspended for so long
	// that it will detect the pause.
	if at, ok := s.stopsAt[p.name]; ok && at <= s.now {
		if gap <= maxUnnoticedPause {
			return
		}
		delete(s.stopsAt, p.name)
	}
	p.paused = false
	if p.clockStops {
		p.clockLoss += gap
	}
	s.logf("resume %s after %v", p.name, gap)
	s.detectPause(p)
}

// step makes one random choice and carries it out.
func (s *simulation) step(c chooser) {
	name := fmt.Sprintf("g%d", c.choose(gatewayCount, "gateway"))
	p := s.processes[name]
	switch c.choose(17, "action") {
	case 0:
		s.advance(time.Duration(1+c.choose(40, "tenths")) * 100 * time.Millisecond)
	case 1, 2:
		s.sendQueries(p)
	case 3, 4, 5:
		s.deliverPacket(c)
	case 6:
		s.readList(p, c)
	case 7:
		s.editList(name, c)
	case 8:
		s.failProcess(name, p, c)
	case 9, 10, 11:
		s.admit(p, c)
	case 12, 13:
		s.toggleLink(name, c)
	case 14:
		clear(s.brokenLinks)
	case 15:
		s.isolate(name)
	default:
		s.settleTicket(p, c)
	}
}

// isolate breaks the links of a gateway to the list service and, in both directions, to all other gateways.
func (s *simulation) isolate(name string) {
	s.logf("isolate %s", name)
	s.brokenLinks[[2]string{name, listService}] = true
	for i := range gatewayCount {
		other := fmt.Sprintf("g%d", i)
		s.brokenLinks[[2]string{name, other}] = true
		s.brokenLinks[[2]string{other, name}] = true
	}
}

// toggleLink breaks or repairs a random link of a gateway, in one direction.
func (s *simulation) toggleLink(name string, c chooser) {
	receiver := listService
	if i := c.choose(gatewayCount+1, "to"); i < gatewayCount {
		receiver = fmt.Sprintf("g%d", i)
	}
	link := [2]string{name, receiver}
	s.brokenLinks[link] = !s.brokenLinks[link]
	s.logf("link %v broken: %v", link, s.brokenLinks[link])
}

// sendQueries puts a query to each other member into transit.
func (s *simulation) sendQueries(p *process) {
	if p == nil || p.paused {
		return
	}
	s.detectPause(p)
	for _, m := range p.allocator.View().Members {
		if m != p.name {
			s.packets = append(s.packets,
				packet{recipient: m, message: p.allocator.Query(s.monotonicClock(p)), view: p.allocator.View()})
		}
	}
}

// deliverPacket delivers or drops a random message in transit. It may stay in transit and then be delivered again.
func (s *simulation) deliverPacket(c chooser) {
	if len(s.packets) == 0 {
		return
	}
	i := c.choose(len(s.packets), "packet")
	pk := s.packets[i]
	if c.choose(4, "keep") != 0 {
		s.packets = slices.Delete(s.packets, i, i+1)
	}
	p := s.processes[pk.recipient]
	if p == nil || p.paused || c.choose(8, "drop") == 0 {
		return
	}
	if reply, ok := s.receive(p, pk.message, pk.view); ok {
		s.packets = append(s.packets, packet{recipient: pk.message.From.Name, message: reply, view: p.allocator.View()})
	}
}

// readList lets a process read the list, in a version that may be outdated by up to maxListLag.
func (s *simulation) readList(p *process, c chooser) {
	if p == nil || p.paused {
		return
	}
	s.detectPause(p)
	i := len(s.publishedLists) - 1
	for i > 0 && s.publishedAt[i]+maxListLag > s.now && c.choose(2, "stale") == 0 {
		i--
	}
	s.applyList(p, i)
}

// applyList gives version i of the list to a process, as a read that begins and ends now.
func (s *simulation) applyList(p *process, i int) {
	v := s.publishedLists[i]
	if s.mutant == staleListAsNewest {
		v.Version = s.publishedLists[len(s.publishedLists)-1].Version
	}
	generationBefore := p.allocator.Generation()
	p.allocator.ApplyView(v, s.monotonicClock(p))
	p.allocator.RecordListRead(s.monotonicClock(p), s.monotonicClock(p))
	s.resizeBuckets(p, generationBefore)
}

// editList adds a gateway to the list and starts it, or removes one, whose VM then stops within maxListLag. It may also
// publish the same members again.
func (s *simulation) editList(name string, c chooser) {
	members := slices.Clone(s.publishedLists[len(s.publishedLists)-1].Members)
	if i := slices.Index(members, name); i >= 0 {
		if len(members) == 1 || c.choose(4, "same") == 0 {
			s.publish(members)
			return
		}
		s.publish(slices.Delete(members, i, i+1))
		if s.processes[name] != nil {
			s.stopsAt[name] = s.now + time.Duration(c.choose(int(maxListLag/time.Millisecond), "lag"))*time.Millisecond
		}
		return
	}
	s.publish(append(members, name))
	delete(s.processes, name)
	delete(s.stopsAt, name)
	s.start(name)
}

// failProcess crashes, restarts, suspends or resumes a process.
func (s *simulation) failProcess(name string, p *process, c chooser) {
	listed := s.publishedLists[len(s.publishedLists)-1].Has(name)
	switch {
	case p == nil && listed:
		s.start(name)
	case p == nil:
	case p.paused:
		s.resume(p)
	case c.choose(2, "crash") == 0:
		delete(s.processes, name)
		s.logf("crash %s", name)
		if listed && c.choose(2, "restart") == 0 {
			s.start(name)
		}
	default:
		s.suspend(p, c.choose(2, "stops") == 0)
	}
}

// admit admits a request of random size from the share of a process. If the share has too few available tokens, it
// admits the part of the request that Lend grants.
func (s *simulation) admit(p *process, c chooser) {
	if p == nil || p.paused {
		return
	}
	tokens := float64(1 + c.choose(int(testBurst/2), "tokens"))
	ticket, verdict, _ := p.limiter.Admit(testAccount, tokens, s.monotonicClock(p), s.wallClock(p))
	if verdict != Granted {
		lent, granted := p.limiter.Lend(testAccount, tokens, 0, s.monotonicClock(p), s.wallClock(p))
		if granted == 0 {
			return
		}
		ticket, tokens = lent, granted
	}
	a := &admission{at: s.now, tokens: tokens}
	s.admissions = append(s.admissions, a)
	s.admissionsByTicket[p][ticket] = a
	p.tickets = append(p.tickets, ticket)
}

// settleTicket settles a random ticket of a process, of which a random part is unused.
func (s *simulation) settleTicket(p *process, c chooser) {
	if p == nil || p.paused || len(p.tickets) == 0 {
		return
	}
	i := c.choose(len(p.tickets), "ticket")
	t := p.tickets[i]
	p.tickets = slices.Delete(p.tickets, i, i+1)
	unused := t.Tokens * float64(c.choose(11, "unused")) / 10
	s.detectPause(p)
	p.limiter.Settle(t, unused, s.monotonicClock(p))
	if s.mutant == settleTwice {
		p.limiter.Settle(t, unused, s.monotonicClock(p))
	}
	s.admissionsByTicket[p][t].tokens -= unused
}

// violation describes a broken invariant, or returns an empty string: the shares of all processes, except those whose
// pause is long enough to be detected, sum to at most 1, and the admissions in any window of time are at most the burst
// plus the rate times the window.
func (s *simulation) violation() string {
	sum := 0.0
	for _, p := range s.processes {
		if p.paused && s.mutant != skipPauseDetection && s.now-p.pausedAt > maxUnnoticedPause {
			continue
		}
		sum += p.share()
	}
	if sum > 1+tolerance {
		return fmt.Sprintf("shares sum to %.3f", sum)
	}
	// It suffices to check the windows that end now: earlier ones were checked after earlier steps.
	total := 0.0
	for i := len(s.admissions) - 1; i >= 0; i-- {
		total += s.admissions[i].tokens
		allowed := testBurst + testRate*(s.now-s.admissions[i].at).Seconds()
		if total > allowed+tolerance {
			return fmt.Sprintf("%.1f tokens since %v, %.1f allowed", total, s.admissions[i].at, allowed)
		}
	}
	return ""
}

// run makes up to the given number of steps. It returns the first violation with the log of all steps, or an empty
// string.
func (s *simulation) run(c chooser, steps int) string {
	for range steps {
		s.step(c)
		if v := s.violation(); v != "" {
			return v + "\n" + strings.Join(s.log, "\n")
		}
	}
	return ""
}

// TestMain fixes the seed of rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// TestAdmissionsNeverExceedTheLimit guards against gateways that together admit more than an account's limit when
// gateways crash, pause, restart or are removed and messages are lost, late or repeated. It checks the invariants in at
// least 100,000 random steps. A failure found by rapid is reduced to a short schedule, which is printed.
func TestAdmissionsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if v := newSimulation(noMutant).run(rapidChooser{rt}, 300); v != "" {
			rt.Fatal(v)
		}
	})
	growths := 0
	for seed := range uint64(600) {
		s := newSimulation(noMutant)
		if v := s.run(randomChooser{rand.New(rand.NewPCG(seed, 0))}, 300); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
		growths += s.growthCount
	}
	if growths < 600 {
		t.Errorf("got %d growths of a share in 600 runs, want at least 600", growths)
	}
	t.Logf("%d growths of a share", growths)
}

// TestModelDetectsBrokenRules guards against a model test that passes although a rule is broken. Each mutant breaks one
// rule; some seed must lead to a violation.
func TestModelDetectsBrokenRules(t *testing.T) {
	for _, m := range []mutant{
		growWithoutReplies, skipPauseDetection, staleListAsNewest, fullBucketsAfterGrowth, settleTwice,
	} {
		t.Run(string(m), func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20000) {
				if newSimulation(m).run(randomChooser{rand.New(rand.NewPCG(seed, 0))}, 300) != "" {
					t.Logf("violation found with seed %d", seed)
					return
				}
			}
			t.Error("no violation found with 20000 seeds, want one")
		})
	}
}
