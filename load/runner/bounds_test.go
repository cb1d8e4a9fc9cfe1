package runner

import (
	_ "embed"
	"math"
	"os"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/ci/skipper"
	"github.com/pistachiovane/pistachiovane/pkg/inifile"
)

//go:embed bounds.ini
var boundsText []byte

const seed = 1

// bound is one section of bounds.ini: a metric of a simulated run and the range in which it must be.
type bound struct {
	name            string
	options         Options
	metric          string
	minValue        float64
	maxValue        float64
	disablingPolicy string
}

// readBounds returns the sections of bounds.ini. It fails the test on an unknown fleet and on a section without the
// key target, which states the target behind the bound.
func readBounds(t *testing.T) []bound {
	t.Helper()
	file := inifile.New("bounds.ini", boundsText)
	var out []bound
	for _, s := range file.Sections() {
		fleet, ok := FleetByName(s.Required("fleet"))
		if !ok {
			t.Fatalf("bounds.ini: section %q names an unknown fleet", s.Name)
		}
		s.Required("target")
		out = append(out, bound{
			name: s.Name, metric: s.Required("measure"), disablingPolicy: s.String("off", ""),
			minValue: s.Number("least", math.Inf(-1), 0, 10), maxValue: s.Number("most", math.Inf(1), 0, 10),
			options: Options{
				Fleet: fleet, Policy: "probe", Seed: seed, Duration: 300 * time.Second, Load: s.Number("load", 0.9, 0.1, 10),
				FaultSchedule: s.String("faults", "none"), CancelRatio: s.Number("cancels", 0, 0, 1),
				NoisyAccountFactor: s.Number("hog", 1, 1, 100), PinAccounts: s.Bool("skew", false),
			},
		})
	}
	if f := file.Findings(); len(f) > 0 {
		t.Fatal(f)
	}
	return out
}

// measureMetric runs the simulation of a bound under a policy and returns the bound's metric. Violations fail the
// test.
func measureMetric(t *testing.T, b bound, policy string) float64 {
	t.Helper()
	b.options.Policy = policy
	r, err := New(b.options)
	if err != nil {
		t.Fatal(err)
	}
	result := r.Run()
	if result.Violations > 0 {
		t.Errorf("bound %s with policy %s: got violations %v, want none", b.name, policy, result.ViolationDetails)
	}
	switch b.metric {
	case "goodput":
		return result.Goodput
	case "capacity":
		return result.Goodput * result.OfferedLoad
	case "wasted":
		return result.WastedPrefill
	case "worst":
		return result.WorstAccount
	case "wrongful":
		return result.WrongfulRefusals
	default:
		t.Fatalf("unknown measure %q in bounds.ini", b.metric)
		return 0
	}
}

// isMet returns whether a value of the metric is within the bound.
func (b bound) isMet(v float64) bool {
	return v >= b.minValue && v <= b.maxValue
}

// TestBounds guards against changes that lower the quality of service. It simulates a run for every bound of
// bounds.ini and compares the metric with the bound. A bound that names a policy which switches a mechanism off
// must fail under that policy; otherwise it could not detect the loss of the mechanism. A missed bound that
// KNOWN-RED.txt lists is printed and skipped.
func TestBounds(t *testing.T) {
	knownRed := skipper.New(t, "../../KNOWN-RED.txt")
	for _, b := range readBounds(t) {
		t.Run(b.name, func(t *testing.T) {
			t.Parallel()
			v := measureMetric(t, b, "probe")
			if !b.isMet(v) {
				if knownRed.Lists(t) {
					t.Skipf("known red: got %s %.4f, want it within [%v, %v]", b.metric, v, b.minValue, b.maxValue)
				}
				t.Errorf("got %s %.4f, want it within [%v, %v]", b.metric, v, b.minValue, b.maxValue)
			}
			if b.disablingPolicy == "" {
				return
			}
			if disabledValue := measureMetric(t, b, b.disablingPolicy); b.isMet(disabledValue) {
				t.Errorf("policy %s: got %s %.4f within the bound, want it outside", b.disablingPolicy, b.metric, disabledValue)
			}
		})
	}
}

// TestSameSeedSameResult guards against a simulation that depends on anything but its options, such as the
// iteration order of a map or the wall clock: two runs with equal options must give equal results.
func TestSameSeedSameResult(t *testing.T) {
	fleet, _ := FleetByName("kalvo")
	var results [2]Result
	for i := range results {
		r, err := New(Options{
			Fleet: fleet, Policy: "probe", Seed: 3, Load: 1.1, Duration: 30 * time.Second,
			FaultSchedule: "storm", CancelRatio: 0.1,
		})
		if err != nil {
			t.Fatal(err)
		}
		results[i] = r.Run()
	}
	if results[0].Goodput != results[1].Goodput || results[0].WastedPrefill != results[1].WastedPrefill ||
		results[0].TTFT != results[1].TTFT {
		t.Errorf("got different results with equal options: %+v and %+v", results[0], results[1])
	}
}

// TestFaultSchedulesCauseNoViolations guards against decisions that break an invariant under faults: tokens out of
// order, requests that are lost or end twice, wrong refusals, leaked memory, exceeded limits. It simulates schedules
// of crashes, cancellations and load that differ with the seed. FAULT_SCHEDULES=all runs 1000 schedules instead of
// 200.
func TestFaultSchedulesCauseNoViolations(t *testing.T) {
	runs := 200
	if os.Getenv("FAULT_SCHEDULES") == "all" {
		runs = 1000
	}
	for i := range runs {
		name := []string{"clay", "kalvo"}[i%2]
		fleet, _ := FleetByName(name)
		o := Options{
			Fleet: fleet, Policy: "probe", Seed: uint64(i), Load: 0.5 + float64(i%5)*0.3, Duration: 12 * time.Second,
			FaultSchedule: []string{"storm", "daily"}[i/2%2], CancelRatio: float64(i%4) * 0.1,
			NoisyAccountFactor: float64(1 + i%3), PinAccounts: i%7 == 0,
		}
		r, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		if result := r.Run(); result.Violations > 0 {
			t.Fatalf("seed %d, fleet %s: got violations %v, want none", i, name, result.ViolationDetails)
		}
	}
}
