package cmds

import (
	"bufio"
	"flag"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pistachiovane/pistachiovane/internal/peer/drawer"
	"github.com/pistachiovane/pistachiovane/internal/peer/reader"
	"github.com/pistachiovane/pistachiovane/internal/peer/scripter"
)

// exchangeTime is how long draws are played, after which rapid is told that all is well.
var exchangeTime = flag.Duration("exchanges", time.Minute, "how long drawn exchanges are played")

// exchangeSeed is the seed of the draws unless -rapid.seed sets another one.
const exchangeSeed = "36"

const (
	// exchangeBudget is the time budget of a drawn request. A response within inTime of it is not late.
	exchangeBudget = 300 * time.Millisecond
	inTime         = exchangeBudget / 2
	// serveTimeout is how long an innocent request may take to be served after a draw.
	serveTimeout = 3 * time.Second
)

// paths are the paths of the routes.
var paths = map[drawer.Route]string{drawer.Read: "/read/x", drawer.Book: "/book/x", drawer.Draft: "/draft/x", drawer.Note: "/note/x"}

// caller is a caller that keeps its connection.
type caller struct {
	// gateway is the one that it connects to. Nil means the one in use.
	gateway *testGateway
	conn    net.Conn
	reader  *bufio.Reader
}

// exchange sends a request of a route with a body and returns what the caller got. The connection is kept if it can be.
func (env *exchangeEnv) exchange(c *caller, id, body string, route drawer.Route) (reader.Request, error) {
	return env.exchangePrompt(c, id, body, "own"+id+":100", route)
}

// exchangePrompt is exchange for a request whose prompt has the given parts.
func (env *exchangeEnv) exchangePrompt(c *caller, id, body, parts string, route drawer.Route) (reader.Request, error) {
	q := reader.Request{ID: id, Stream: route >= drawer.Draft, Events: 5, Once: route == drawer.Book || route == drawer.Note}
	if c.conn == nil {
		g := c.gateway
		if g == nil {
			g = env.testGateway
		}
		conn, err := net.Dial("tcp", g.server.Listener.Addr().String())
		if err != nil {
			return q, err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	startedAt := time.Now()
	if err := c.conn.SetDeadline(startedAt.Add(exchangeBudget + 2*time.Second)); err != nil {
		return q, err
	}
	generation := ""
	if q.Stream {
		generation = "X-Pistachiovane-Token-Counts: 100,100\r\nX-Pistachiovane-Model: m\r\n" +
			"X-Pistachiovane-Prompt-Prefix: " + parts + "\r\n"
	}
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nX-Pistachiovane-Attempt-Id: %s\r\nX-Pistachiovane-Credential: key\r\n"+
		"X-Pistachiovane-Time-Budget-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		paths[route], id, exchangeBudget.Milliseconds(), generation, len(body), body)
	if err != nil {
		return q, err
	}
	q.Response = reader.Read(c.reader)
	q.InTime = time.Since(startedAt) < inTime
	if !q.Response.KeepOpen {
		c.close()
	}
	return q, nil
}

// close ends the connection.
func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// play plays a draw and returns what is wrong.
func (env *exchangeEnv) play(d drawer.Draw) (findings []string) {
	env.mu.Lock()
	env.scripts, env.played = map[string]*drawer.Request{}, nil
	env.mu.Unlock()
	var requests []reader.Request
	c := &caller{}
	defer c.close()
	for _, r := range d.Requests {
		env.lastRequest++
		id := fmt.Sprintf("r%d", env.lastRequest)
		script := r
		env.mu.Lock()
		env.scripts[id] = &script
		env.mu.Unlock()
		if !r.SameConnection {
			c.close()
			env.useGateway(env.lastRequest)
		}
		q, err := env.exchange(c, id, id, r.Route)
		if err != nil {
			// A kept connection may be closed by the gateway at any time between two requests.
			c.close()
			continue
		}
		requests = append(requests, q)
	}
	env.mu.Lock()
	played := append([]reader.Played(nil), env.played...)
	env.mu.Unlock()
	for _, q := range requests {
		for _, finding := range env.judge.Judge(q, played) {
			findings = append(findings, fmt.Sprintf("%s: %s; log:\n%s", q.ID, finding, env.linesWith(`"`+q.ID+`"`, crashLines)))
		}
	}
	return findings
}

// crash repeats a request that crashes each endpoint that runs it, or prefills it, and returns what is wrong.
func (env *exchangeEnv) crash(r drawer.Crasher) (findings []string) {
	env.mu.Lock()
	env.scripts, env.played = map[string]*drawer.Request{}, nil
	env.crasher = &r
	env.mu.Unlock()
	var requests []reader.Request
	body := fmt.Sprintf("crash%d", env.lastRequest)
	for range r.Times {
		env.lastRequest++
		c, id := &caller{}, fmt.Sprintf("r%d", env.lastRequest)
		env.useGateway(env.lastRequest % r.Gateways)
		if q, err := env.exchange(c, id, body, r.Route); err == nil {
			q.Crashes = true
			requests = append(requests, q)
		}
		c.close()
		time.Sleep(r.Pause)
	}
	env.mu.Lock()
	env.crasher = nil
	played := append([]reader.Played(nil), env.played...)
	env.mu.Unlock()
	for _, q := range requests {
		findings = append(findings, env.judge.Judge(q, played)...)
	}
	// Gateways learn of each other's crashes a quarter of a second later. A plain service that starts again under its ID
	// tells its start only in the store, which does not show it here.
	most := maxEndedEndpoints * r.Gateways
	plainRestart := r.Route < drawer.Draft && r.Exchange.Successor == scripter.SameID
	if n := reader.CountCrashes(played); n > most && !plainRestart {
		findings = append(findings, fmt.Sprintf("%d endpoints ended under one request, at most %d may; log:\n%s",
			n, most, env.linesWith(crashLines)))
	}
	return findings
}

// serveInnocent returns what is wrong if a request that everybody answers as usual is not served soon.
func (env *exchangeEnv) serveInnocent(route drawer.Route) string {
	startedAt, last := time.Now(), reader.Response{}
	for time.Since(startedAt) < serveTimeout {
		env.lastRequest++
		c, id := &caller{}, fmt.Sprintf("r%d", env.lastRequest)
		env.useGateway(env.lastRequest)
		q, err := env.exchange(c, id, id, route)
		c.close()
		if err == nil && q.Response.Status == http.StatusOK && q.Response.Complete {
			return ""
		}
		last = q.Response
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Sprintf("a request to %s that harms nobody is not served: status %d, Retry-After %s", paths[route], last.Status, last.Header["retry-after"])
}

// What the peers of a gateway may do is drawn, not remembered: each caller gets its own whole answer, or can tell that it
// did not, and refusals are true.
func TestEdgeJudgedByDrawnExchanges(t *testing.T) {
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", exchangeSeed); err != nil {
			t.Fatal(err)
		}
	}
	env := newExchangeEnv(t)
	startedAt, draws := time.Now(), 0
	rapid.Check(t, func(t *rapid.T) {
		if time.Since(startedAt) > *exchangeTime {
			return
		}
		draws++
		d := drawer.Draws().Draw(t, "draw")
		env.refill()
		findings := env.play(d)
		if d.Crasher != nil {
			env.refill()
			findings = append(findings, env.crash(*d.Crasher)...)
		}
		if d.Part != nil {
			env.refill()
			findings = append(findings, env.crashByPart(*d.Part)...)
			env.refill()
		}
		for route := range paths {
			if finding := env.serveInnocent(route); finding != "" {
				findings = append(findings, finding)
			}
		}
		if len(findings) > 0 {
			t.Fatalf("%v\n%v", d, findings)
		}
	})
	t.Logf("%d draws, %d requests in %v", draws, env.lastRequest, time.Since(startedAt))
}
