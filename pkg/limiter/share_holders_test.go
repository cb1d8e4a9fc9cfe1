package limiter

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
)

func newView(gateways, domains int) allocator.View {
	v := allocator.View{Version: 1}
	for i := range gateways {
		v.Members = append(v.Members, fmt.Sprintf("g%03d", i))
		v.Domains = append(v.Domains, fmt.Sprintf("d%d", i%domains))
	}
	return v
}

// TestSharesSumToOne checks small and large fleets: the shares of all members are one, and lie in every failure domain.
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
				t.Fatalf("%d gateways, %s: shares sum to %v over %d holders, want %d", gateways, account, sum, holders, want)
			}
		}
	}
}

// TestRemovingAGatewayKeepsTheOtherShareHolders takes one of 60 gateways off: only the accounts at home there move.
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
				t.Fatalf("%s moved from %s, which is still there", account, holder)
			}
		}
	}
}

// BenchmarkEqualShares finds the shares of 16,000 accounts after a change of the list of 330 gateways.
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
