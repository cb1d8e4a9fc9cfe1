package broadcaster

import (
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashencoder"
)

const (
	// maxFleetSize is the largest number of gateways that a message may report.
	maxFleetSize = 100000
	// maxAccountTokens is the largest number of tokens of an account that a message may report, and maxLoadCount the largest
	// number of tokens, requests or ms in a load.
	maxAccountTokens = 1e15
	maxLoadCount     = 2_000_000_000
	// maxFleetSizeTime is the longest time for which that number may be used.
	maxFleetSizeTime = 10 * time.Minute
)

// check fails if the message lacks a sender address or an incarnation, or if a time or a number in it is impossible. A
// negative age would make what the message confirms hold for longer than it does.
func (m Message) check() error {
	switch {
	case m.From == "" || m.Incarnation == 0:
		return errors.New("state message without sender address or incarnation")
	case m.SentAtMs < 0 || m.SentAtMs > math.MaxInt64/int64(time.Millisecond):
		return errors.Errorf("state message of %s was sent at %d ms", m.From, m.SentAtMs)
	case m.ConfigAgeMs < 0:
		return errors.Errorf("state message of %s has a configuration of age %d ms", m.From, m.ConfigAgeMs)
	case m.ListAgeMs != nil && *m.ListAgeMs < 0:
		return errors.Errorf("state message of %s has an endpoint list of age %d ms", m.From, *m.ListAgeMs)
	case m.ListDigestAgeMs != nil && *m.ListDigestAgeMs < 0:
		return errors.Errorf("state message of %s has a digest of age %d ms", m.From, *m.ListDigestAgeMs)
	case m.FleetSize < 0 || m.FleetSize > maxFleetSize:
		return errors.Errorf("state message of %s has %d gateways", m.From, m.FleetSize)
	case m.FleetSizeMs < 0 || m.FleetSizeMs > maxFleetSizeTime.Milliseconds():
		return errors.Errorf("state message of %s has a number of gateways for %d ms", m.From, m.FleetSizeMs)
	}
	return m.checkContents()
}

// checkContents fails if one of the lists in the message is impossible.
func (m Message) checkContents() error {
	for _, check := range []func() error{m.checkWithdrawn, m.checkTokens, m.checkLoads, m.checkCrashRecords} {
		if err := check(); err != nil {
			return errors.Wrapf(err, "state message of %s", m.From)
		}
	}
	return nil
}

// checkTokens fails if a number of tokens of an account is impossible.
func (m Message) checkTokens() error {
	for _, tokens := range []map[string]float64{m.AdmittedTotals, m.AvailableTokens} {
		for account, n := range tokens {
			if math.Abs(n) > maxAccountTokens {
				return errors.Errorf("account %q has %g tokens", account, n)
			}
		}
	}
	return nil
}

// checkLoads fails if a number in a load is impossible. Sums of them would overflow.
func (m Message) checkLoads() error {
	for _, l := range m.Loads {
		if l.PrefillBacklogTokens < 0 || l.PrefillBacklogTokens > maxLoadCount {
			return errors.Errorf("endpoint %q has a backlog of %d tokens", l.Endpoint, l.PrefillBacklogTokens)
		}
		for _, r := range l.RunningRequests {
			if slices.Min(r[:]) < 0 || slices.Max(r[:]) > maxLoadCount {
				return errors.Errorf("endpoint %q has a request of %v", l.Endpoint, r)
			}
		}
	}
	for id, r := range m.EndpointRequests {
		if slices.Min(r[:]) < 0 || slices.Max(r[:]) > maxLoadCount {
			return errors.Errorf("endpoint %q reports %v", id, r)
		}
	}
	return nil
}

// checkWithdrawn fails if an announcement of withdrawn keys is too long.
func (m Message) checkWithdrawn() error {
	for _, a := range m.Withdrawn {
		if err := a.Check(); err != nil {
			return err
		}
	}
	return nil
}

// checkCrashRecords fails if the age or the duration of a crash, or of a run with a part of prompts, is impossible.
func (m Message) checkCrashRecords() error {
	for _, r := range m.CrashRecords {
		ages := []int64{r.AgeMs, r.DurationMs}
		for _, c := range r.Crashes {
			ages = append(ages, c.AgeMs, c.DurationMs)
		}
		if slices.Min(ages) < 0 || slices.Max(ages) > crashencoder.MaxAge.Milliseconds() {
			return errors.Errorf("crashes of ages and durations %d ms", ages)
		}
	}
	return m.Parts.Check()
}
