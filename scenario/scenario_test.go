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

// eventually bounds every wait; it is generous so that a slow machine gives the same verdict.
const eventually = 30 * time.Second

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: ".",
		Setup: func(e *testscript.Env) error {
			w := &world{http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, sends: make(map[string]*send)}
			e.Values[worldKey{}] = w
			e.Defer(w.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    command((*world).cmdFleet),
			"send":     command((*world).cmdSend),
			"call":     command((*world).cmdCall),
			"cancel":   command((*world).cmdCancel),
			"started":  command((*world).cmdStarted),
			"answered": command((*world).cmdAnswered),
			"refused":  command((*world).cmdRefused),
			"crash":    command((*world).cmdCrash),
			"halt":     command((*world).cmdHalt),
			"remove":   command((*world).cmdRemove),
			"leave":    command((*world).cmdLeave),
			"drain":    command((*world).cmdDrain),
			"restart":  command((*world).cmdRestart),
			"platform": command((*world).cmdPlatform),
			"publish":  command((*world).cmdPublish),
			"versions": command((*world).cmdVersions),
			"ran":      command((*world).cmdRan),
			"idle":     command((*world).cmdIdle),
			"fail":     command((*world).cmdFail),
		},
	})
}

type worldKey struct{}

// world is the fleet of one script.
type world struct {
	fleet    *assembler.Fleet
	accounts []assembler.Account
	http     *http.Client
	sends    map[string]*send
}

// send is a request in the background.
type send struct {
	prompt string
	most   int
	cancel context.CancelFunc
	done   chan struct{}
	result client.Result
	err    error
}

type args struct {
	t     *testscript.TestScript
	words []string
	named map[string]string
}

func command(run func(*world, args)) func(*testscript.TestScript, bool, []string) {
	return func(t *testscript.TestScript, neg bool, words []string) {
		if neg {
			t.Fatalf("this command can't be negated")
		}
		a := args{t: t, named: make(map[string]string)}
		for _, w := range words {
			if k, v, ok := strings.Cut(w, "="); ok {
				a.named[k] = v
				continue
			}
			a.words = append(a.words, w)
		}
		w, ok := t.Value(worldKey{}).(*world)
		if !ok {
			t.Fatalf("no world")
		}
		run(w, a)
	}
}

func (a args) word(i int) string {
	if i >= len(a.words) {
		a.t.Fatalf("word %d is missing", i+1)
	}
	return a.words[i]
}

func (a args) text(key, fallback string) string {
	if v, ok := a.named[key]; ok {
		return v
	}
	return fallback
}

func (a args) number(key string, fallback int) int {
	v, err := strconv.Atoi(a.text(key, strconv.Itoa(fallback)))
	if err != nil {
		a.t.Fatalf("%s is not a number", key)
	}
	return v
}

func (w *world) close() {
	for _, s := range w.sends {
		s.cancel()
		<-s.done
	}
	w.http.CloseIdleConnections()
	if w.fleet != nil {
		w.fleet.Close()
	}
}

// wait polls until check holds.
func wait(t *testscript.TestScript, what string, check func() bool) {
	deadline := time.Now().Add(eventually)
	for !check() {
		if time.Now().After(deadline) {
			t.Fatalf("not so after %v: %s", eventually, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (w *world) cmdFleet(a args) {
	o := assembler.DefaultOptions()
	o.Gateways, o.Prefills = a.number("gateways", 2), a.number("prefills", 2)
	o.Decodes, o.Plains = a.number("decodes", 2), a.number("plains", 3)
	o.Speed = float64(a.number("speed", 2))
	o.Accounts[2].Rate, o.Accounts[2].Burst = a.number("rate", 15000), a.number("burst", 30000)
	w.accounts = o.Accounts
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	f, err := assembler.New(ctx, o)
	if err != nil {
		a.t.Fatalf("fleet: %v", err)
	}
	w.fleet = f
}

func (w *world) node(a args, name string) *assembler.Node {
	for _, n := range append(append([]*assembler.Node(nil), w.fleet.Agents...), w.fleet.Gateways...) {
		if n.Name == name {
			return n
		}
	}
	a.t.Fatalf("there is no %s", name)
	return nil
}

func (w *world) client(a args) *client.Client {
	name := a.text("account", "studio")
	key := a.text("secret", "")
	for _, account := range w.accounts {
		if account.Name == name && key == "" {
			key = account.Key
		}
	}
	return client.New(w.node(a, a.text("gateway", "gw-1")).Callers, key, w.http)
}

// cmdSend sends a prompt in the background: send NAME prompt=P most=N draft=yes.
func (w *world) cmdSend(a args) {
	prompt := strings.ReplaceAll(a.text("prompt", a.word(0)), "poison", engine.PoisonMark)
	s := &send{prompt: prompt + strings.Repeat(".", a.number("pad", 0)), most: a.number("most", 40), done: make(chan struct{})}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	c := w.client(a)
	request := client.Completion{Model: a.text("model", "drafting"), Prompt: s.prompt, Most: s.most, Draft: a.text("draft", "no") == "yes"}
	go func() {
		defer close(s.done)
		s.result, s.err = c.Complete(ctx, request)
	}()
	w.sends[a.word(0)] = s
}

// cmdCall calls a plain service: call NAME key=K mark=M, or read=yes.
func (w *world) cmdCall(a args) {
	s := &send{done: make(chan struct{}), cancel: func() {}}
	c := w.client(a)
	if a.text("read", "no") == "yes" {
		s.result, s.err = c.Read(context.Background(), "bookings", "seats")
	} else {
		s.result, s.err = c.Call(context.Background(), "bookings", "pay", a.text("key", ""), map[string]any{"amount": 1, "note": a.text("mark", a.word(0)) + ";"})
	}
	close(s.done)
	w.sends[a.word(0)] = s
}

func (w *world) get(a args) *send {
	s, ok := w.sends[a.word(0)]
	if !ok {
		a.t.Fatalf("there is no request %s", a.word(0))
	}
	return s
}

func (w *world) cmdCancel(a args) {
	s := w.get(a)
	s.cancel()
	<-s.done
}

// cmdStarted waits until some engine decodes: started N.
func (w *world) cmdStarted(a args) {
	want, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.t.Fatalf("not a number: %s", a.word(0))
	}
	wait(a.t, "streams are decoded", func() bool {
		n := 0
		for _, node := range w.fleet.Agents {
			if node.Engine != nil {
				n += node.Engine.Load().ActiveStreams
			}
		}
		return n >= want
	})
}

func (w *world) finished(a args) client.Result {
	s := w.get(a)
	select {
	case <-s.done:
	case <-time.After(eventually):
		a.t.Fatalf("%s did not end", a.word(0))
	}
	return s.result
}

// cmdAnswered checks that the caller got exactly its whole answer.
func (w *world) cmdAnswered(a args) {
	r := w.finished(a)
	s := w.get(a)
	if s.err != nil || !r.Whole {
		a.t.Fatalf("%s was not answered: %v, status %d, code %q, run %q", a.word(0), s.err, r.Status, r.Code, r.Run)
	}
	if s.prompt == "" {
		return
	}
	if want := engine.Answer(s.prompt, s.most); r.Text != want {
		a.t.Fatalf("%s got %q, want %q", a.word(0), r.Text, want)
	}
}

// cmdRefused checks a refusal: refused NAME code=C run=R.
func (w *world) cmdRefused(a args) {
	r := w.finished(a)
	if r.Whole {
		a.t.Fatalf("%s was answered", a.word(0))
	}
	if want, ok := a.named["code"]; ok && r.Code != want {
		a.t.Fatalf("%s: code %q, want %q", a.word(0), r.Code, want)
	}
	if want, ok := a.named["run"]; ok && r.Run != want {
		a.t.Fatalf("%s: run %q, want %q", a.word(0), r.Run, want)
	}
}

// cmdCrash crashes the engine that decodes, or a named one.
func (w *world) cmdCrash(a args) {
	if len(a.words) > 0 {
		w.node(a, a.word(0)).Engine.Crash()
		return
	}
	for _, n := range w.fleet.Agents {
		if n.Engine != nil && n.Engine.Load().ActiveStreams > 0 {
			n.Engine.Crash()
			return
		}
	}
	a.t.Fatalf("no engine decodes")
}

func (w *world) cmdHalt(a args)   { w.fleet.Stop(w.node(a, a.word(0))) }
func (w *world) cmdRemove(a args) { w.fleet.Remove(w.node(a, a.word(0))) }
func (w *world) cmdLeave(a args)  { w.fleet.Leave(w.node(a, a.word(0))) }

// cmdDrain lets a process finish its work and then stops it.
func (w *world) cmdDrain(a args) {
	n := w.node(a, a.word(0))
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	if n.Gateway != nil {
		n.Gateway.Drain(ctx)
	} else {
		n.Agent.Drain(ctx)
	}
	w.fleet.Stop(n)
}

// cmdRestart starts a gateway of that name with empty memory, and waits until it is ready.
func (w *world) cmdRestart(a args) {
	if _, err := w.fleet.AddGateway(a.word(0)); err != nil {
		a.t.Fatalf("restart: %v", err)
	}
	for i, g := range w.fleet.Gateways[:len(w.fleet.Gateways)-1] {
		if g.Name == a.word(0) {
			w.fleet.Gateways = append(w.fleet.Gateways[:i], w.fleet.Gateways[i+1:]...)
			break
		}
	}
	if a.text("ready", "yes") == "no" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), eventually)
	defer cancel()
	if err := w.fleet.Ready(ctx); err != nil {
		a.t.Fatalf("restart: %v", err)
	}
}

// cmdPlatform starts or ends an outage, for all or for one process: platform down, up, or block gw-2.
func (w *world) cmdPlatform(a args) {
	if a.word(0) == "block" {
		w.fleet.Platform.Block(a.word(1))
		return
	}
	w.fleet.Platform.SetDown(a.word(0) == "down")
}

// cmdPublish publishes a plans list: publish 2 without=studio, or publish 3 broken=yes.
func (w *world) cmdPublish(a args) {
	version, err := strconv.ParseUint(a.word(0), 10, 64)
	if err != nil {
		a.t.Fatalf("not a version: %s", a.word(0))
	}
	var accounts []assembler.Account
	for _, account := range w.accounts {
		if account.Name != a.text("without", "") {
			accounts = append(accounts, account)
		}
	}
	text := assembler.PlansText(version, accounts)
	if a.text("broken", "no") == "yes" {
		text += "\n[account broken]\nplan = nowhere\nrate = -1\n"
	}
	w.fleet.Platform.Publish("plans", version, text)
}

// cmdVersions waits until every gateway has that version of the plans in force.
func (w *world) cmdVersions(a args) {
	want := a.number("plans", 1)
	wait(a.t, "plans are in force", func() bool {
		for _, g := range w.fleet.Gateways {
			if g.Plans() != uint64(want) {
				return false
			}
		}
		return true
	})
}

// cmdRan checks how often calls with a mark ran: ran MARK N.
func (w *world) cmdRan(a args) {
	count := 0
	for _, n := range w.fleet.Agents {
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
func (w *world) cmdIdle(a args) {
	wait(a.t, "engines hold nothing", func() bool {
		for _, n := range w.fleet.Agents {
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
func (w *world) cmdFail(a args) {
	n, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.t.Fatalf("not a number: %s", a.word(0))
	}
	for _, node := range w.fleet.Agents {
		if node.Plain != nil {
			node.Plain.FailNext(n)
		}
	}
}
