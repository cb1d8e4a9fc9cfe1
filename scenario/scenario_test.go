// Package scenario runs the scripts in this folder on the real gateways and agents over stand-ins.
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

// waitTimeout bounds every wait; it is generous so that a slow machine gives the same verdict.
const waitTimeout = 30 * time.Second

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: ".",
		Setup: func(e *testscript.Env) error {
			b := &testbed{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, requests: make(map[string]*backgroundRequest)}
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
		},
	})
}

type testbedKey struct{}

// testbed is the fleet of one script.
type testbed struct {
	fleet    *assembler.Fleet
	accounts []assembler.Account
	http     *http.Client
	requests map[string]*backgroundRequest
}

// backgroundRequest is a request in the background.
type backgroundRequest struct {
	prompt          string
	maxOutputTokens int
	cancel          context.CancelFunc
	done            chan struct{}
	result          client.Result
	err             error
}

type args struct {
	t       *testscript.TestScript
	words   []string
	options map[string]string
}

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
			t.Fatalf("no world")
		}
		run(b, a)
	}
}

func (a args) word(i int) string {
	if i >= len(a.words) {
		a.t.Fatalf("word %d is missing", i+1)
	}
	return a.words[i]
}

func (a args) option(key, fallback string) string {
	if v, ok := a.options[key]; ok {
		return v
	}
	return fallback
}

func (a args) intOption(key string, fallback int) int {
	v, err := strconv.Atoi(a.option(key, strconv.Itoa(fallback)))
	if err != nil {
		a.t.Fatalf("%s is not a number", key)
	}
	return v
}

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

// awaitCondition polls until check holds.
func awaitCondition(t *testscript.TestScript, condition string, isMet func() bool) {
	deadline := time.Now().Add(waitTimeout)
	for !isMet() {
		if time.Now().After(deadline) {
			t.Fatalf("not so after %v: %s", waitTimeout, condition)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (b *testbed) cmdFleet(a args) {
	o := assembler.DefaultOptions()
	o.Gateways, o.Prefills = a.intOption("gateways", 2), a.intOption("prefills", 2)
	o.Decodes, o.Plains = a.intOption("decodes", 2), a.intOption("plains", 3)
	o.Speed = float64(a.intOption("speed", 2))
	o.Accounts[2].Rate, o.Accounts[2].Burst = a.intOption("rate", 15000), a.intOption("burst", 30000)
	b.accounts = o.Accounts
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	f, err := assembler.New(ctx, o)
	if err != nil {
		a.t.Fatalf("fleet: %v", err)
	}
	b.fleet = f
}

func (b *testbed) node(a args, name string) *assembler.Node {
	for _, n := range append(append([]*assembler.Node(nil), b.fleet.Agents...), b.fleet.Gateways...) {
		if n.Name == name {
			return n
		}
	}
	a.t.Fatalf("there is no %s", name)
	return nil
}

func (b *testbed) client(a args) *client.Client {
	name := a.option("account", "studio")
	key := a.option("secret", "")
	for _, account := range b.accounts {
		if account.Name == name && key == "" {
			key = account.Key
		}
	}
	return client.New(b.node(a, a.option("gateway", "gw-1")).Callers, key, b.http)
}

// cmdSend sends a prompt in the background: send NAME prompt=P most=N draft=yes.
func (b *testbed) cmdSend(a args) {
	prompt := strings.ReplaceAll(a.option("prompt", a.word(0)), "poison", engine.PoisonMark)
	s := &backgroundRequest{prompt: prompt + strings.Repeat(".", a.intOption("pad", 0)), maxOutputTokens: a.intOption("most", 40), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	c := b.client(a)
	request := client.Completion{Model: a.option("model", "drafting"), Prompt: s.prompt, Most: s.maxOutputTokens, Draft: a.option("draft", "no") == "yes"}
	go func() {
		defer close(s.done)
		s.result, s.err = c.Complete(ctx, request)
	}()
	b.requests[a.word(0)] = s
}

// cmdCall calls a plain service: call NAME key=K mark=M, or read=yes.
func (b *testbed) cmdCall(a args) {
	s := &backgroundRequest{done: make(chan struct{}), cancel: func() {}}
	c := b.client(a)
	if a.option("read", "no") == "yes" {
		s.result, s.err = c.Read(context.Background(), "bookings", "seats")
	} else {
		s.result, s.err = c.Call(context.Background(), "bookings", "pay", a.option("key", ""), map[string]any{"amount": 1, "note": a.option("mark", a.word(0)) + ";"})
	}
	close(s.done)
	b.requests[a.word(0)] = s
}

func (b *testbed) request(a args) *backgroundRequest {
	s, ok := b.requests[a.word(0)]
	if !ok {
		a.t.Fatalf("there is no request %s", a.word(0))
	}
	return s
}

func (b *testbed) cmdCancel(a args) {
	s := b.request(a)
	s.cancel()
	<-s.done
}

// cmdStarted waits until some engine decodes: started N.
func (b *testbed) cmdStarted(a args) {
	want, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.t.Fatalf("not a number: %s", a.word(0))
	}
	awaitCondition(a.t, "streams are decoded", func() bool {
		n := 0
		for _, node := range b.fleet.Agents {
			if node.Engine != nil {
				n += node.Engine.Load().ActiveStreams
			}
		}
		return n >= want
	})
}

func (b *testbed) awaitResult(a args) client.Result {
	s := b.request(a)
	select {
	case <-s.done:
	case <-time.After(waitTimeout):
		a.t.Fatalf("%s did not end", a.word(0))
	}
	return s.result
}

// cmdAnswered checks that the caller got exactly its whole answer.
func (b *testbed) cmdAnswered(a args) {
	r := b.awaitResult(a)
	s := b.request(a)
	if s.err != nil || !r.Whole {
		a.t.Fatalf("%s was not answered: %v, status %d, code %q, run %q", a.word(0), s.err, r.Status, r.Code, r.Run)
	}
	if s.prompt == "" {
		return
	}
	if want := engine.Answer(s.prompt, s.maxOutputTokens); r.Text != want {
		a.t.Fatalf("%s got %q, want %q", a.word(0), r.Text, want)
	}
}

// cmdRefused checks a refusal: refused NAME code=C run=R.
func (b *testbed) cmdRefused(a args) {
	r := b.awaitResult(a)
	if r.Whole {
		a.t.Fatalf("%s was answered", a.word(0))
	}
	if want, ok := a.options["code"]; ok && r.Code != want {
		a.t.Fatalf("%s: code %q, want %q", a.word(0), r.Code, want)
	}
	if want, ok := a.options["run"]; ok && r.Run != want {
		a.t.Fatalf("%s: run %q, want %q", a.word(0), r.Run, want)
	}
}

// cmdCrash crashes the engine that decodes, or a named one.
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

func (b *testbed) cmdHalt(a args)   { b.fleet.Stop(b.node(a, a.word(0))) }
func (b *testbed) cmdRemove(a args) { b.fleet.Remove(b.node(a, a.word(0))) }
func (b *testbed) cmdLeave(a args)  { b.fleet.Leave(b.node(a, a.word(0))) }

// cmdDrain lets a process finish its work and then stops it.
func (b *testbed) cmdDrain(a args) {
	n := b.node(a, a.word(0))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	if n.Gateway != nil {
		n.Gateway.Drain(ctx)
	} else {
		n.Agent.Drain(ctx)
	}
	b.fleet.Stop(n)
}

// cmdRestart starts a gateway of that name with empty memory, and waits until it is ready.
func (b *testbed) cmdRestart(a args) {
	if _, err := b.fleet.AddGateway(a.word(0)); err != nil {
		a.t.Fatalf("restart: %v", err)
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
	if err := b.fleet.Ready(ctx); err != nil {
		a.t.Fatalf("restart: %v", err)
	}
}

// cmdPlatform starts or ends an outage, for all or for one process: platform down, up, or block gw-2.
func (b *testbed) cmdPlatform(a args) {
	if a.word(0) == "block" {
		b.fleet.Platform.Block(a.word(1))
		return
	}
	b.fleet.Platform.SetDown(a.word(0) == "down")
}

// cmdPublish publishes a plans list: publish 2 without=studio, or publish 3 broken=yes.
func (b *testbed) cmdPublish(a args) {
	version, err := strconv.ParseUint(a.word(0), 10, 64)
	if err != nil {
		a.t.Fatalf("not a version: %s", a.word(0))
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

// cmdVersions waits until every gateway has that version of the plans in force.
func (b *testbed) cmdVersions(a args) {
	want := a.intOption("plans", 1)
	awaitCondition(a.t, "plans are in force", func() bool {
		for _, g := range b.fleet.Gateways {
			if g.Plans() != uint64(want) {
				return false
			}
		}
		return true
	})
}

// cmdRan checks how often calls with a mark ran: ran MARK N.
func (b *testbed) cmdRan(a args) {
	count := 0
	for _, n := range b.fleet.Agents {
		if n.Plain == nil {
			continue
		}
		for _, r := range n.Plain.Runs() {
			if strings.Contains(r.Body, a.word(0)+";") {
				count++
			}
		}
	}
	if strconv.Itoa(count) != a.word(1) {
		a.t.Fatalf("%s ran %d times, want %s", a.word(0), count, a.word(1))
	}
}

// cmdIdle waits until no engine holds anything.
func (b *testbed) cmdIdle(a args) {
	awaitCondition(a.t, "engines hold nothing", func() bool {
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

// cmdFail makes the next calls of every plain service run and then end without an answer.
func (b *testbed) cmdFail(a args) {
	n, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.t.Fatalf("not a number: %s", a.word(0))
	}
	for _, node := range b.fleet.Agents {
		if node.Plain != nil {
			node.Plain.FailNext(n)
		}
	}
}
