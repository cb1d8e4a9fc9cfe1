package limiter

import (
	"strconv"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/sharer"
)

// BenchmarkAdmit admits and settles with 16,000 accounts.
func BenchmarkAdmit(b *testing.B) {
	const accounts = 16000
	s := sharer.New(sharer.Member{Name: "g0", Incarnation: 1}, sharer.Options{Pause: time.Second})
	s.Observe(sharer.View{Version: 1, Members: []string{"g0"}}, 0)
	for now := time.Duration(0); now <= 2*time.Second; now += time.Second / 2 {
		s.Check(now, now)
		s.Heard(now, now)
	}
	l := New(s, ByHome)
	plans := make([]Plan, accounts)
	names := make([]string, accounts)
	for i := range plans {
		names[i] = "account-" + strconv.Itoa(i)
		plans[i] = Plan{Account: names[i], Rate: 1e6, Burst: 1e9}
	}
	l.Set(plans, 2*time.Second)
	b.ReportAllocs()
	i := 0
	now := 10 * time.Second / 4
	for b.Loop() {
		now += time.Microsecond
		t, _, _ := l.Admit(names[i%accounts], 0, now, now)
		l.Settle(t, 0.5, now)
		i++
	}
}
