// Command capacity measures the slopes that docs/CAPACITY.md is worked out from, on real gateways in one process.
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

const startTimeout = 3 * time.Minute

// measurement is what one fleet used while it carried no requests.
type measurement struct {
	Gateways int `json:"gateways"`
	Accounts int `json:"accounts"`
	// SentBytesPerSecond and Messages are sent by one gateway in a second.
	SentBytesPerSecond    float64 `json:"bytes"`
	SentMessagesPerSecond float64 `json:"messages"`
	// Cores is the share of a core that one gateway uses.
	Cores float64 `json:"core"`
	// HeapBytes is the live memory of one gateway in bytes.
	HeapBytes float64 `json:"heap"`
	// PlatformRequestsPerSecond is how often one gateway called the platform in a second.
	PlatformRequestsPerSecond float64 `json:"calls"`
	// PropagationSeconds is how long a change of one account took to be in force everywhere, in seconds.
	PropagationSeconds float64 `json:"spread"`
	// ChangeBytes is what one gateway sends for a change of one account, in bytes above the idle traffic.
	ChangeBytes float64 `json:"change"`
	// ChangeCPUSeconds is the processor time of one gateway for it, in seconds above the idle work.
	ChangeCPUSeconds float64 `json:"work"`
}

// settleTime is how long the traffic of a change is counted after it is in force everywhere.
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

func parseNumbers(list string) []int {
	var out []int
	for _, word := range strings.Split(list, ",") {
		if n, err := strconv.Atoi(word); err == nil {
			out = append(out, n)
		}
	}
	return out
}

func measure(gateways, accounts int, duration time.Duration) (measurement, error) {
	baseHeapBytes := heapBytes()
	o := assembler.DefaultOptions()
	o.Gateways, o.PrefillEndpoints, o.DecodeEndpoints, o.PlainEndpoints = gateways, 1, 1, 1
	o.PollInterval = time.Second
	o.MaxListLag = time.Second
	o.MaxUnnoticedPause = 5 * time.Second
	o.Accounts = nil
	for i := range accounts {
		name := "account-" + strconv.Itoa(i)
		o.Accounts = append(o.Accounts, assembler.Account{Name: name, Key: "key-" + name, TokensPerSecond: 1000, BurstTokens: 20000, Weight: 1})
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
	bytesBefore, messagesBefore, requestsBefore, cpuBefore := fleet.SentTraffic.Bytes.Load(), fleet.SentTraffic.Messages.Load(), f.Platform.RequestCount(), cpuTime()
	time.Sleep(duration)
	gatewaySeconds := float64(gateways) * duration.Seconds()
	m.SentBytesPerSecond = float64(fleet.SentTraffic.Bytes.Load()-bytesBefore) / gatewaySeconds
	m.SentMessagesPerSecond = float64(fleet.SentTraffic.Messages.Load()-messagesBefore) / gatewaySeconds
	m.PlatformRequestsPerSecond = float64(f.Platform.RequestCount()-requestsBefore) / gatewaySeconds
	m.Cores = (cpuTime() - cpuBefore).Seconds() / gatewaySeconds
	m.HeapBytes = (heapBytes() - baseHeapBytes) / float64(gateways)
	changeBytesBefore, changedAt, changeCPUBefore := float64(fleet.SentTraffic.Bytes.Load()), time.Now(), cpuTime()
	m.PropagationSeconds, err = measurePropagation(ctx, f, o.Accounts)
	time.Sleep(settleTime)
	elapsed := time.Since(changedAt).Seconds()
	m.ChangeBytes = (float64(fleet.SentTraffic.Bytes.Load())-changeBytesBefore)/float64(gateways) - m.SentBytesPerSecond*elapsed
	m.ChangeCPUSeconds = (cpuTime()-changeCPUBefore).Seconds()/float64(gateways) - m.Cores*elapsed
	return m, err
}

// measurePropagation changes one account and waits until the change is in force everywhere.
func measurePropagation(ctx context.Context, f *assembler.Fleet, accounts []assembler.Account) (float64, error) {
	accounts[0].TokensPerSecond++
	publishedAt := time.Now()
	f.PublishPlans(2, accounts)
	for _, g := range f.Gateways {
		for g.PlansVersion() != 2 {
			if ctx.Err() != nil {
				return 0, errors.Wrap(ctx.Err(), "change is not in force everywhere")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(publishedAt).Seconds(), nil
}

// heapBytes returns the live memory of the process in bytes.
func heapBytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// cpuTime returns the processor time that the process used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
