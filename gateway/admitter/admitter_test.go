package admitter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// The limit of the test's account, in tokens per second and in tokens.
const (
	rate  = 100.0
	burst = 1000.0
)

// peerSet holds admitters that call each other directly instead of over a network, and counts the debits.
type peerSet struct {
	admitters  map[string]*Admitter
	debitCount int
}

func (p *peerSet) Debit(_ context.Context, name string, d fleet.DebitRequest) (fleet.DebitResponse, error) {
	p.debitCount++
	return p.admitters[name].HandleDebit(d), nil
}

func (p *peerSet) Settle(name string, s fleet.SettleRequest) { p.admitters[name].HandleSettle(s) }

// newPeerSet returns one admitter for each gateway. All have the same account, their full share of its limit and full
// buckets.
func newPeerSet(t *testing.T, gateways, domains int) *peerSet {
	t.Helper()
	p := &peerSet{admitters: make(map[string]*Admitter)}
	view := allocator.View{Version: 1}
	for i := range gateways {
		name := fmt.Sprintf("g%02d", i)
		view.Members = append(view.Members, name)
		view.Domains = append(view.Domains, fmt.Sprint("d", i%domains))
	}
	account := catalog.Account{Name: "a", Plan: "p", TokensPerSecond: rate, BurstTokens: burst, Weight: 1}
	for i, name := range view.Members {
		shares := allocator.New(allocator.Member{Name: name, Incarnation: uint64(i)},
			allocator.Options{MaxUnnoticedPause: time.Hour})
		a := New(name, shares, limiter.New(shares, limiter.EqualShares))
		a.SetPeerClient(p)
		a.SetLimits(catalog.New(1, 1, []catalog.Account{account}, nil, nil))
		p.admitters[name] = a
		a.start = a.start.Add(-2 * time.Hour)
		shares.ApplyView(view, time.Minute)
		for _, other := range view.Members {
			query := shares.Query(time.Minute)
			shares.HandleMessage(allocator.Message{
				From: allocator.Member{Name: other}, IsReply: true, Version: 1, RequestedAt: query.RequestedAt,
				RequesterIncarnation: uint64(i),
			}, time.Minute)
		}
		shares.RecordListRead(2*time.Minute, 90*time.Minute)
		if !shares.HasFullShare() {
			t.Fatal("HasFullShare is false after all peers replied, want true")
		}
		a.limiter.ResizeBuckets(90 * time.Minute)
	}
	return p
}

func admit(t *testing.T, p *peerSet, name string, tokens float64) (Settlement, bool) {
	t.Helper()
	settle, refusal := p.admitters[name].Admit(context.Background(), "a", tokens, 0)
	return settle, refusal == nil
}

// TestOneGatewayAdmitsTheBurstOnlyOnce guards against a fleet in which one gateway can't use the shares of its peers,
// so that it refuses a request within the account's burst, or in which it admits more than the burst. It sends 0.9 and
// then 0.5 of the burst to one gateway, and bounds the number of debits, in fleets of 1, 4 and 60 gateways.
func TestOneGatewayAdmitsTheBurstOnlyOnce(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {4, 2}, {60, 6}} {
		p := newPeerSet(t, size[0], size[1])
		if _, ok := admit(t, p, "g00", 0.9*burst); !ok {
			t.Errorf("%d gateways: a request for 0.9 of the burst was refused, want it admitted", size[0])
		}
		if _, ok := admit(t, p, "g00", 0.5*burst); ok {
			t.Errorf("%d gateways: 1.4 of the burst was admitted in total, want at most 1", size[0])
		}
		if p.debitCount > 2*6 {
			t.Errorf("%d gateways: got %d debits for two requests, want at most 12", size[0], p.debitCount)
		}
	}
}

// TestUnusedTokensAreReturnedOnlyOnce guards against a settlement that refunds unused tokens each time it is called.
// It settles a request twice and spends the refunded tokens at other gateways.
func TestUnusedTokensAreReturnedOnlyOnce(t *testing.T) {
	p := newPeerSet(t, 4, 2)
	settle, ok := admit(t, p, "g00", 0.9*burst)
	if !ok {
		t.Fatal("a request for 0.9 of the burst was refused, want it admitted")
	}
	settle(0.8 * burst)
	settle(0.8 * burst)
	if _, ok := admit(t, p, "g01", 0.7*burst); !ok {
		t.Error("a request for 0.7 of the burst was refused after 0.8 was refunded, want it admitted")
	}
	if _, ok := admit(t, p, "g02", 0.5*burst); ok {
		t.Error("a request for 0.5 of the burst was admitted after the refunded tokens were spent, want it refused")
	}
}
