package cmds

import (
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// liveHeapBytes returns the live heap of the test, the stand-ins and the gateway together, without garbage.
func liveHeapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against bytes without end that are no events and no whole answer: they must cost neither memory nor others their
// answers, and the caller must not take them for complete.
func TestEdgeBoundsAnswerWithoutEnd(t *testing.T) {
	for path, unframed := range map[string]bool{"/note/1": true, "/book/1": true, "/draft/1": false} {
		t.Run(path, func(t *testing.T) {
			env := newTestEnv(t)
			for _, e := range env.serviceEndpoints {
				e.Endless, e.EndlessUnframed = true, unframed
			}
			for _, id := range []string{"d1", "d2"} {
				env.modelEndpoints[id].Endless, env.modelEndpoints[id].EndlessUnframed = true, unframed
			}
			before := liveHeapBytes()
			done := make(chan response, 1)
			r := env.newRequest(http.MethodPost, path, "body", "X-Pistachiovane-Time-Budget-Ms", "1000", "X-Pistachiovane-Token-Counts", "100,100")
			go func() { done <- env.sendWithoutBody(r) }()
			time.Sleep(500 * time.Millisecond)
			if grown := liveHeapBytes() - before; grown > 16<<20 {
				t.Errorf("the live heap grew by %d bytes", grown)
			}
			select {
			case resp := <-done:
				if resp.claimsComplete() {
					t.Errorf("the caller takes an answer without end for complete")
				}
			case <-time.After(3 * time.Second):
				t.Errorf("the answer has not ended; log:\n%s", env.log.String())
			}
			if n := strings.Count(env.log.String(), "\n"); n > 100 {
				t.Errorf("got %d log lines", n)
			}
		})
	}
}
