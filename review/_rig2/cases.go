package main

import (
	"sync"
	"time"
)

// cases are the plays by name. Each returns whether the rule was broken. The file of a play adds it.
var cases = map[string]func(r *rig) bool{}

// bounds of the rules, as in the settings.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
)

// config is the operator's configuration. Its arguments are the version and the keys of the tenant, quoted.
const config = `{"version":%d,"routes":[
 {"name":"book","host":"app.example","prefix":"/book/","kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":1,"skip_auth":false,"use_affinity":false},
 {"name":"read","host":"app.example","prefix":"/read/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"app","max_attempts":2,"skip_auth":false,"use_affinity":false}],
 "services":[{"name":"app","health_path":"/healthz","max_conns":96,"protocol":"h1","use_tls":false}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"tenant","api_keys":[%s],"priority":1,"unit":"token_stream","plain_tokens":200,"rate_per_s":117482,"burst":117482}]}`

const key = "3d3zji9n73hh2b9wu3fe"

// clump sends n requests at once and returns their results.
func clump(g *gateway, n int, next func() request) []result {
	results := make([]result, n)
	var done sync.WaitGroup
	for i := range n {
		q := next()
		done.Add(1)
		go func() { defer done.Done(); results[i] = q.send(g) }()
	}
	done.Wait()
	return results
}
