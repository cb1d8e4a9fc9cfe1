package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/tokenizer"
	"github.com/pistachiovane/pistachiovane/standin/assembler"
	"github.com/pistachiovane/pistachiovane/standin/auditor"
	"github.com/pistachiovane/pistachiovane/standin/client"
	"github.com/pistachiovane/pistachiovane/standin/engine"
	"github.com/pistachiovane/pistachiovane/standin/plain"
)

const (
	demoStart = 20 * time.Second
	demoDrain = 2 * time.Second
	// The latency targets that count as goodput.
	targetFirst = 1600 * time.Millisecond
	targetGap   = 31 * time.Millisecond
	// targetShare of the gaps of a request must be within targetGap.
	targetShare = 0.95
)

type demoCommand struct {
	JSON bool          `arg:"--json" help:"print only one JSON object on standard output"`
	Hold bool          `arg:"--hold" help:"keep the fleet up and print its addresses"`
	For  time.Duration `arg:"--for" default:"6s" help:"how long requests are sent"`
	Seed uint64        `arg:"--seed" default:"1" help:"seed of the requests"`
}

// summary is the result of a demo.
type summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// Reasons counts the refusals by reason.
	Reasons map[string]int `json:"reasons"`
	// Goodput is the share of requests answered whole within both latency targets.
	Goodput float64 `json:"goodput"`
	// Wasted is the share of prefilled tokens whose result reached no caller.
	Wasted     float64  `json:"wasted"`
	Violations int      `json:"violations"`
	Details    []string `json:"details,omitempty"`
	Drafts     int      `json:"drafts"`
	Bookings   int      `json:"bookings"`
	Reads      int      `json:"reads"`
}

// demo is a running demo.
type demo struct {
	fleet    *assembler.Fleet
	auditor  *auditor.Auditor
	accounts []assembler.Account
	http     *http.Client
	start    time.Time

	mu      sync.Mutex
	summary summary
	good    int
	// reached counts prompt tokens whose answer reached a caller.
	reached int
}

func (c *demoCommand) run(ctx context.Context, o output) error {
	d, err := newDemo(ctx)
	if err != nil {
		return err
	}
	defer d.close()
	if !c.JSON {
		_, _ = fmt.Fprintf(o.err, "demo: %d gateways and %d agents are up\n", len(d.fleet.Gateways), len(d.fleet.Agents))
	}
	if c.Hold {
		return d.hold(ctx, o)
	}
	d.drive(ctx, c, o)
	s := d.finish()
	if err := c.print(o, s); err != nil {
		return err
	}
	if s.Violations > 0 {
		return errors.Errorf("%d invariant violations", s.Violations)
	}
	return nil
}

func newDemo(ctx context.Context) (*demo, error) {
	options := assembler.DefaultOptions()
	ctx, cancel := context.WithTimeout(ctx, demoStart)
	defer cancel()
	f, err := assembler.New(ctx, options)
	if err != nil {
		return nil, err
	}
	limits := make([]auditor.Limit, 0, len(options.Accounts))
	for _, a := range options.Accounts {
		limits = append(limits, auditor.Limit{Account: a.Name, Rate: float64(a.Rate), Burst: float64(a.Burst)})
	}
	return &demo{
		fleet: f, auditor: auditor.New(limits), accounts: options.Accounts, start: time.Now(),
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		summary: summary{Reasons: make(map[string]int)},
	}, nil
}

func (d *demo) close() {
	d.http.CloseIdleConnections()
	d.fleet.Close()
}

// hold keeps the fleet up until the context ends.
func (d *demo) hold(ctx context.Context, o output) error {
	for _, g := range d.fleet.Gateways {
		_, _ = fmt.Fprintln(o.out, g.Name, g.Callers)
	}
	_, _ = fmt.Fprintf(o.out, "curl -N %s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
		"-d '{\"model\":\"drafting\",\"prompt\":\"hello\",\"max_tokens\":32,\"stream\":true}'\n", d.fleet.Gateways[0].Callers, d.accounts[0].Key)
	<-ctx.Done()
	return nil
}

// drive sends requests of all three kinds for every account, and shows progress.
func (d *demo) drive(ctx context.Context, c *demoCommand, o output) {
	ctx, cancel := context.WithTimeout(ctx, c.For)
	defer cancel()
	var wg sync.WaitGroup
	for i, a := range d.accounts {
		for worker := range 4 {
			rng := rand.New(rand.NewPCG(c.Seed, uint64(i*100+worker)))
			wg.Go(func() { d.loop(ctx, a, rng, fmt.Sprintf("%s-%d", a.Name, worker)) })
		}
	}
	if !c.JSON {
		wg.Go(func() { d.progress(ctx, o) })
	}
	wg.Wait()
}

func (d *demo) progress(ctx context.Context, o output) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.mu.Lock()
			_, _ = fmt.Fprintf(o.err, "demo: %d requests, %d answered, %d refused\n", d.summary.Requests, d.summary.Answered, d.summary.Refused)
			d.mu.Unlock()
		}
	}
}

// loop sends one request after the other; those in progress when the context ends are waited for.
func (d *demo) loop(ctx context.Context, a assembler.Account, rng *rand.Rand, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		gateway := d.fleet.Gateways[rng.IntN(len(d.fleet.Gateways))]
		c := client.New(gateway.Callers, a.Key, d.http)
		mark := fmt.Sprintf("%s.%d;", name, i)
		switch rng.IntN(4) {
		case 0:
			d.book(c, a, mark)
		case 1:
			d.read(c)
		default:
			d.draft(c, a, mark, rng)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(40)) * time.Millisecond):
		}
	}
}

func (d *demo) draft(c *client.Client, a assembler.Account, mark string, rng *rand.Rand) {
	prompt := mark + strings.Repeat("summary of the term ", 1+rng.IntN(200))
	most := 8 + rng.IntN(56)
	sent := time.Since(d.start)
	r, err := c.Complete(context.Background(), client.Completion{Model: "drafting", Prompt: prompt, Most: most, Draft: rng.IntN(2) == 0})
	tokens := tokenizer.CountTokens(prompt)
	if err == nil && r.Whole {
		d.auditor.Answer(auditor.Answered{
			Account: a.Name, Sent: sent, Done: time.Since(d.start), Tokens: tokens + engine.AnswerLength(prompt, most),
			Want: engine.Answer(prompt, most), Got: r.Text,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Drafts++
	if r.Whole {
		d.reached += tokens
	}
	d.count(r, err, r.Whole && r.First <= targetFirst && withinGaps(r.Gaps))
}

func (d *demo) book(c *client.Client, a assembler.Account, mark string) {
	r, err := c.Call(context.Background(), "bookings", "pay", mark, map[string]any{"amount": 10, "note": mark})
	if err == nil && r.Whole {
		// The caller repeats itself: the answer must be the same and the call must not run again.
		again, err := c.Call(context.Background(), "bookings", "pay", mark, map[string]any{"amount": 10, "note": mark})
		if err == nil && again.Whole && again.Text != r.Text {
			d.auditor.Answer(auditor.Answered{Account: a.Name, Want: r.Text, Got: again.Text})
		}
	}
	d.auditor.Call(auditor.Called{Account: a.Name, Mark: mark, Done: r.Whole, NotRun: r.Run == "not-run"})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Bookings++
	d.count(r, err, r.Whole)
}

func (d *demo) read(c *client.Client) {
	r, err := c.Read(context.Background(), "bookings", "seats")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Reads++
	d.count(r, err, r.Whole)
}

func (d *demo) count(r client.Result, err error, good bool) {
	d.summary.Requests++
	switch {
	case err != nil:
		d.summary.Refused++
		d.summary.Reasons["connection"]++
	case r.Whole:
		d.summary.Answered++
	default:
		d.summary.Refused++
		d.summary.Reasons[r.Code]++
	}
	if good {
		d.good++
	}
}

func withinGaps(gaps []time.Duration) bool {
	late := 0
	for _, g := range gaps {
		if g > targetGap {
			late++
		}
	}
	return float64(late) <= (1-targetShare)*float64(len(gaps))+1
}

// finish waits until the engines are idle and counts.
func (d *demo) finish() summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []plain.Execution
	worked := 0
	held := d.idle()
	for _, n := range d.fleet.Agents {
		if n.Plain != nil {
			runs = append(runs, n.Plain.Runs()...)
			continue
		}
		worked += n.Engine.Load().PrefilledTokens
	}
	d.summary.Details = append(d.auditor.Violations(runs), held...)
	d.summary.Violations = len(d.summary.Details)
	d.summary.Goodput = ratio(d.good, d.summary.Requests)
	d.summary.Wasted = ratio(max(0, worked-d.reached), worked)
	return d.summary
}

// idle waits for the engines to be idle and returns what they still hold after that.
func (d *demo) idle() []string {
	deadline := time.Now().Add(demoDrain)
	for {
		var held []string
		for _, n := range d.fleet.Agents {
			if n.Engine == nil {
				continue
			}
			if l := n.Engine.Load(); l.ActiveStreams > 0 || l.StoredKVCaches > 0 {
				held = append(held, fmt.Sprintf("memory: engine %s holds %d streams and %d KV caches for nobody", n.Name, l.ActiveStreams, l.StoredKVCaches))
			}
		}
		if len(held) == 0 || time.Now().After(deadline) {
			return held
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (c *demoCommand) print(o output, s summary) error {
	if c.JSON {
		return errors.Wrap(json.NewEncoder(o.out).Encode(s), "print summary")
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	row := func(name string, value any) { _, _ = fmt.Fprintf(w, "%s\t%v\n", name, value) }
	row("requests", fmt.Sprintf("%d (%d drafts, %d bookings, %d reads)", s.Requests, s.Drafts, s.Bookings, s.Reads))
	row("answered", s.Answered)
	row("refused", s.Refused)
	reasons := make([]string, 0, len(s.Reasons))
	for r := range s.Reasons {
		reasons = append(reasons, r)
	}
	sort.Strings(reasons)
	for _, r := range reasons {
		row("  "+r, s.Reasons[r])
	}
	row("goodput", strconv.FormatFloat(s.Goodput, 'f', 4, 64))
	row("wasted prefill", strconv.FormatFloat(s.Wasted, 'f', 4, 64))
	row("invariant violations", s.Violations)
	for _, v := range s.Details {
		row("  violation", v)
	}
	return errors.Wrap(w.Flush(), "print summary")
}
