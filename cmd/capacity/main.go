// Command capacity measures how the traffic, CPU time and memory of a gateway grow with the numbers of gateways and
// client accounts. docs/CAPACITY.md is derived from its output. It runs whole fleets of real gateways in one process
// and prints one line of JSON for each.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/standin/assembler"
)

// startTimeout is the time limit of one measurement, from the start of the fleet until the published change is active
// at all its gateways.
const startTimeout = 3 * time.Minute

// measurement is what one fleet used without any requests. A figure per gateway is the total of the process, with the
// agents and stand-ins in it, divided by the number of gateways.
type measurement struct {
	Gateways int `json:"gateways"`
	Accounts int `json:"accounts"`
	// SentBytesPerSecond and SentMessagesPerSecond are the idle traffic inside the fleet per gateway.
	SentBytesPerSecond    float64 `json:"bytes"`
	SentMessagesPerSecond float64 `json:"messages"`
	// Cores is the CPU use per gateway when idle, as a fraction of one core.
	Cores float64 `json:"core"`
	// MemoryBytes is the live memory per gateway, heap and stacks, above that of the process without a fleet.
	MemoryBytes float64 `json:"heap"`
	// PlatformRequestsPerSecond is the number of reads from the platform per gateway.
	PlatformRequestsPerSecond float64 `json:"calls"`
	// PropagationSeconds is the time from the publication of a change of one account until it is active at all gateways.
	PropagationSeconds float64 `json:"spread"`
	// ChangeBytes is the traffic per gateway that the change causes, above the idle traffic.
	ChangeBytes float64 `json:"change"`
	// ChangeCPUSeconds is the CPU time per gateway that the change takes, above the idle CPU time.
	ChangeCPUSeconds float64 `json:"work"`
}

// settleTime is how long the traffic and CPU time of a change are still counted after it is active at all gateways.
const settleTime = 2 * time.Second

func main() {
	gatewayCounts := flag.String("gateways", "4,16,64,128", "numbers of gateways")
	accountCounts := flag.String("accounts", "1000", "numbers of client accounts")
	duration := flag.Duration("for", 10*time.Second, "how long each fleet is measured")
	flag.Parse()
	for _, a := range parseNumbers(*accountCounts) {
		for _, g := range parseNumbers(*gatewayCounts) {
			m, err := measure(g, a, *duration)
			if err != nil {
				_, _ = fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			line, _ := json.Marshal(m)
			_, _ = fmt.Println(string(line))
		}
	}
}

// parseNumbers returns the numbers of a list separated by commas. It skips entries that are not numbers.
func parseNumbers(list string) []int {
	var out []int
	for _, word := range strings.Split(list, ",") {
		if n, err := strconv.Atoi(word); err == nil {
			out = append(out, n)
		}
	}
	return out
}

// measure starts a fleet, lets it run idle for the duration, publishes a change of one account and returns what it used
// in both phases. It fails when the fleet does not start or the change does not reach all gateways within startTimeout.
func measure(gateways, accounts int, duration time.Duration) (measurement, error) {
	baseMemoryBytes := usedMemoryBytes()
	o := assembler.DefaultOptions()
	o.Gateways, o.PrefillEndpoints, o.DecodeEndpoints, o.PlainEndpoints = gateways, 1, 1, 1
	o.PollInterval = time.Second
	o.MaxListLag = time.Second
	o.MaxUnnoticedPause = 5 * time.Second
	o.Accounts = nil
	for i := range accounts {
		name := "account-" + strconv.Itoa(i)
		o.Accounts = append(o.Accounts, assembler.Account{
			Name: name, Key: "key-" + name, TokensPerSecond: 1000, BurstTokens: 20000, Weight: 1,
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	f, err := assembler.New(ctx, o)
	if err != nil {
		return measurement{}, errors.Wrap(err, "start fleet")
	}
	defer f.Close()
	time.Sleep(2 * time.Second)
	m := measurement{Gateways: gateways, Accounts: accounts}
	bytesBefore, messagesBefore, requestsBefore, cpuBefore := fleet.SentTraffic.Bytes.Load(),
		fleet.SentTraffic.Messages.Load(), f.Platform.RequestCount(), cpuTime()
	time.Sleep(duration)
	gatewaySeconds := float64(gateways) * duration.Seconds()
	m.SentBytesPerSecond = float64(fleet.SentTraffic.Bytes.Load()-bytesBefore) / gatewaySeconds
	m.SentMessagesPerSecond = float64(fleet.SentTraffic.Messages.Load()-messagesBefore) / gatewaySeconds
	m.PlatformRequestsPerSecond = float64(f.Platform.RequestCount()-requestsBefore) / gatewaySeconds
	m.Cores = (cpuTime() - cpuBefore).Seconds() / gatewaySeconds
	m.MemoryBytes = (usedMemoryBytes() - baseMemoryBytes) / float64(gateways)
	changeBytesBefore, changedAt, changeCPUBefore := float64(fleet.SentTraffic.Bytes.Load()), time.Now(), cpuTime()
	m.PropagationSeconds, err = measurePropagation(ctx, f, o.Accounts)
	time.Sleep(settleTime)
	elapsed := time.Since(changedAt).Seconds()
	m.ChangeBytes = (float64(fleet.SentTraffic.Bytes.Load())-changeBytesBefore)/float64(gateways) -
		m.SentBytesPerSecond*elapsed
	m.ChangeCPUSeconds = (cpuTime()-changeCPUBefore).Seconds()/float64(gateways) - m.Cores*elapsed
	return m, err
}

// measurePropagation publishes a change of the limit of one account and returns the seconds until it is in the active
// configuration of all gateways. It fails when the context ends first.
func measurePropagation(ctx context.Context, f *assembler.Fleet, accounts []assembler.Account) (float64, error) {
	accounts[0].TokensPerSecond++
	publishedAt := time.Now()
	f.PublishPlans(2, accounts)
	for _, g := range f.Gateways {
		for g.PlansVersion() != 2 {
			if ctx.Err() != nil {
				return 0, errors.Wrap(ctx.Err(), "plans version 2 is not active at all gateways")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(publishedAt).Seconds(), nil
}

// usedMemoryBytes returns the live memory of the process, heap and stacks, after a garbage collection.
func usedMemoryBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// cpuTime returns the CPU time, user and system, that the process has used so far, or 0 when the system does not report
// it.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
