package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

func init() { cases["spot"] = playSpot }

// streamConfig is a configuration with a model service and a stream that may be resumed.
const streamConfig = `{"version":3,"routes":[
 {"name":"draft","host":"app.example","prefix":"/draft/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,"service":"llm","max_attempts":2,"skip_auth":false,"use_affinity":true,"allow_resume":true,"gap_aim_ms":300}],
 "services":[{"name":"llm","health_path":"/healthz","max_conns":146,"protocol":"h1","use_tls":false,"engine_kind":{"slot_count":4,"kv_capacity":106421,"kv_token_bytes":35136,"page_stride":1,"most":12,"kv_hold_s":0.5,"role_switch_s":6.0,"pin_ms":4000.0,"hold_ms":2000.0,"models":[{"name":"m"}]}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"tenant","api_keys":["` + key + `"],"priority":1,"unit":"token_stream","plain_tokens":200,"rate_per_s":117482,"burst":117482}]}`

const (
	spotEvents   = 100
	spotInterval = 40 * time.Millisecond
	// spotNotice is the time from the notice until the replica is gone.
	spotNotice = 2 * time.Second
)

// playSpot: a model replica is told that it goes, says so in the store and in its answers, and is gone two seconds later. Its streams
// have neither a length nor chunks.
func playSpot(r *rig) bool {
	r.store.put("op/config", []byte(streamConfig))
	var replicas []*standin.Endpoint
	var mu sync.Mutex
	state, gone := map[string]string{}, map[string]bool{}
	for i := range 7 {
		stage := "decode"
		if i == 6 {
			stage = "prefill"
		}
		e, err := standin.NewEndpointAt(r.ip(50+i)+":0", fmt.Sprintf("i-%07x", 0x7f3a910+i), "llm", fmt.Sprintf("zone-%c", 'a'+i%4), stage, func(e *standin.Endpoint) {
			e.EventsPerStream, e.EventInterval = spotEvents, spotInterval
		})
		must(err)
		e.SetAnswers(func(run standin.Run) standin.Answer { return standin.Answer{Unframed: !run.IsPrefill} })
		state[e.ID] = "ready"
		replicas = append(replicas, e)
		go func() {
			for ; ; time.Sleep(heartbeat) {
				mu.Lock()
				s, ended := state[e.ID], gone[e.ID]
				mu.Unlock()
				if ended {
					return
				}
				k, v := e.StoreEntry(s)
				r.store.put(k, v)
			}
		}()
	}
	g := r.newGateways(1)[0]
	g.start()
	g.awaitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	var all []result
	var done sync.WaitGroup
	n := 0
	send := func() {
		n++
		q := request{
			id: fmt.Sprintf("5%07x", n), method: http.MethodPost, path: "/draft/1", key: key, body: "a prompt", budget: 14 * time.Second,
			headers: fmt.Sprintf("X-Pistachiovane-Model: m\r\nX-Pistachiovane-Token-Counts: 1460,100\r\nX-Pistachiovane-Prompt-Prefix: 5c1e07a2:800,%08x:660\r\n", n),
		}
		done.Add(1)
		go func() {
			defer done.Done()
			res := q.send(g)
			mu.Lock()
			all = append(all, res)
			mu.Unlock()
		}()
	}
	for range 14 {
		send()
		time.Sleep(200 * time.Millisecond)
	}
	x := replicas[0]
	for _, e := range replicas[:6] {
		if len(e.Runs()) > len(x.Runs()) {
			x = e
		}
	}
	mu.Lock()
	state[x.ID] = "draining"
	mu.Unlock()
	k, v := x.StoreEntry("draining")
	revision, _ := r.store.put(k, v)
	x.SetHeader("Server-Leaving: 1\r\n")
	r.note("%s, which runs %d streams, reports that it is draining, confirmed at revision %d", x.ID, len(x.Runs()), revision)
	stay := spotNotice
	if !r.trouble {
		stay = 8 * time.Second
	}
	leavesAt := time.Now().Add(stay)
	for time.Now().Before(leavesAt) && n < 24 {
		send()
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(leavesAt))
	running := 0
	for _, run := range x.Runs() {
		if run.EndedAt.IsZero() {
			running++
		}
	}
	x.Crash()
	mu.Lock()
	gone[x.ID] = true
	mu.Unlock()
	r.store.remove(k)
	r.note("%s is gone, %v after its notice, while it runs %d streams", x.ID, stay, running)
	done.Wait()
	broken, whole := 0, 0
	for _, e := range replicas {
		for _, run := range e.Runs() {
			r.trace(run.StartedAt, "%s runs %s, prefill %v, whole answer sent %v", e.ID, run.RequestID, run.IsPrefill, run.Complete)
		}
	}
	for _, res := range all {
		events := strings.Count(res.body, "\n\n")
		switch {
		case res.status == 200 && res.bodyErr == nil && events < spotEvents:
			broken++
			r.note("client of %s: 200, MAC %q, %d events of %d, and the stream ends in order: looks complete", res.id, res.seal, events, spotEvents)
		case res.status == 200 && res.bodyErr == nil && events == spotEvents:
			whole++
		default:
			r.note("client of %s: status %d, %d events, error %v %v", res.id, res.status, events, res.err, res.bodyErr)
		}
	}
	r.note("%d streams, %d complete, %d end before their last event and look complete", len(all), whole, broken)
	if whole < len(all)/2 || (r.trouble && running == 0) {
		cannotRun("too few streams")
	}
	return broken > 0
}
