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
	demoStartTimeout = 20 * time.Second
	// demoIdleTimeout is how long the engines may take to become idle after the last request.
	demoIdleTimeout = 2 * time.Second
	// targetTimeToFirstToken and targetTokenGap are the latency targets that a request must meet to count as goodput.
	targetTimeToFirstToken = 1600 * time.Millisecond
	targetTokenGap         = 31 * time.Millisecond
	// targetGapShare is the share of the gaps between a request's tokens that must be within targetTokenGap.
	targetGapShare = 0.95
)

// demoCommand runs a fleet of real gateways and agents with simulated endpoints and sends requests to it.
type demoCommand struct {
	JSON     bool          `arg:"--json" help:"print only one JSON object on standard output"`
	Hold     bool          `arg:"--hold" help:"keep the fleet up and print its addresses"`
	Duration time.Duration `arg:"--for" default:"6s" help:"how long requests are sent"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the requests"`
}

// summary holds the results of a demo.
type summary struct {
	Requests int `json:"requests"`
	// Answered counts the requests with a complete answer.
	Answered int `json:"answered"`
	// Refused counts all other requests.
	Refused int `json:"refused"`
	// Reasons counts the refused requests by error code.
	Reasons map[string]int `json:"reasons"`
	// Goodput is the share of requests with a complete answer; a generation must meet both latency targets as well.
	Goodput float64 `json:"goodput"`
	// WastedShare is the share of the prefilled prompt tokens that led to no complete answer.
	WastedShare float64 `json:"wasted"`
	// Violations is the number of violated invariants, and Details describes each.
	Violations int      `json:"violations"`
	Details    []string `json:"details,omitempty"`
	// Drafts, Bookings and Reads count the requests by kind: generations, calls that must run once, and reads.
	Drafts   int `json:"drafts"`
	Bookings int `json:"bookings"`
	Reads    int `json:"reads"`
}

// demo is a running fleet, the clients that send requests to it and the results so far.
type demo struct {
	fleet     *assembler.Fleet
	auditor   *auditor.Auditor
	accounts  []assembler.Account
	http      *http.Client
	startedAt time.Time

	// mu guards the fields below.
	mu      sync.Mutex
	summary summary
	// goodRequests counts the requests that count as goodput.
	goodRequests int
	// deliveredPromptTokens counts the prompt tokens of the generations whose complete answer reached the caller.
	deliveredPromptTokens int
}

// run starts the fleet, sends requests for the given time and prints the summary. It fails when an invariant was
// violated. With --hold it sends no requests and keeps the fleet running until ctx ends.
func (c *demoCommand) run(ctx context.Context, o output) error {
	d, err := newDemo(ctx)
	if err != nil {
		return err
	}
	defer d.close()
	if !c.JSON {
		_, _ = fmt.Fprintf(o.stderr, "demo: %d gateways and %d agents are up\n", len(d.fleet.Gateways), len(d.fleet.Agents))
	}
	if c.Hold {
		return d.keepRunning(ctx, o)
	}
	d.sendRequests(ctx, c, o)
	s := d.summarize()
	if err := c.print(o, s); err != nil {
		return err
	}
	if s.Violations > 0 {
		return errors.Errorf("%d invariant violations", s.Violations)
	}
	return nil
}

// newDemo starts a fleet with the default options and an auditor that knows the limits of its accounts.
func newDemo(ctx context.Context) (*demo, error) {
	options := assembler.DefaultOptions()
	ctx, cancel := context.WithTimeout(ctx, demoStartTimeout)
	defer cancel()
	f, err := assembler.New(ctx, options)
	if err != nil {
		return nil, err
	}
	limits := make([]auditor.Limit, 0, len(options.Accounts))
	for _, a := range options.Accounts {
		limits = append(limits, auditor.Limit{
			Account: a.Name, TokensPerSecond: float64(a.TokensPerSecond), BurstTokens: float64(a.BurstTokens),
		})
	}
	return &demo{
		fleet: f, auditor: auditor.New(limits), accounts: options.Accounts, startedAt: time.Now(),
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
		summary: summary{Reasons: make(map[string]int)},
	}, nil
}

// close stops the fleet.
func (d *demo) close() {
	d.http.CloseIdleConnections()
	d.fleet.Close()
}

// keepRunning prints the gateways' addresses and an example command, and keeps the fleet running until the context
// ends.
func (d *demo) keepRunning(ctx context.Context, o output) error {
	for _, g := range d.fleet.Gateways {
		_, _ = fmt.Fprintln(o.stdout, g.Name, g.CallerURL)
	}
	_, _ = fmt.Fprintf(o.stdout,
		"curl -N %s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' "+
			"-d '{\"model\":\"drafting\",\"prompt\":\"hello\",\"max_tokens\":32,\"stream\":true}'\n",
		d.fleet.Gateways[0].CallerURL, d.accounts[0].Key)
	<-ctx.Done()
	return nil
}

// sendRequests sends requests of all three kinds for the given time, with four concurrent senders for each account. It
// prints the progress unless the output is JSON.
func (d *demo) sendRequests(ctx context.Context, c *demoCommand, o output) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var wg sync.WaitGroup
	for i, a := range d.accounts {
		for worker := range 4 {
			rng := rand.New(rand.NewPCG(c.Seed, uint64(i*100+worker)))
			wg.Go(func() { d.sendUntilDone(ctx, a, rng, fmt.Sprintf("%s-%d", a.Name, worker)) })
		}
	}
	if !c.JSON {
		wg.Go(func() { d.printProgress(ctx, o) })
	}
	wg.Wait()
}

// printProgress prints the counts on standard error every second until ctx ends.
func (d *demo) printProgress(ctx context.Context, o output) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.mu.Lock()
			_, _ = fmt.Fprintf(o.stderr, "demo: %d requests, %d answered, %d refused\n",
				d.summary.Requests, d.summary.Answered, d.summary.Refused)
			d.mu.Unlock()
		}
	}
}

// sendUntilDone sends one request after another to random gateways until the context ends. A request in progress at
// that time is finished.
func (d *demo) sendUntilDone(ctx context.Context, a assembler.Account, rng *rand.Rand, name string) {
	for i := 0; ctx.Err() == nil; i++ {
		gateway := d.fleet.Gateways[rng.IntN(len(d.fleet.Gateways))]
		c := client.New(gateway.CallerURL, a.Key, d.http)
		requestID := fmt.Sprintf("%s.%d;", name, i)
		switch rng.IntN(4) {
		case 0:
			d.sendBooking(c, a, requestID)
		case 1:
			d.sendRead(c)
		default:
			d.sendGeneration(c, a, requestID, rng)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(40)) * time.Millisecond):
		}
	}
}

// sendGeneration sends a generation with a random prompt, and reports a complete answer to the auditor together with
// the text that the simulated engine must produce.
func (d *demo) sendGeneration(c *client.Client, a assembler.Account, requestID string, rng *rand.Rand) {
	prompt := requestID + strings.Repeat("summary of the term ", 1+rng.IntN(200))
	maxTokens := 8 + rng.IntN(56)
	sentAt := time.Since(d.startedAt)
	r, err := c.Complete(context.Background(),
		client.CompletionRequest{Model: "drafting", Prompt: prompt, MaxTokens: maxTokens, Draft: rng.IntN(2) == 0})
	promptTokens := tokenizer.CountTokens(prompt)
	if err == nil && r.Complete {
		d.auditor.RecordAnswer(auditor.ReceivedAnswer{
			Account: a.Name, SentAt: sentAt, CompletedAt: time.Since(d.startedAt),
			Tokens: promptTokens + engine.AnswerTokenCount(prompt, maxTokens),
			Want:   engine.Answer(prompt, maxTokens), Got: r.Text,
		})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Drafts++
	if r.Complete {
		d.deliveredPromptTokens += promptTokens
	}
	d.countResult(r, err, r.Complete && r.TimeToFirstToken <= targetTimeToFirstToken && meetsGapTarget(r.TokenIntervals))
}

// sendBooking sends a call that must not run twice. After a complete answer it sends the same call again.
func (d *demo) sendBooking(c *client.Client, a assembler.Account, requestID string) {
	r, err := c.Call(context.Background(), "bookings", "pay", requestID, map[string]any{"amount": 10, "note": requestID})
	if err == nil && r.Complete {
		// The repeated call must get the same answer and must not run again.
		repeated, err := c.Call(context.Background(), "bookings", "pay", requestID,
			map[string]any{"amount": 10, "note": requestID})
		if err == nil && repeated.Complete && repeated.Text != r.Text {
			d.auditor.RecordAnswer(auditor.ReceivedAnswer{Account: a.Name, Want: r.Text, Got: repeated.Text})
		}
	}
	d.auditor.RecordCall(auditor.ServiceCall{
		Account: a.Name, BodyMarker: requestID, Answered: r.Complete, ReportedNotRun: r.RunState == "not-run",
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Bookings++
	d.countResult(r, err, r.Complete)
}

// sendRead sends a call that may be retried.
func (d *demo) sendRead(c *client.Client) {
	r, err := c.Read(context.Background(), "bookings", "seats")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Reads++
	d.countResult(r, err, r.Complete)
}

// countResult counts a request and its outcome. The caller holds mu.
func (d *demo) countResult(r client.Result, err error, good bool) {
	d.summary.Requests++
	switch {
	case err != nil:
		d.summary.Refused++
		d.summary.Reasons["connection"]++
	case r.Complete:
		d.summary.Answered++
	default:
		d.summary.Refused++
		d.summary.Reasons[r.ErrorCode]++
	}
	if good {
		d.goodRequests++
	}
}

// meetsGapTarget reports whether enough gaps between tokens are within the target. One slow gap is always allowed.
func meetsGapTarget(gaps []time.Duration) bool {
	slowGaps := 0
	for _, g := range gaps {
		if g > targetTokenGap {
			slowGaps++
		}
	}
	return float64(slowGaps) <= (1-targetGapShare)*float64(len(gaps))+1
}

// summarize waits until the engines are idle and completes the summary with the shares and the violations.
func (d *demo) summarize() summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []plain.Execution
	prefilledTokens := 0
	leaks := d.waitForIdle()
	for _, n := range d.fleet.Agents {
		if n.PlainService != nil {
			runs = append(runs, n.PlainService.Executions()...)
			continue
		}
		prefilledTokens += n.Engine.Load().PrefilledTokens
	}
	d.summary.Details = append(d.auditor.Violations(runs), leaks...)
	d.summary.Violations = len(d.summary.Details)
	d.summary.Goodput = ratio(d.goodRequests, d.summary.Requests)
	d.summary.WastedShare = ratio(max(0, prefilledTokens-d.deliveredPromptTokens), prefilledTokens)
	return d.summary
}

// waitForIdle waits for at most demoIdleTimeout until no engine has a stream or a KV cache, and returns a violation for
// each engine that still has one.
func (d *demo) waitForIdle() []string {
	deadline := time.Now().Add(demoIdleTimeout)
	for {
		var leaks []string
		for _, n := range d.fleet.Agents {
			if n.Engine == nil {
				continue
			}
			if l := n.Engine.Load(); l.ActiveStreams > 0 || l.StoredKVCaches > 0 {
				leaks = append(leaks,
					fmt.Sprintf("memory: engine %s holds %d streams and %d KV caches for nobody",
						n.Name, l.ActiveStreams, l.StoredKVCaches))
			}
		}
		if len(leaks) == 0 || time.Now().After(deadline) {
			return leaks
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// ratio returns numerator / denominator, or 0 when the denominator is 0.
func ratio(numerator, denominator int) float64 {
	if denominator == 0 {
		return 0
	}
	return float64(numerator) / float64(denominator)
}

// print prints the summary as JSON or as a table.
func (c *demoCommand) print(o output, s summary) error {
	if c.JSON {
		return errors.Wrap(json.NewEncoder(o.stdout).Encode(s), "print summary")
	}
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', 0)
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
	row("wasted prefill", strconv.FormatFloat(s.WastedShare, 'f', 4, 64))
	row("invariant violations", s.Violations)
	for _, v := range s.Details {
		row("  violation", v)
	}
	return errors.Wrap(w.Flush(), "print summary")
}
