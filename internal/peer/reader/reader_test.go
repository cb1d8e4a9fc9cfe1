package reader_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pistachiovane/pistachiovane/internal/peer/reader"
	"github.com/pistachiovane/pistachiovane/internal/peer/scripter"
)

const (
	sealedHead = "HTTP/1.1 200 OK\r\nSeal: s\r\n"
	event1     = "id: 1\ndata: piece 1 to r\n\n"
	event2     = "id: 2\ndata: piece 2 to r\n\n"
	errorText  = "HTTP/1.1 500 no\r\n\r\n"
)

// respond returns the response that a caller reads from bytes.
func respond(wire string) reader.Response {
	return reader.Read(strings.NewReader(wire))
}

// chunked returns a sealed response in chunks.
func chunked(body, end string) string {
	return sealedHead + "Transfer-Encoding: chunked\r\n\r\n" + body + end
}

// Each rule must be found broken by an example, and hold for one that keeps it.
func TestRules(t *testing.T) {
	stream := reader.Request{ID: "r", Stream: true, Events: 2, InTime: true}
	once := stream
	once.Once = true
	call := reader.Request{ID: "r", InTime: true}
	served := reader.Played{RequestID: "r", Endpoint: "e"}
	other := func(change func(x *scripter.Exchange)) reader.Played {
		p := served
		change(&p.Exchange)
		return p
	}
	cut := other(func(x *scripter.Exchange) { x.Cut = scripter.Close })
	refused := other(func(x *scripter.Exchange) { x.Verdict = scripter.Refused })
	unmarked := other(func(x *scripter.Exchange) { x.Cut, x.Framing = scripter.Close, scripter.Unframed })
	textual := other(func(x *scripter.Exchange) { x.Verdict = scripter.ErrorText })
	both := "1a\r\n" + event1 + "\r\n1a\r\n" + event2 + "\r\n"
	for name, c := range map[string]struct {
		request reader.Request
		wire    string
		played  []reader.Played
		want    string
	}{
		"whole stream":           {stream, chunked(both, "0\r\n\r\n"), []reader.Played{served}, ""},
		"whole call":             {call, sealedHead + "Content-Length: 16\r\n\r\nanswer of e to r", []reader.Played{served}, ""},
		"cut looks cut":          {stream, chunked("1a\r\n"+event1+"\r\n", ""), []reader.Played{cut}, ""},
		"cut looks complete":     {stream, chunked("1a\r\n"+event1+"\r\n", "0\r\n\r\n"), []reader.Played{cut}, "looks complete"},
		"unmarked end":           {stream, sealedHead + "\r\n" + event1, []reader.Played{unmarked}, ""},
		"marked unmarked end":    {stream, chunked("1a\r\n"+event1+"\r\n", "0\r\n\r\n"), []reader.Played{unmarked}, "looks complete"},
		"event twice":            {stream, chunked("34\r\n"+event1+event1+"\r\n", ""), []reader.Played{cut}, "no answer to the request"},
		"event missing":          {stream, chunked("1a\r\n"+event2+"\r\n", ""), []reader.Played{cut}, "no answer to the request"},
		"event of another":       {stream, chunked("1a\r\n"+strings.ReplaceAll(event1, "to r", "to x")+"\r\n", ""), []reader.Played{cut}, "no answer to the request"},
		"error text behind":      {stream, chunked("1a\r\n"+event1+"\r\n13\r\n"+errorText+"\r\n", "0\r\n\r\n"), []reader.Played{cut, textual}, "no answer to the request"},
		"error text as answer":   {stream, chunked("13\r\n"+errorText+"\r\n", "0\r\n\r\n"), []reader.Played{textual}, ""},
		"call of another":        {call, sealedHead + "Content-Length: 16\r\n\r\nanswer of e to x", []reader.Played{served}, "no answer to the request"},
		"no seal":                {call, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\nanswer of e to r", []reader.Played{served}, "without a seal"},
		"served but refused":     {call, "HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n", []reader.Played{served}, "the first endpoint served it"},
		"true refusal":           {call, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", []reader.Played{refused}, ""},
		"ran and refused":        {call, "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", []reader.Played{cut}, "but ran"},
		"kept away":              {call, "HTTP/1.1 503 x\r\nRetry-After: 86399\r\nContent-Length: 0\r\n\r\n", nil, "stay away"},
		"ran twice":              {once, "HTTP/1.1 502 x\r\nContent-Length: 0\r\n\r\n", []reader.Played{cut, cut}, "may run once"},
		"failure nobody sent":    {call, "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", []reader.Played{cut}, "no endpoint sent"},
		"refusal with a seal":    {call, "HTTP/1.1 502 x\r\nSeal: s\r\nContent-Length: 0\r\n\r\n", []reader.Played{cut}, "with a seal"},
		"bytes that are no head": {call, "answer of e to r\n", []reader.Played{cut}, "no answer"},
	} {
		t.Run(name, func(t *testing.T) {
			c.request.Response = respond(c.wire)
			got := strings.Join(reader.New(errorText, "Seal").Judge(c.request, c.played), "; ")
			if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
				t.Errorf("got %q, want %q; response %+v", got, c.want, c.request.Response)
			}
		})
	}
}

// A connection that is reset ends nothing in the ordinary way.
func TestResetLooksComplete(t *testing.T) {
	broken := io.MultiReader(strings.NewReader(sealedHead+"\r\n"+event1), iotest.ErrReader(errors.New("reset")))
	if r := reader.Read(broken); r.Complete || r.KeepOpen || r.Body != event1 {
		t.Errorf("got %+v, want a body that is not complete", r)
	}
}
