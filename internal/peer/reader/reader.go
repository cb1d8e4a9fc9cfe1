package reader

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/peer/scripter"
)

// maxRetryAfter is the longest time for which a request that harms nobody may be told to stay away.
const maxRetryAfter = time.Minute

// Request is what a caller sent and got.
type Request struct {
	ID string
	// Stream is set if the answer is a stream of Events events.
	Stream bool
	Events int
	// Once is set if the request may run once at most.
	Once bool
	// Crashes is set if the request crashes each endpoint that runs it.
	Crashes  bool
	Response Response
	// InTime is set if the response came so early that no deadline can be the reason for it.
	InTime bool
}

// Played is what an endpoint did with an attempt of a request.
type Played struct {
	RequestID string
	Endpoint  string
	// Prefill is set if the attempt was a prefill.
	Prefill  bool
	Exchange scripter.Exchange
}

// Reader judges requests. Its rules are those of the users: nothing mixed, nothing twice, nothing refused that ran, a cut
// looks cut, a whole answer is served, events once and in order, nobody innocent refused.
type Reader struct {
	// errorText is the body of an answer that is the text of an error.
	errorText string
	// sealHeader is the name of the header with which endpoints mark their answers, in lower case.
	sealHeader string
}

// New returns a Reader. errorText is the body of answers that are the text of an error, sealHeader the name of the header
// with which endpoints mark their answers.
func New(errorText, sealHeader string) *Reader {
	return &Reader{errorText: errorText, sealHeader: strings.ToLower(sealHeader)}
}

// Judge returns what is wrong with what a caller got, given what the endpoints did with all requests.
func (r *Reader) Judge(q Request, played []Played) []string {
	var runs []Played
	for _, p := range played {
		if p.RequestID == q.ID && !p.Prefill {
			runs = append(runs, p)
		}
	}
	var out []string
	if q.Response.Malformed != "" {
		out = append(out, "bytes that are no answer: "+q.Response.Malformed)
	}
	out = append(out, r.judgeStatus(q, runs)...)
	if q.Response.Status == 200 {
		out = append(out, r.judgeBody(q, runs)...)
	}
	if ran := countRan(runs); q.Once && ran > 1 {
		out = append(out, fmt.Sprintf("ran %d times, may run once", ran))
	}
	if len(runs) > 0 && runs[0].Exchange.IsSound() && q.InTime && !r.isWhole(q) {
		out = append(out, fmt.Sprintf("the first endpoint served it, the caller got status %d and %q", q.Response.Status, q.Response.Body))
	}
	return out
}

// countRan returns how many of the attempts ran.
func countRan(runs []Played) int {
	n := 0
	for _, p := range runs {
		if p.Exchange.Runs() {
			n++
		}
	}
	return n
}

// judgeStatus checks that a refusal is true, that it keeps nobody away who harms nobody, and whose answer it claims to be.
func (r *Reader) judgeStatus(q Request, runs []Played) []string {
	var out []string
	sealed := q.Response.Header[r.sealHeader] != ""
	switch q.Response.Status {
	case 200:
		if !sealed {
			out = append(out, "success without a seal")
		}
	case 429, 503, 408, 421:
		if n := countRan(runs); n > 0 {
			out = append(out, fmt.Sprintf("refused with status %d, but ran %d times", q.Response.Status, n))
		}
		seconds, err := strconv.ParseFloat(q.Response.Header["retry-after"], 64)
		if err == nil && seconds > maxRetryAfter.Seconds() && !q.Crashes {
			out = append(out, fmt.Sprintf("told to stay away for %.0f s", seconds))
		}
	case 500:
		if !sealed || !anyVerdict(runs, scripter.Failed) {
			out = append(out, "status 500 that no endpoint sent")
		}
	}
	if sealed && q.Response.Status != 200 && q.Response.Status != 500 {
		out = append(out, fmt.Sprintf("status %d with a seal", q.Response.Status))
	}
	return out
}

// anyVerdict reports whether an endpoint answered with a verdict.
func anyVerdict(runs []Played, v scripter.Verdict) bool {
	for _, p := range runs {
		if p.Exchange.Verdict == v {
			return true
		}
	}
	return false
}

// judgeBody checks that the body of a success is an answer to the request, and that a part of one does not look whole.
func (r *Reader) judgeBody(q Request, runs []Played) []string {
	whole, known := r.wholeBody(q, runs)
	switch {
	case !known:
		return []string{fmt.Sprintf("body is no answer to the request: %q", q.Response.Body)}
	case q.Response.Complete && !whole && !mayLookWhole(q, runs):
		return []string{fmt.Sprintf("part of an answer looks complete: %q", q.Response.Body)}
	default:
		return nil
	}
}

// isWhole reports whether the caller got the whole answer.
func (r *Reader) isWhole(q Request) bool {
	if q.Response.Status != 200 || !q.Response.Complete {
		return false
	}
	if !q.Stream {
		return strings.HasPrefix(q.Response.Body, "answer of ") && strings.HasSuffix(q.Response.Body, " to "+q.ID)
	}
	events, rest := q.countEvents()
	return events == q.Events && rest == ""
}

// wholeBody returns whether the body is a whole answer. known is false if it is not even a part of one.
func (r *Reader) wholeBody(q Request, runs []Played) (whole, known bool) {
	body := q.Response.Body
	for _, p := range runs {
		if p.Exchange.Verdict == scripter.ErrorText && strings.HasPrefix(r.errorText, body) {
			return body == r.errorText, true
		}
		if answer := "answer of " + p.Endpoint + " to " + q.ID; !q.Stream && strings.HasPrefix(answer, body) {
			whole, known = whole || body == answer, true
		}
	}
	if !q.Stream {
		return whole, known
	}
	events, rest := q.countEvents()
	return events == q.Events && rest == "", rest == ""
}

// countEvents returns how many events of the request's stream the body begins with, and what follows.
func (q Request) countEvents() (n int, rest string) {
	rest = q.Response.Body
	for {
		next, ok := strings.CutPrefix(rest, fmt.Sprintf("id: %d\ndata: piece %d to %s\n\n", n+1, n+1, q.ID))
		if !ok {
			return n, rest
		}
		n, rest = n+1, next
	}
}

// mayLookWhole reports whether nobody could know that the caller got a part: its end is not marked, and the last endpoint
// closed the connection in the ordinary way behind an answer without a mark, or ended as it had said that it would and something
// accepts connections at its address. What a listener that never answers hides is listed in KNOWN-RED.txt.
func mayLookWhole(q Request, runs []Played) bool {
	if q.Response.Marked || len(runs) == 0 {
		return false
	}
	last := runs[len(runs)-1].Exchange
	ends := last.Cut == scripter.Close ||
		last.Cut == scripter.Crash && (last.Signal == scripter.Leaves && last.Successor != scripter.Nothing || last.Successor == scripter.Stuck)
	return last.Framing == scripter.Unframed && ends || last.Cut == scripter.MarkedInside
}

// CountCrashes returns how many endpoints ended.
func CountCrashes(played []Played) int {
	n := 0
	for _, p := range played {
		if p.Exchange.Cut == scripter.Crash {
			n++
		}
	}
	return n
}
