package executor

import (
	"bufio"
	"strings"
	"testing"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// A line that is no token, such as the text of an error, was taken for the token at index 0, and the tokens behind it moved.
func TestLineThatIsNoTokenIsRelayed(t *testing.T) {
	const first = `{"index":3,"text":"a"}` + "\n"
	for name, c := range map[string]struct {
		rest  string
		texts int
		valid bool
	}{
		"sound":           {`{"index":4,"text":"b"}` + "\n" + `{"index":5,"end":true}` + "\n", 2, true},
		"empty token":     {`{"index":4}` + "\n" + `{"index":5,"end":true}` + "\n", 2, true},
		"error":           {`{"error":"overloaded"}` + "\n", 1, false},
		"error and more":  {`{"error":"overloaded"}` + "\n" + `{"index":4,"text":"b"}` + "\n", 1, false},
		"a token missing": {`{"index":5,"text":"c"}` + "\n", 1, false},
		"token repeated":  {first, 1, false},
		"head":            {"HTTP/1.1 500 Internal Server Error\r\n\r\n", 1, false},
		"null":            {"null\n", 1, false},
		"nothing":         {"", 1, false},
		"number too big":  {`{"index":99999999999999999999}` + "\n", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			reader := bufio.NewReader(strings.NewReader(first + c.rest))
			batch := fleet.TokenBatch{FirstIndex: 3}
			var err error
			for end := false; !end && err == nil; {
				end, err = readChunk(reader, &batch)
			}
			if (err == nil) != c.valid || len(batch.Texts) != c.texts {
				t.Errorf("got tokens %q and error %v, want %d tokens, valid %t", batch.Texts, err, c.texts, c.valid)
			}
		})
	}
}
