package admitter

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// grant is a debit that was charged to the own share for a peer.
type grant struct {
	ticket    limiter.Ticket
	grantedAt time.Duration
}

// HandleDebit charges a peer's debit to the own share and returns how many tokens were charged and the ID for the
// settlement. It charges none while maxGrants debits are open.
func (a *Admitter) HandleDebit(d fleet.DebitRequest) fleet.DebitResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredGrants()
	if len(a.grants) >= maxGrants {
		return fleet.DebitResponse{}
	}
	ticket, granted := a.limiter.Lend(d.Account, d.Tokens, maxDebitDuration, a.now(), wallClock())
	if granted == 0 {
		return fleet.DebitResponse{}
	}
	a.lastGrantID++
	a.grants[a.lastGrantID] = grant{ticket: ticket, grantedAt: a.now()}
	a.stats.PeerDebits++
	return fleet.DebitResponse{ChargedTokens: granted, GrantID: a.lastGrantID}
}

// HandleSettle returns the unused tokens of a peer's debit to the own share. A settlement of an unknown debit, or of
// one that is settled already, is ignored.
func (a *Admitter) HandleSettle(s fleet.SettleRequest) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.grants[s.GrantID]
	if !ok {
		return
	}
	delete(a.grants, s.GrantID)
	a.limiter.Settle(g.ticket, s.UnusedTokens, a.now())
}

// dropExpiredGrants drops debits that were not settled within grantLifetime. It does so only when half of maxGrants is
// in use, because it visits every debit. The caller must hold a.mu.
func (a *Admitter) dropExpiredGrants() {
	if len(a.grants) < maxGrants/2 {
		return
	}
	for id, g := range a.grants {
		if a.now()-g.grantedAt > grantLifetime {
			delete(a.grants, id)
		}
	}
}
