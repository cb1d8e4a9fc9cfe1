package executor

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// Whatever an engine sends, reading must end, and take as many tokens as there are lines at most.
func FuzzReadChunk(f *testing.F) {
	f.Add([]byte("{\"index\":0,\"text\":\"a\"}\n{\"index\":1,\"end\":true}\n"))
	f.Add([]byte("{\"error\":\"overloaded\"}\n"))
	f.Add([]byte("null\n7\n\"x\"\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(b), maxLineBytes)
		var batch fleet.TokenBatch
		for range bytes.Count(b, []byte("\n")) + 2 {
			if end, err := readChunk(reader, &batch); end || err != nil {
				break
			}
		}
		if n := bytes.Count(b, []byte("\n")); len(batch.Texts) > n {
			t.Errorf("got %d tokens of %d lines", len(batch.Texts), n)
		}
	})
}
