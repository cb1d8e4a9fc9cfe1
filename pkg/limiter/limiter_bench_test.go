package limiter

import (
	"strconv"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
)

// BenchmarkAdmit admits and settles one request at a time, in turn for 16,000 accounts.
func BenchmarkAdmit(b *testing.B) {
	const accounts = 16000
	a := allocator.New(allocator.Member{Name: "g0", Incarnation: 1}, allocator.Options{MaxUnnoticedPause: time.Second})
	a.ApplyView(allocator.View{Version: 1, Members: []string{"g0"}}, 0)
	for now := time.Duration(0); now <= 2*time.Second; now += time.Second / 2 {
		a.DetectPause(now, now)
		a.RecordListRead(now, now)
	}
	l := New(a, EqualShares)
	limits := make([]Limit, accounts)
	names := make([]string, accounts)
	for i := range limits {
		names[i] = "account-" + strconv.Itoa(i)
		limits[i] = Limit{Account: names[i], Rate: 1e6, Burst: 1e9}
	}
	l.SetLimits(limits, 2*time.Second)
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
