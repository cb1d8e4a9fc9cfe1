package daemon

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/confirmer"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// Options are the settings of a gateway.
type Options struct {
	// Name is the name of the gateway.
	Name string
	// Domain is the failure domain of the gateway.
	Domain string
	// GossipAddr is the address of this gateway's gossip socket.
	GossipAddr netip.AddrPort
	// SeedAddrs are the gossip addresses of gateways that are contacted first to find the others.
	SeedAddrs []netip.AddrPort
	// HeartbeatInterval is how often endpoints write their entries in the store. An entry expires after three intervals
	// without a write.
	HeartbeatInterval time.Duration
	// FirstStart is set if the whole system starts for the first time, so that no generation has been served yet.
	FirstStart bool
	// DrainGrace is the time in which a stopping process must end.
	DrainGrace time.Duration
	// BufferBytes bounds the memory of all bodies together that are read before they are sent to callers, and BodyBytes that of
	// all bodies of requests in progress.
	BufferBytes, BodyBytes int64
	// BalancerNoticeTime is how long the callers' balancer takes to notice that a process is not ready.
	BalancerNoticeTime time.Duration
	// RevokeDeadline is the time within which a withdrawn key must stop working.
	RevokeDeadline time.Duration
	// Limits are the settings of the limiter of client accounts.
	Limits capper.Options
	// RetryBudget limits how many requests are retried.
	RetryBudget retrier.Options
}

// hasOtherSeeds reports whether the settings name another gateway.
func (o Options) hasOtherSeeds() bool {
	return slices.ContainsFunc(o.SeedAddrs, func(a netip.AddrPort) bool { return a != o.GossipAddr })
}

// newRand returns a generator with a random seed.
func newRand() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

func listerOptions(o Options) lister.Options {
	return lister.Options{
		AbsentGrace: expiredEntryGrace, RestoredGrace: missedHeartbeats*o.HeartbeatInterval + expiredEntryGrace,
	}
}

func confirmerOptions() confirmer.Options {
	return confirmer.Options{RepeatTime: changeGossipPeriod - maxTransitTime, MaxAge: maxListAge, ReadInterval: minListReadInterval}
}

func plannerOptions(domain string, s *suspender.Suspender) planner.Options {
	return planner.Options{
		Domain: domain, PrefillRate: initialPrefillTokensPerSecond, FirstEventOverhead: 60 * time.Millisecond,
		MaxPrefillWait: 450 * time.Millisecond, MaxQueueWait: 2500 * time.Millisecond,
		DecodeRate: initialDecodeTokensPerSecond, MaxMemoryFraction: 0.9, MaxLoadAge: 1500 * time.Millisecond, Suspensions: s,
	}
}

func rebalancerOptions() rebalancer.Options {
	return rebalancer.Options{
		MinGenerations: minMeasuredGenerations, PrefillReserve: 0.5, MinGain: 1.1, UrgentGain: 1.5,
		LeaderSettleTime: 4 * time.Second, MinOrderInterval: 15 * time.Second,
	}
}

// initialUsage returns the use of endpoint time that is assumed before the first generation: three times as much for
// decode as for prefill. It is zero after a restart, because the split may have been adapted to the traffic since.
func initialUsage(firstStart bool) profiler.Usage {
	if !firstStart {
		return profiler.Usage{}
	}
	return profiler.Usage{Generations: minMeasuredGenerations, PrefillSeconds: 1, DecodeSeconds: 3}
}

func profilerOptions() profiler.Options {
	return profiler.Options{DecayTime: 20 * time.Second, MaxPeerAge: 3 * time.Second, SettleTime: 8 * time.Second}
}
