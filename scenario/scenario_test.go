// Package scenario runs the scripts (.txtar files) in this folder against real gateways and agents, with stand-ins
// for the engines, the plain services and the platform. Each script gets a fleet of its own.
package scenario

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pistachiovane/pistachiovane/standin/assembler"
	"github.com/pistachiovane/pistachiovane/standin/client"
	"github.com/pistachiovane/pistachiovane/standin/engine"
)

// waitTimeout is the time limit of every wait. It is long so that the tests also pass on a slow machine.
const waitTimeout = 30 * time.Second

// TestScenarios guards against faults that only show when gateways, agents and clients work together. The first
// line of each script says which behaviour it checks. The methods named cmd... implement the commands of the
// scripts.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: ".",
		Setup: func(e *testscript.Env) error {
			b := &testbed{
				http:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
				requests: make(map[string]*sentRequest),
			}
			e.Values[testbedKey{}] = b
			e.Defer(b.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    command((*testbed).cmdFleet),
			"send":     command((*testbed).cmdSend),
			"call":     command((*testbed).cmdCall),
			"cancel":   command((*testbed).cmdCancel),
			"started":  command((*testbed).cmdStarted),
			"answered": command((*testbed).cmdAnswered),
			"refused":  command((*testbed).cmdRefused),
			"crash":    command((*testbed).cmdCrash),
			"halt":     command((*testbed).cmdHalt),
			"remove":   command((*testbed).cmdRemove),
			"leave":    command((*testbed).cmdLeave),
			"drain":    command((*testbed).cmdDrain),
			"restart":  command((*testbed).cmdRestart),
			"platform": command((*testbed).cmdPlatform),
			"publish":  command((*testbed).cmdPublish),
			"versions": command((*testbed).cmdVersions),
			"ran":      command((*testbed).cmdRan),
			"idle":     command((*testbed).cmdIdle),
			"fail":     command((*testbed).cmdFail),
			"pause":    command((*testbed).cmdPause),
		},
	})
}

// engineRestartTime is longer than an engine is down after a crash, and than its agent is ejected for one failure.
const engineRestartTime = time.Second

// testbedKey is the key under which the environment of a script stores its testbed.
type testbedKey struct{}

// testbed is the fleet of one script and the requests that the script has sent.
type testbed struct {
	// fleet is nil until the script's fleet command.
	fleet    *assembler.Fleet
	accounts []assembler.Account
	http     *http.Client
	// requests holds the requests by the name that the script gave them.
	requests map[string]*sentRequest
}

// sentRequest is a request that the script has sent. A generation runs in the background while the script goes on; a
// call of a plain service has already ended.
type sentRequest struct {
	// prompt is empty for calls of plain services.
	prompt          string
	maxOutputTokens int
	cancel          context.CancelFunc
	// done is closed when result and err are set.
	done   chan struct{}
	result client.Result
	err    error
}

// args are the arguments of a script command: options of the form "key=value", and all other words.
type args struct {
	t       *testscript.TestScript
	words   []string
	options map[string]string
}

// command adapts a method of the testbed to the form that testscript needs. The commands can't be negated with "!".
func command(run func(*testbed, args)) func(*testscript.TestScript, bool, []string) {
	return func(t *testscript.TestScript, neg bool, words []string) {
		if neg {
			t.Fatalf("this command can't be negated")
		}
		a := args{t: t, options: make(map[string]string)}
		for _, w := range words {
			if k, v, ok := strings.Cut(w, "="); ok {
				a.options[k] = v
				continue
			}
			a.words = append(a.words, w)
		}
		b, ok := t.Value(testbedKey{}).(*testbed)
		if !ok {
			t.Fatalf("the script environment has no testbed")
		}
		run(b, a)
	}
}

// word returns word number i after the command, counted from zero. It fails the script when there are fewer words.
func (a args) word(i int) string {
	if i >= len(a.words) {
		a.t.Fatalf("argument %d of the command is missing", i+1)
	}
	return a.words[i]
}

// option returns the value of an option, or the fallback when the command does not have the option.
func (a args) option(key, fallback string) string {
	if v, ok := a.options[key]; ok {
		return v
	}
	return fallback
}

// intOption returns the value of an option as an integer. It fails the script when the value is not an integer.
func (a args) intOption(key string, fallback int) int {
	v, err := strconv.Atoi(a.option(key, strconv.Itoa(fallback)))
	if err != nil {
		a.t.Fatalf("option %s is not an integer", key)
	}
	return v
}

// close cancels all requests, waits until they have ended and closes the fleet.
func (b *testbed) close() {
	for _, s := range b.requests {
		s.cancel()
		<-s.done
	}
	b.http.CloseIdleConnections()
	if b.fleet != nil {
		b.fleet.Close()
	}
}

// awaitCondition polls until isMet returns true, and fails the script after waitTimeout. condition describes it.
func awaitCondition(t *testscript.TestScript, condition string, isMet func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !isMet() {
		if time.Now().After(deadline) {
			t.Fatalf("condition is still false after %v: %s", waitTimeout, condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// cmdFleet starts the fleet: fleet gateways=N prefills=N decodes=N plains=N speed=N rate=N burst=N. rate (tokens
// per second) and burst (tokens) are the limit of the third account. All options have defaults.
func (b *testbed) cmdFleet(a args) {
	o := assembler.DefaultOptions()
	o.Gateways, o.PrefillEndpoints = a.intOption("gateways", 2), a.intOption("prefills", 2)
	o.DecodeEndpoints, o.PlainEndpoints = a.intOption("decodes", 2), a.intOption("plains", 3)
	o.SpeedFactor = float64(a.intOption("speed", 2))
	o.Accounts[2].TokensPerSecond, o.Accounts[2].BurstTokens = a.intOption("rate", 15000), a.intOption("burst", 30000)
	b.accounts = o.Accounts
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f, err := assembler.New(ctx, o)
	if err != nil {
		a.t.Fatalf("start fleet: %v", err)
	}
	b.fleet = f
}

// node returns the agent or gateway of the given name. It fails the script when there is none.
func (b *testbed) node(a args, name string) *assembler.Node {
	for _, n := range append(append([]*assembler.Node(nil), b.fleet.Agents...), b.fleet.Gateways...) {
		if n.Name == name {
			return n
		}
	}
	a.t.Fatalf("the fleet has no agent or gateway %s", name)
	return nil
}

// client returns a client of the gateway in the option gateway. It uses the API key in the option secret, or else
// the key of the account in the option account.
func (b *testbed) client(a args) *client.Client {
	name := a.option("account", "studio")
	key := a.option("secret", "")
	for _, account := range b.accounts {
		if account.Name == name && key == "" {
			key = account.Key
		}
	}
	return client.New(b.node(a, a.option("gateway", "gw-1")).CallerURL, key, b.http)
}

// cmdSend sends a generation request in the background: send NAME prompt=P part=P pad=N most=N draft=yes model=M. Without a
// prompt, the name is the prompt; pad adds N characters to it, and part puts a common line and a line of its own before it. The
// word "poison" in the prompt is replaced by engine.CrashMarker, which crashes engines. most is the limit of output tokens.
func (b *testbed) cmdSend(a args) {
	prompt := a.option("prompt", a.word(0))
	if part := a.option("part", ""); part != "" {
		prompt = "the same for all\n" + part + "\n" + prompt
	}
	prompt = strings.ReplaceAll(prompt, "poison", engine.CrashMarker)
	s := &sentRequest{
		prompt: prompt + strings.Repeat(".", a.intOption("pad", 0)), maxOutputTokens: a.intOption("most", 40),
		done: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	c := b.client(a)
	request := client.CompletionRequest{
		Model: a.option("model", "drafting"), Prompt: s.prompt, MaxTokens: s.maxOutputTokens,
		Draft: a.option("draft", "no") == "yes",
	}
	go func() {
		defer close(s.done)
		s.result, s.err = c.Complete(ctx, request)
	}()
	b.requests[a.word(0)] = s
}

// cmdCall calls the plain service "bookings" and waits for the result: call NAME key=K mark=M. key is the idempotency
// key; mark, which is the name by default, identifies the call in the command "ran". With read=yes, it reads from the
// service instead.
func (b *testbed) cmdCall(a args) {
	s := &sentRequest{done: make(chan struct{}), cancel: func() {}}
	c := b.client(a)
	if a.option("read", "no") == "yes" {
		s.result, s.err = c.Read(context.Background(), "bookings", "seats")
	} else {
		s.result, s.err = c.Call(context.Background(), "bookings", "pay", a.option("key", ""),
			map[string]any{"amount": 1, "note": a.option("mark", a.word(0)) + ";"})
	}
	close(s.done)
	b.requests[a.word(0)] = s
}

// request returns the request whose name is the first word. It fails the script when there is none.
func (b *testbed) request(a args) *sentRequest {
	s, ok := b.requests[a.word(0)]
	if !ok {
		a.t.Fatalf("the script has sent no request %s", a.word(0))
	}
	return s
}

// cmdCancel disconnects the client of a request and waits until the request has ended: cancel NAME.
func (b *testbed) cmdCancel(a args) {
	s := b.request(a)
	s.cancel()
	<-s.done
}

// cmdStarted waits until the engines decode at least N streams together: started N.
func (b *testbed) cmdStarted(a args) {
	want, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.t.Fatalf("argument %s is not an integer", a.word(0))
	}
	awaitCondition(a.t, "engines decode the streams", func() bool {
		n := 0
		for _, node := range b.fleet.Agents {
			if node.Engine != nil {
				n += node.Engine.Load().ActiveStreams
			}
		}
		return n >= want
	})
}

// awaitResult waits until the request whose name is the first word has ended, and returns its result.
func (b *testbed) awaitResult(a args) client.Result {
	s := b.request(a)
	select {
	case <-s.done:
	case <-time.After(waitTimeout):
		a.t.Fatalf("request %s has not ended in time", a.word(0))
	}
	return s.result
}

// cmdAnswered waits for a request and checks that the caller got its complete answer, for a generation with exactly
// the text that the stand-in engine computes: answered NAME.
func (b *testbed) cmdAnswered(a args) {
	r := b.awaitResult(a)
	s := b.request(a)
	if s.err != nil || !r.Complete {
		a.t.Fatalf("got no complete answer to %s: error %v, status %d, code %q, run %q",
			a.word(0), s.err, r.Status, r.ErrorCode, r.RunState)
	}
	if s.prompt == "" {
		return
	}
	if want := engine.Answer(s.prompt, s.maxOutputTokens); r.Text != want {
		a.t.Fatalf("request %s: got text %q, want %q", a.word(0), r.Text, want)
	}
}

// cmdRefused waits for a request and checks that it was refused: refused NAME code=C run=R. It compares the error code
// with code and the run state with run, where the script gives them.
func (b *testbed) cmdRefused(a args) {
	r := b.awaitResult(a)
	if r.Complete {
		a.t.Fatalf("request %s: got an answer, want a refusal", a.word(0))
	}
	if want, ok := a.options["code"]; ok && r.ErrorCode != want {
		a.t.Fatalf("request %s: got code %q, want %q", a.word(0), r.ErrorCode, want)
	}
	if want, ok := a.options["run"]; ok && r.RunState != want {
		a.t.Fatalf("request %s: got run %q, want %q", a.word(0), r.RunState, want)
	}
}

// cmdCrash crashes the engine of the named agent: crash NAME. Without a name, it crashes the first engine that
// decodes.
func (b *testbed) cmdCrash(a args) {
	if len(a.words) > 0 {
		b.node(a, a.word(0)).Engine.Crash()
		return
	}
	for _, n := range b.fleet.Agents {
		if n.Engine != nil && n.Engine.Load().ActiveStreams > 0 {
			n.Engine.Crash()
			return
		}
	}
	a.t.Fatalf("no engine decodes")
}

// cmdHalt kills an agent or gateway, which loses its state and connections: halt NAME.
func (b *testbed) cmdHalt(a args) { b.fleet.Kill(b.node(a, a.word(0))) }

// cmdRemove takes an agent or gateway off the list of VMs: remove NAME.
func (b *testbed) cmdRemove(a args) { b.fleet.RemoveFromVMList(b.node(a, a.word(0))) }

// cmdLeave marks an agent or gateway as leaving in the list of VMs: leave NAME.
func (b *testbed) cmdLeave(a args) { b.fleet.MarkLeaving(b.node(a, a.word(0))) }

// cmdDrain drains an agent or gateway, for waitTimeout at most, and then stops it: drain NAME.
func (b *testbed) cmdDrain(a args) {
	n := b.node(a, a.word(0))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if n.Gateway != nil {
		n.Gateway.Drain(ctx)
	} else {
		n.Agent.Drain(ctx)
	}
	b.fleet.Kill(n)
}

// cmdRestart starts a gateway with the name of a stopped one and empty state: restart NAME. It waits until all
// gateways are ready, unless the option ready=no is given.
func (b *testbed) cmdRestart(a args) {
	if _, err := b.fleet.AddGateway(a.word(0)); err != nil {
		a.t.Fatalf("start gateway: %v", err)
	}
	for i, g := range b.fleet.Gateways[:len(b.fleet.Gateways)-1] {
		if g.Name == a.word(0) {
			b.fleet.Gateways = append(b.fleet.Gateways[:i], b.fleet.Gateways[i+1:]...)
			break
		}
	}
	if a.option("ready", "yes") == "no" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if err := b.fleet.WaitReady(ctx); err != nil {
		a.t.Fatalf("wait for readiness: %v", err)
	}
}

// cmdPlatform makes the platform unavailable or available for all processes, or unavailable for one process:
// platform down, platform up, or platform block NAME.
func (b *testbed) cmdPlatform(a args) {
	if a.word(0) == "block" {
		b.fleet.Platform.Block(a.word(1))
		return
	}
	b.fleet.Platform.SetDown(a.word(0) == "down")
}

// cmdPublish publishes a version of the plans list: publish VERSION. The option without=ACCOUNT leaves an account
// out; broken=yes adds an invalid account.
func (b *testbed) cmdPublish(a args) {
	version, err := strconv.ParseUint(a.word(0), 10, 64)
	if err != nil {
		a.t.Fatalf("version %s is not an integer", a.word(0))
	}
	var accounts []assembler.Account
	for _, account := range b.accounts {
		if account.Name != a.option("without", "") {
			accounts = append(accounts, account)
		}
	}
	text := assembler.PlansText(version, accounts)
	if a.option("broken", "no") == "yes" {
		text += "\n[account broken]\nplan = nowhere\nrate = -1\n"
	}
	b.fleet.Platform.Publish("plans", version, text)
}

// cmdVersions waits until the plans list of the given version is active at every gateway: versions plans=VERSION.
func (b *testbed) cmdVersions(a args) {
	want := a.intOption("plans", 1)
	awaitCondition(a.t, "every gateway uses the version of the plans", func() bool {
		for _, g := range b.fleet.Gateways {
			if g.PlansVersion() != uint64(want) {
				return false
			}
		}
		return true
	})
}

// cmdRan checks that the stand-ins of plain services ran the calls with a mark exactly N times: ran MARK N.
func (b *testbed) cmdRan(a args) {
	runCount := 0
	for _, n := range b.fleet.Agents {
		if n.PlainService == nil {
			continue
		}
		for _, r := range n.PlainService.Executions() {
			if strings.Contains(r.Body, a.word(0)+";") {
				runCount++
			}
		}
	}
	if strconv.Itoa(runCount) != a.word(1) {
		a.t.Fatalf("calls with mark %s: got %d runs, want %s", a.word(0), runCount, a.word(1))
	}
}

// cmdIdle waits until no engine has streams, KV caches or queued prefills: idle.
func (b *testbed) cmdIdle(a args) {
	awaitCondition(a.t, "engines have no work and no KV caches", func() bool {
		for _, n := range b.fleet.Agents {
			if n.Engine == nil {
				continue
			}
			if l := n.Engine.Load(); l.ActiveStreams > 0 || l.StoredKVCaches > 0 || l.BacklogTokens > 0 {
				return false
			}
		}
		return true
	})
}

// cmdFail makes the next N calls at each stand-in of a plain service run and then end without an answer: fail N.
func (b *testbed) cmdFail(a args) {
	n, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.t.Fatalf("argument %s is not an integer", a.word(0))
	}
	for _, node := range b.fleet.Agents {
		if node.PlainService != nil {
			node.PlainService.FailNext(n)
		}
	}
}

// cmdPause waits until crashed engines have started again: pause.
func (b *testbed) cmdPause(_ args) { time.Sleep(engineRestartTime) }
