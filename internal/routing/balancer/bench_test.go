package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// BenchmarkAcquire measures the choice among 5,200 endpoints, of which none or a few have asked for a pause.
func BenchmarkAcquire(b *testing.B) {
	for _, paused := range []int{0, 100} {
		b.Run(fmt.Sprint(paused, " paused"), func(b *testing.B) {
			s := suspender.New(rand.New(rand.NewPCG(2, 2)))
			endpoints := make([]balancer.Endpoint, 5200)
			listed := make([]suspender.Endpoint, len(endpoints))
			for n := range endpoints {
				endpoints[n] = balancer.Endpoint{ID: fmt.Sprint("endpoint-", n), Service: "desk", Domain: fmt.Sprint("zone", n%6), Slots: 8}
				listed[n].ID = endpoints[n].ID
			}
			s.SetEndpoints(listed, 0)
			for n := range paused {
				s.Record(suspender.Signal{EndpointID: listed[n].ID, Pause: time.Minute}, time.Second)
			}
			balance := balancer.New("zone1", rand.New(rand.NewPCG(1, 1)), s)
			balance.SetEndpoints(endpoints)
			b.ReportAllocs()
			for b.Loop() {
				e := balance.Acquire("desk", nil, 2*time.Second)
				balance.Release(e.ID)
			}
		})
	}
}
