package cmds

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/peer/drawer"
	"github.com/pistachiovane/pistachiovane/internal/peer/reader"
	"github.com/pistachiovane/pistachiovane/internal/peer/scripter"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// endpointsPerStage is the number of endpoints of each stage that are kept running. A draw begins when the gateways list
	// minListedPerStage of them.
	endpointsPerStage = 8
	minListedPerStage = 4
)

// exchangeEnv is a deployment whose endpoints do what is drawn.
type exchangeEnv struct {
	*testEnv
	judge *reader.Reader
	// pools holds the endpoints by stage, with an empty stage for the plain service.
	pools map[string][]*standin.Endpoint
	// next numbers endpoints, and lastRequest requests.
	next        int
	lastRequest int

	// mu guards the fields below.
	mu sync.Mutex
	// scripts holds what is still to be done with requests, by ID.
	scripts map[string]*drawer.Request
	played  []reader.Played
	// crasher is the request that crashes endpoints while it is repeated, or nil. part is what endpoints do with runs of the
	// requests whose IDs are in withPart.
	crasher  *drawer.Crasher
	part     scripter.Exchange
	withPart map[string]bool
	// spent holds the IDs of endpoints that crashed or said that they leave.
	spent map[string]bool
}

// newExchangeEnv starts a deployment whose endpoints do what is drawn.
func newExchangeEnv(t *testing.T) *exchangeEnv {
	t.Helper()
	env := &exchangeEnv{
		testEnv: newTestEnvWithRetries(t, 1, 1e6, 10*time.Second), judge: reader.New(standin.ErrorText, standin.SealHeader),
		pools: map[string][]*standin.Endpoint{}, scripts: map[string]*drawer.Request{}, spent: map[string]bool{},
	}
	for _, id := range []string{"p1", "d1", "d2", "s1", "s2"} {
		env.store.Remove("servers/" + id)
	}
	env.refill()
	env.addGateway()
	env.refill()
	env.waitFor(func() bool { return !env.listsAny("p1", "d1", "d2", "s1", "s2") }, "the usual endpoints should be gone")
	return env
}

// listsAny reports whether a gateway lists any of the endpoints.
func (env *exchangeEnv) listsAny(ids ...string) bool {
	return slices.ContainsFunc(env.gateways, func(g *testGateway) bool { return slices.ContainsFunc(ids, g.lists) })
}

// refill starts endpoints in the place of those that are spent, and waits until the gateway lists enough of them.
func (env *exchangeEnv) refill() {
	env.t.Helper()
	for _, stage := range []string{"prefill", "decode", ""} {
		var kept []*standin.Endpoint
		for _, e := range env.pools[stage] {
			if !env.isSpent(e.ID) {
				kept = append(kept, e)
				continue
			}
			env.store.Remove("servers/" + e.ID)
		}
		for len(kept) < endpointsPerStage {
			kept = append(kept, env.startScripted(env.newID(), stage))
		}
		env.pools[stage] = kept
	}
	env.waitFor(func() bool {
		return !slices.ContainsFunc(env.gateways, func(g *testGateway) bool { return !env.listsEnough(g) })
	}, "the gateways should list the new endpoints")
}

// listsEnough reports whether a gateway lists minListedPerStage endpoints of each pool.
func (env *exchangeEnv) listsEnough(g *testGateway) bool {
	listed := map[string]bool{}
	for _, e := range g.state().Endpoints {
		listed[e.ID] = true
	}
	for _, pool := range env.pools {
		n := 0
		for _, e := range pool {
			if listed[e.ID] {
				n++
			}
		}
		if n < minListedPerStage {
			return false
		}
	}
	return true
}

// newID returns an ID that no endpoint has had.
func (env *exchangeEnv) newID() string {
	env.next++
	return fmt.Sprintf("x%d", env.next)
}

// isSpent reports whether an endpoint crashed or said that it leaves.
func (env *exchangeEnv) isSpent(id string) bool {
	env.mu.Lock()
	defer env.mu.Unlock()
	return env.spent[id]
}

// startScripted starts an endpoint that does what is drawn, and puts its entry into the store.
func (env *exchangeEnv) startScripted(id, stage string) *standin.Endpoint {
	e, err := standin.NewEndpointAt("127.0.0.1:0", id, serviceOf(stage), "a", stage, env.script)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(e.Close)
	env.store.Put(e.StoreEntry("ready"))
	return e
}

// script makes an endpoint do what is drawn.
func (env *exchangeEnv) script(e *standin.Endpoint) {
	e.EchoRequestID, e.EventInterval = true, time.Millisecond
	e.SetExchanges(func(requestID string) (scripter.Exchange, bool) { return env.nextExchange(e, requestID), true })
}

// nextExchange returns and records what an endpoint does with the next attempt of a request.
func (env *exchangeEnv) nextExchange(e *standin.Endpoint, requestID string) scripter.Exchange {
	env.mu.Lock()
	defer env.mu.Unlock()
	x := scripter.Exchange{}
	if e.Stage == "decode" {
		x.Framing = scripter.Chunks
	}
	if env.crasher != nil && env.crasher.Prefill == (e.Stage == "prefill") {
		x = env.crasher.Exchange
	}
	if env.withPart[requestID] && e.Stage == "decode" {
		x = env.part
	}
	if script := env.scripts[requestID]; script != nil {
		list := &script.Runs
		if e.Stage == "prefill" {
			list = &script.Prefills
		}
		if len(*list) > 0 {
			x, *list = (*list)[0], (*list)[1:]
		}
	}
	env.played = append(env.played, reader.Played{
		RequestID: requestID, Endpoint: e.ID, Prefill: e.Stage == "prefill", Exchange: x,
	})
	if x.Cut == scripter.Crash || x.Signal == scripter.Leaves {
		env.spent[e.ID] = true
	}
	if x.Cut == scripter.Crash {
		e.SetOnCrash(func() { time.AfterFunc(x.BackAfter, func() { env.succeed(e, x.Successor) }) })
	}
	return x
}

// succeed starts what follows a crashed endpoint at its address.
func (env *exchangeEnv) succeed(e *standin.Endpoint, s scripter.Successor) {
	configure := env.script
	id, stage := e.ID+"n", e.Stage
	switch s {
	case scripter.Nothing:
		return
	case scripter.SameID:
		id = e.ID
	case scripter.OtherService:
		stage = map[string]string{"": "decode"}[stage]
	case scripter.Stuck:
		configure = func(next *standin.Endpoint) { next.Silence() }
	}
	for range 50 {
		next, err := standin.NewEndpointAt(e.Address(), id, serviceOf(stage), "a", stage, configure)
		if err == nil {
			time.AfterFunc(serveTimeout, next.Close)
			return
		}
		time.Sleep(time.Millisecond)
	}
}
