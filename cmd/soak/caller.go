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
	// The headers between callers and gateways. requestIDHeader carries the ID of the request; the header is named for
	// attempts.
	requestIDHeader   = "X-Pistachiovane-Attempt-Id"
	credentialHeader  = "X-Pistachiovane-Credential"
	timeBudgetHeader  = "X-Pistachiovane-Time-Budget-Ms"
	tokenCountsHeader = "X-Pistachiovane-Token-Counts"
	partsHeader       = "X-Pistachiovane-Prompt-Prefix"
	serverSealHeader  = "X-Pistachiovane-Server-Seal"
	// timeBudget is the time in which a request must be answered. A caller waits one second longer.
	timeBudget = 3 * time.Second
	// meanThinkTime is the mean pause of a caller between two requests.
	meanThinkTime = 60 * time.Millisecond
	// cancelRatio is the fraction of requests for which the caller sets a timer that cancels them.
	cancelRatio = 0.05
	// switchGatewayRatio is the fraction of requests after which the caller switches to another gateway.
	switchGatewayRatio = 0.03
	// staleKeyRatio is the fraction of requests that use the API key of the previous request, even if the key was
	// withdrawn since.
	staleKeyRatio = 0.05
)

// The routes of every configuration.
const (
	routeDraft = "draft"
	routeNote  = "note"
	routeBook  = "book"
	routeRead  = "read"
)

// lastRequestNumber makes the IDs of requests unique within the process.
var lastRequestNumber atomic.Uint64

// caller is a client of one account. It sends one request at a time over its own connection, which it keeps open.
type caller struct {
	testbed *testbed
	rng     *rand.Rand
	account string
	client  *http.Client
	gateway *gateway
	apiKey  string
	// neverCancels is set for the requests of checkVersions, which needs the response of every request.
	neverCancels bool
}

// newCaller returns caller number i of a seed. Every third caller belongs to the account that has a limit.
func newCaller(b *testbed, seed uint64, i int) *caller {
	c := &caller{
		testbed: b, rng: rand.New(rand.NewPCG(seed, uint64(i)+100)), account: bigAccount, //nolint:gosec // a seeded test
	}
	if i%3 == 0 {
		c.account = smallAccount
	}
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	c.switchGateway()
	return c
}

// switchGateway closes the idle connections and picks a random ready gateway for the next requests.
func (c *caller) switchGateway() {
	c.client.CloseIdleConnections()
	c.gateway = c.testbed.pickGateway(c.rng)
}

// run sends requests, with random pauses, until stop is closed. It switches the gateway after a lost connection.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(c.rng.ExpFloat64() * float64(meanThinkTime))):
		}
		if c.apiKey == "" || c.rng.Float64() > staleKeyRatio {
			c.apiKey = c.testbed.pickKey(c.account, c.rng)
		}
		route := []string{routeDraft, routeNote, routeBook, routeBook, routeRead, routeRead}[c.rng.IntN(6)]
		body := ""
		if c.rng.Float64() < repeatedRatio {
			body = repeatedBody
		}
		r := c.send(route, body, "")
		c.testbed.recordRequest(r)
		if r.Status == 0 && r.CancelledAt.IsZero() || c.rng.Float64() < switchGatewayRatio {
			c.switchGateway()
		}
	}
}

// send sends one request to a route and returns its record. An empty body means one that no other request has. The prompt of a
// generation has the given part, or any one if that is empty.
func (c *caller) send(route, body, part string) verifier.Request {
	n := lastRequestNumber.Add(1)
	r := verifier.Request{
		ID: fmt.Sprintf("%s-%d", route, n), Account: c.account, APIKey: c.apiKey, Gateway: c.gateway.name,
		ChargedTokens: 200, Kind: verifier.AtMostOnce,
	}
	if body == "" {
		body = "body of " + r.ID
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget+time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+c.gateway.address+":8360/"+route+"/x", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = "h"
	q.Header.Set(requestIDHeader, r.ID)
	q.Header.Set(credentialHeader, c.apiKey)
	q.Header.Set(timeBudgetHeader, strconv.FormatInt(timeBudget.Milliseconds(), 10))
	isStream := route == routeDraft || route == routeNote
	if isStream {
		q.Header.Set(tokenCountsHeader, "100,100")
		q.Header.Set(partsHeader, c.prompt(strconv.FormatUint(n, 16), part))
	}
	if route == routeDraft || route == routeRead {
		r.Kind = verifier.Retryable
	}
	if !c.neverCancels && c.rng.Float64() < cancelRatio {
		cancelTimer := time.AfterFunc(time.Duration(c.rng.IntN(300))*time.Millisecond, func() { cancel() })
		defer cancelTimer.Stop()
	}
	r.SentAt = time.Now()
	r.Deadline = r.SentAt.Add(timeBudget)
	response, err := c.client.Do(q) //nolint:bodyclose // readResponse closes it
	if err == nil {
		c.readResponse(&r, response, isStream)
	}
	r.EndedAt = time.Now()
	if ctx.Err() != nil {
		r.CancelledAt = r.EndedAt
	}
	return r
}

// readResponse records the status of a response and, for status 200, what is wrong with its body. A response that ends
// early counts as no response: its status stays zero.
func (c *caller) readResponse(r *verifier.Request, response *http.Response, isStream bool) {
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return
	}
	r.Status = response.StatusCode
	if r.Status != http.StatusOK {
		return
	}
	seal, sealed := strings.CutPrefix(response.Header.Get(serverSealHeader), "s.")
	plain := "answer of " + seal + " to " + r.ID
	unmarked := response.ContentLength < 0 && len(response.TransferEncoding) == 0
	whole := plain
	if isStream {
		whole = wholeStream(r.ID)
	}
	switch {
	case !sealed:
		r.Defect = "the response has no server seal"
	case string(body) == whole, string(body) == plain:
		// A stand-in with a fault may send a plain response to a streaming route; gateways forward it unchanged.
	case unmarked && isPartOfAnswer(string(body), whole, isStream):
		r.IsPart = true
	default:
		r.Defect = fmt.Sprintf("got %q sealed by %s", body, seal)
	}
}
