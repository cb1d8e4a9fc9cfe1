// Package crashencoder converts what package attributor tells the peers of a gateway to and from its wire form, which is the
// same between the gateways of the users' platform and between those of the product's own interface.
package crashencoder

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
)

const (
	// bytesPerPart is the length of a part in a message.
	bytesPerPart = 8
	// perMille is the number of runs of which a share counts those with a part.
	perMille = 1000
	// MaxAge is the largest age or duration that a message may report.
	MaxAge = 100 * 24 * time.Hour
)

// Reports is the wire form of attributor.Reports.
type Reports struct {
	BrokenRuns     []BrokenRun     `json:"broken,omitempty"`
	AcquittedParts []AcquittedPart `json:"served,omitempty"`
	PartShares     []PartShare     `json:"shares,omitempty"`
}

// BrokenRun is a run that broke when its endpoint crashed, with what it shares with others.
type BrokenRun struct {
	// ID tells it from all other runs. Request is a digest of the request; repetitions of a request have the same.
	ID       uint64 `json:"i"`
	Request  uint32 `json:"r,omitempty"`
	Endpoint string `json:"e"`
	// AgeMs is the time since the crash in ms, and DurationMs the time from the start of the run to the crash.
	AgeMs      int64 `json:"a"`
	DurationMs int64 `json:"d,omitempty"`
	// Parts holds the digests of the parts of the prompt that others may share, bytesPerPart each, little endian.
	Parts []byte `json:"p"`
}

// AcquittedPart is a part of prompts with which a run completed.
type AcquittedPart struct {
	// Part is the digest of the part.
	Part uint64 `json:"p"`
	// AgeMs is the time since the latest of these runs began, in ms.
	AgeMs int64 `json:"a"`
}

// PartShare is how many of the completed runs have a part of prompts. Older builds neither send nor read it.
type PartShare struct {
	// Part is the digest of the part.
	Part uint64 `json:"p"`
	// PerMille is the number of runs out of 1,000.
	PerMille int64 `json:"s"`
}

// Encode converts reports to their wire form. Times are rounded down to ms.
func Encode(r attributor.Reports) Reports {
	var out Reports
	for _, b := range r.Runs {
		w := BrokenRun{
			ID: b.ID, Request: b.Request, Endpoint: b.Endpoint, AgeMs: b.Age.Milliseconds(), DurationMs: b.Duration.Milliseconds(),
		}
		for _, f := range b.Features {
			w.Parts = binary.LittleEndian.AppendUint64(w.Parts, uint64(f))
		}
		out.BrokenRuns = append(out.BrokenRuns, w)
	}
	for _, a := range r.Acquittals {
		out.AcquittedParts = append(out.AcquittedParts, AcquittedPart{Part: uint64(a.Feature), AgeMs: a.Age.Milliseconds()})
	}
	for _, c := range r.Shares {
		out.PartShares = append(out.PartShares, PartShare{Part: uint64(c.Feature), PerMille: int64(math.Round(c.Ratio * perMille))})
	}
	return out
}

// Decode converts reports from their wire form. Those that fail their check are left out. messageAge is how long ago they were
// sent.
func (r Reports) Decode(messageAge time.Duration) attributor.Reports {
	var out attributor.Reports
	for _, w := range r.BrokenRuns {
		if w.check() != nil {
			continue
		}
		b := attributor.Run{
			ID: w.ID, Request: w.Request, Endpoint: w.Endpoint, Age: fromMillis(w.AgeMs) + messageAge, Duration: fromMillis(w.DurationMs),
		}
		for i := 0; i+bytesPerPart <= len(w.Parts); i += bytesPerPart {
			b.Features = append(b.Features, attributor.Feature(binary.LittleEndian.Uint64(w.Parts[i:])))
		}
		out.Runs = append(out.Runs, b)
	}
	for _, w := range r.AcquittedParts {
		if w.check() != nil {
			continue
		}
		out.Acquittals = append(out.Acquittals, attributor.Acquittal{
			Feature: attributor.Feature(w.Part), Age: fromMillis(w.AgeMs) + messageAge,
		})
	}
	for _, w := range r.PartShares {
		if w.check() != nil {
			continue
		}
		out.Shares = append(out.Shares, attributor.FeatureShare{Feature: attributor.Feature(w.Part), Ratio: float64(w.PerMille) / perMille})
	}
	return out
}

// Check fails if one of the reports fails its check.
func (r Reports) Check() error {
	for _, b := range r.BrokenRuns {
		if err := b.check(); err != nil {
			return err
		}
	}
	for _, p := range r.AcquittedParts {
		if err := p.check(); err != nil {
			return err
		}
	}
	for _, p := range r.PartShares {
		if err := p.check(); err != nil {
			return err
		}
	}
	return nil
}

// check fails if the age or the duration is impossible, or if the parts have a wrong length.
func (b BrokenRun) check() error {
	switch {
	case min(b.AgeMs, b.DurationMs) < 0 || max(b.AgeMs, b.DurationMs) > MaxAge.Milliseconds():
		return errors.Errorf("broken run of age %d ms and duration %d ms", b.AgeMs, b.DurationMs)
	case len(b.Parts)%bytesPerPart != 0:
		return errors.Errorf("broken run with %d bytes of parts", len(b.Parts))
	default:
		return nil
	}
}

// check fails if the age is impossible.
func (p AcquittedPart) check() error {
	if p.AgeMs < 0 || p.AgeMs > MaxAge.Milliseconds() {
		return errors.Errorf("served part of age %d ms", p.AgeMs)
	}
	return nil
}

// check fails if the share is impossible.
func (p PartShare) check() error {
	if p.PerMille < 0 || p.PerMille > perMille {
		return errors.Errorf("part with a share of %d in %d", p.PerMille, perMille)
	}
	return nil
}

// fromMillis converts ms to a duration.
func fromMillis(millis int64) time.Duration {
	return time.Duration(millis) * time.Millisecond
}
