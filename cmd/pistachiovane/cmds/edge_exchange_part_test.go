package cmds

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/peer/drawer"
	"github.com/pistachiovane/pistachiovane/internal/peer/reader"
)

const (
	// partRounds is how many groups of requests with a crashing part are sent, and laterRequests how many more once all gateways
	// must know of it.
	partRounds    = 10
	laterRequests = 6
)

// partDraw is the part of a draw that crashes endpoints, while its requests are sent.
type partDraw struct {
	drawer.Part
	env *exchangeEnv
	// name makes the IDs of the parts differ from those of other draws.
	name string
}

// prompt returns the parts of the prompt of a request, with the crashing one or without it.
func (p *partDraw) prompt(id string, crashing bool) string {
	var parts []string
	for i := range p.Position {
		parts = append(parts, fmt.Sprintf("%s-before%d:10", p.name, i))
	}
	if crashing {
		parts = append(parts, p.name+"-bad:10")
	}
	for i := range p.Behind {
		parts = append(parts, fmt.Sprintf("%s-behind%d:10", p.name, i))
	}
	return strings.Join(append(parts, "own"+id+":10"), ",")
}

// send sends a request at the gateways in turn and returns what its caller got.
func (p *partDraw) send(crashing bool) (reader.Request, error) {
	p.env.mu.Lock()
	p.env.lastRequest++
	n := p.env.lastRequest
	id := fmt.Sprintf("r%d", n)
	p.env.withPart[id] = crashing
	p.env.mu.Unlock()
	c := &caller{gateway: p.env.gateways[n%len(p.env.gateways)]}
	defer c.close()
	return p.env.exchangePrompt(c, id, id, p.prompt(id, crashing), p.Route)
}

// sendGroups sends groups of requests with the part, each time with enough endpoints.
func (p *partDraw) sendGroups(groups, size int) {
	for range groups {
		p.env.refill()
		var sending sync.WaitGroup
		for range size {
			sending.Go(func() { _, _ = p.send(true) })
		}
		sending.Wait()
	}
}

// crashByPart sends requests that share a part which crashes endpoints, and returns what is wrong.
func (env *exchangeEnv) crashByPart(d drawer.Part) (findings []string) {
	env.mu.Lock()
	env.scripts, env.played, env.part, env.withPart = map[string]*drawer.Request{}, nil, d.Exchange, map[string]bool{}
	env.mu.Unlock()
	p := &partDraw{Part: d, env: env, name: fmt.Sprint("draw", env.lastRequest)}
	p.sendGroups(partRounds, d.AtOnce)
	time.Sleep(contactTime)
	before := env.countPlayedCrashes()
	p.sendGroups(laterRequests, 1)
	if late := env.countPlayedCrashes() - before; before >= maxEndedByPart && late > maxLateCrashes {
		findings = append(findings, fmt.Sprintf("%d endpoints ended under one part, %d of them late, at most %d may; log:\n%s",
			before+late, late, maxLateCrashes, env.linesWith(crashLines)))
	}
	if finding := p.serveSound(); finding != "" {
		findings = append(findings, finding)
	}
	return findings
}

// countPlayedCrashes returns how many endpoints have crashed since the draw began.
func (env *exchangeEnv) countPlayedCrashes() int {
	env.mu.Lock()
	defer env.mu.Unlock()
	return reader.CountCrashes(env.played)
}

// serveSound returns what is wrong if a request with the other parts is not served soon.
func (p *partDraw) serveSound() string {
	startedAt := time.Now()
	for time.Since(startedAt) < serveTimeout {
		p.env.refill()
		if q, err := p.send(false); err == nil && q.Response.Status == http.StatusOK && q.Response.Complete {
			return ""
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Sprintf("a request with the other parts is not served; log:\n%s", p.env.linesWith(crashLines, `"reason":"crashes`))
}
