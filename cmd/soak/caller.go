package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
)

const (
	idHeader     = "X-Pistachiovane-Attempt-Id"
	keyHeader    = "X-Pistachiovane-Credential"
	budgetHeader = "X-Pistachiovane-Time-Budget-Ms"
	countsHeader = "X-Pistachiovane-Token-Counts"
	sealHeader   = "X-Pistachiovane-Server-Seal"
	// budget is how long a caller waits.
	budget = 3 * time.Second
	// think is the mean pause of a caller between two requests.
	think = 60 * time.Millisecond
	// leaveShare is the share of requests whose callers leave early, moveShare that after which they change the gateway.
	leaveShare = 0.05
	moveShare  = 0.03
	// staleShare is the share of requests that go on using a key which was withdrawn.
	staleShare = 0.05
)

// numbers makes the ids of requests unique in the process.
var numbers atomic.Uint64

// caller is one client with a connection of its own, which it keeps for as long as it can.
type caller struct {
	world   *world
	rng     *rand.Rand
	account string
	client  *http.Client
	gateway *gateway
	key     string
	// patient callers never leave early.
	patient bool
}

func newCaller(w *world, seed uint64, i int) *caller {
	c := &caller{world: w, rng: rand.New(rand.NewPCG(seed, uint64(i)+100)), account: bigAccount} //nolint:gosec // a seeded test
	if i%3 == 0 {
		c.account = smallAccount
	}
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	c.move()
	return c
}

// move turns to a gateway that is ready.
func (c *caller) move() {
	c.client.CloseIdleConnections()
	c.gateway = c.world.pick(c.rng)
}

// run sends requests until it is stopped.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(think))):
		}
		if c.key == "" || c.rng.Float64() > staleShare {
			c.key = c.world.key(c.account, c.rng)
		}
		r := c.send([]string{"draft", "note", "book", "book", "read", "read"}[c.rng.IntN(6)])
		c.world.record(r)
		if r.Status == 0 && r.CancelledAt.IsZero() || c.rng.Float64() < moveShare {
			c.move()
		}
	}
}

// send sends one request and reads its answer.
func (c *caller) send(route string) verifier.Request {
	n := numbers.Add(1)
	r := verifier.Request{
		ID: fmt.Sprintf("%s-%d", route, n), Account: c.account, APIKey: c.key, Gateway: c.gateway.name, ChargedTokens: 200, Kind: verifier.AtMostOnce,
	}
	ctx, cancel := context.WithTimeout(context.Background(), budget+time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.gateway.address+":8360/"+route+"/x", strings.NewReader("body of "+r.ID))
	if err != nil {
		panic(err)
	}
	q.Host = "h"
	q.Header.Set(idHeader, r.ID)
	q.Header.Set(keyHeader, c.key)
	q.Header.Set(budgetHeader, strconv.FormatInt(budget.Milliseconds(), 10))
	stream := route == "draft" || route == "note"
	if stream {
		q.Header.Set(countsHeader, "100,100")
	}
	if route == "draft" || route == "read" {
		r.Kind = verifier.Retryable
	}
	if !c.patient && c.rng.Float64() < leaveShare {
		leave := time.AfterFunc(time.Duration(c.rng.IntN(300))*time.Millisecond, func() { cancel() })
		defer leave.Stop()
	}
	r.SentAt = time.Now()
	answer, err := c.client.Do(q) //nolint:bodyclose // read closes it
	if err == nil {
		c.read(&r, answer, stream)
	}
	r.EndedAt = time.Now()
	if ctx.Err() != nil {
		r.CancelledAt = r.EndedAt
	}
	return r
}

// read takes in an answer; one that breaks off counts as none.
func (c *caller) read(r *verifier.Request, answer *http.Response, stream bool) {
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return
	}
	r.Status = answer.StatusCode
	if r.Status != http.StatusOK {
		return
	}
	seal, sealed := strings.CutPrefix(answer.Header.Get(sealHeader), "s.")
	switch {
	case !sealed:
		r.Defect = "no endpoint vouches for it"
	case string(body) == "answer of "+seal+" to "+r.ID:
		// An endpoint that misbehaves may answer so where a stream is due; it is passed on as it is.
	case stream:
		r.Defect = spoiltStream(string(body), r.ID)
	default:
		r.Defect = fmt.Sprintf("got %q sealed by %s", body, seal)
	}
}

// spoiltStream tells what is wrong with a stream that ended as complete.
func spoiltStream(body, id string) string {
	events := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
	for i, e := range events {
		if want := fmt.Sprintf("id: %d\ndata: piece %d to %s", i+1, i+1, id); e != want {
			return fmt.Sprintf("event %d is %q", i+1, e)
		}
	}
	if len(events) != eventsEach {
		return fmt.Sprintf("%d events of %d", len(events), eventsEach)
	}
	return ""
}
