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

const (
	rate  = 100.0
	burst = 1000.0
)

// peerSet is a set of admitters that lend to each other without a network, and count the debits.
type peerSet struct {
	admitters  map[string]*Admitter
	debitCount int
}

func (f *peerSet) Debit(_ context.Context, name string, d fleet.Debit) (fleet.DebitAnswer, error) {
	f.debitCount++
	return f.admitters[name].HandleDebit(d), nil
}

func (f *peerSet) Settle(name string, s fleet.Settle) { f.admitters[name].HandleSettle(s) }

// newPeerSet returns grown admitters over one account whose buckets have had time to fill.
func newPeerSet(t *testing.T, gateways, domains int) *peerSet {
	t.Helper()
	f := &peerSet{admitters: make(map[string]*Admitter)}
	view := allocator.View{Version: 1}
	for i := range gateways {
		name := fmt.Sprintf("g%02d", i)
		view.Members = append(view.Members, name)
		view.Domains = append(view.Domains, fmt.Sprint("d", i%domains))
	}
	account := catalog.Account{Name: "a", Plan: "p", Rate: rate, Burst: burst, Weight: 1}
	for i, name := range view.Members {
		shares := allocator.New(allocator.Member{Name: name, Incarnation: uint64(i)}, allocator.Options{MaxUnnoticedPause: time.Hour})
		a := New(name, shares, limiter.New(shares, limiter.EqualShares))
		a.SetPeerClient(f)
		a.SetPlans(catalog.New(1, 1, []catalog.Account{account}, nil, nil))
		f.admitters[name] = a
		a.start = a.start.Add(-2 * time.Hour)
		shares.ApplyView(view, time.Minute)
		for _, other := range view.Members {
			question := shares.Query(time.Minute)
			shares.HandleMessage(allocator.Message{From: allocator.Member{Name: other}, IsReply: true, Version: 1, RequestedAt: question.RequestedAt, RequesterIncarnation: uint64(i)}, time.Minute)
		}
		shares.RecordListRead(2*time.Minute, 90*time.Minute)
		if !shares.HasFullShare() {
			t.Fatal("the share has not grown")
		}
		a.limiter.ResizeBuckets(90 * time.Minute)
	}
	return f
}

func admit(t *testing.T, f *peerSet, name string, tokens float64) (Settlement, bool) {
	t.Helper()
	settle, refusal := f.admitters[name].Admit(context.Background(), "a", tokens, 0)
	return settle, refusal == nil
}

// TestOneGatewayAdmitsTheBurstOnlyOnce spends nearly all of the burst at one gateway of a small and of a large fleet.
func TestOneGatewayAdmitsTheBurstOnlyOnce(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {4, 2}, {60, 6}} {
		f := newPeerSet(t, size[0], size[1])
		if _, ok := admit(t, f, "g00", 0.9*burst); !ok {
			t.Errorf("%d gateways: 0.9 of the burst was refused at one of them", size[0])
		}
		if _, ok := admit(t, f, "g00", 0.5*burst); ok {
			t.Errorf("%d gateways: 1.4 of the burst was admitted", size[0])
		}
		if f.debitCount > 2*6 {
			t.Errorf("%d gateways: %d debits for two requests", size[0], f.debitCount)
		}
	}
}

// TestUnusedTokensAreReturnedOnlyOnce settles a request twice and spends what came back.
func TestUnusedTokensAreReturnedOnlyOnce(t *testing.T) {
	f := newPeerSet(t, 4, 2)
	settle, ok := admit(t, f, "g00", 0.9*burst)
	if !ok {
		t.Fatal("refused")
	}
	settle(0.8 * burst)
	settle(0.8 * burst)
	if _, ok := admit(t, f, "g01", 0.7*burst); !ok {
		t.Error("what was returned can't be spent")
	}
	if _, ok := admit(t, f, "g02", 0.5*burst); ok {
		t.Error("what was returned once was spent twice")
	}
}
