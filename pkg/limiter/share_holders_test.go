package limiter

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
)

// newView returns a view of gateways that are distributed evenly over failure domains.
func newView(gateways, domains int) allocator.View {
	v := allocator.View{Version: 1}
	for i := range gateways {
		v.Members = append(v.Members, fmt.Sprintf("g%03d", i))
		v.Domains = append(v.Domains, fmt.Sprintf("d%d", i%domains))
	}
	return v
}

// TestSharesSumToOne guards against shares of an account that sum to more or less than its limit, and against a large
// fleet in which a failure domain holds no share or several. It covers fleets below and above maxEqualShareGateways.
func TestSharesSumToOne(t *testing.T) {
	for _, gateways := range []int{1, 3, 12, 13, 40, 330} {
		v := newView(gateways, 6)
		for i := range 50 {
			account := fmt.Sprint("account", i)
			sum, holders := 0.0, 0
			for _, m := range v.Members {
				if share := EqualShares(v, m, account); share > 0 {
					sum += share
					holders++
				}
			}
			want := 6
			if gateways <= maxEqualShareGateways {
				want = gateways
			}
			if math.Abs(sum-1) > 1e-9 || holders != want {
				t.Fatalf("%d gateways, %s: got shares that sum to %v over %d holders, want 1 over %d",
					gateways, account, sum, holders, want)
			}
		}
	}
}

// TestRemovingAGatewayKeepsTheOtherShareHolders guards against a hash that moves shares between gateways that stay in
// the list. When one of 60 gateways is removed, only its own shares may move.
func TestRemovingAGatewayKeepsTheOtherShareHolders(t *testing.T) {
	before := newView(60, 6)
	after := before
	after.Members = slices.Delete(slices.Clone(before.Members), 7, 8)
	after.Domains = slices.Delete(slices.Clone(before.Domains), 7, 8)
	for i := range 500 {
		account := fmt.Sprint("account", i)
		oldHolders, newHolders := ShareHolders(before, account), ShareHolders(after, account)
		for _, holder := range oldHolders {
			if holder != before.Members[7] && !slices.Contains(newHolders, holder) {
				t.Fatalf("%s lost its share at %s, want it kept: that gateway is still listed", account, holder)
			}
		}
	}
}

// BenchmarkEqualShares computes the shares of 16,000 accounts at one of 330 gateways, as after a change of the list.
func BenchmarkEqualShares(b *testing.B) {
	accounts := make([]string, 16000)
	for i := range accounts {
		accounts[i] = fmt.Sprint("account", i)
	}
	view := newView(330, 6)
	for b.Loop() {
		for _, account := range accounts {
			EqualShares(view, "g000", account)
		}
	}
}
