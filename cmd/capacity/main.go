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

// point is what one fleet used while it carried no requests.
type point struct {
	Gateways int `json:"gateways"`
	Accounts int `json:"accounts"`
	// Bytes and Messages are sent by one gateway in a second.
	Bytes    float64 `json:"bytes"`
	Messages float64 `json:"messages"`
	// Core is the share of a core that one gateway uses.
	Core float64 `json:"core"`
	// Heap is the live memory of one gateway in bytes.
	Heap float64 `json:"heap"`
	// Calls is how often one gateway called the platform in a second.
	Calls float64 `json:"calls"`
	// Spread is how long a change of one account took to be in force everywhere, in seconds.
	Spread float64 `json:"spread"`
	// Change is what one gateway sends for a change of one account, in bytes above the idle traffic.
	Change float64 `json:"change"`
	// Work is the processor time of one gateway for it, in seconds above the idle work.
	Work float64 `json:"work"`
}

// settle is how long the traffic of a change is counted after it is in force everywhere.
const settle = 2 * time.Second

func main() {
	gateways := flag.String("gateways", "4,16,64,128", "numbers of gateways")
	accounts := flag.String("accounts", "1000", "numbers of client accounts")
	idle := flag.Duration("for", 10*time.Second, "how long each fleet is measured")
	flag.Parse()
	for _, a := range numbers(*accounts) {
		for _, g := range numbers(*gateways) {
			p, err := measure(g, a, *idle)
			if err != nil {
				_, _ = fmt.Fprintln(os.Stderr, err)
				os.Exit(1)
			}
			line, _ := json.Marshal(p)
			_, _ = fmt.Println(string(line))
		}
	}
}

func numbers(list string) []int {
	var out []int
	for _, word := range strings.Split(list, ",") {
		if n, err := strconv.Atoi(word); err == nil {
			out = append(out, n)
		}
	}
	return out
}

func measure(gateways, accounts int, idle time.Duration) (point, error) {
	empty := heap()
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
		return point{}, errors.Wrap(err, "start fleet")
	}
	defer f.Close()
	time.Sleep(2 * time.Second)
	p := point{Gateways: gateways, Accounts: accounts}
	bytes, messages, calls, used := fleet.SentTraffic.Bytes.Load(), fleet.SentTraffic.Messages.Load(), f.Platform.RequestCount(), processor()
	time.Sleep(idle)
	per := float64(gateways) * idle.Seconds()
	p.Bytes = float64(fleet.SentTraffic.Bytes.Load()-bytes) / per
	p.Messages = float64(fleet.SentTraffic.Messages.Load()-messages) / per
	p.Calls = float64(f.Platform.RequestCount()-calls) / per
	p.Core = (processor() - used).Seconds() / per
	p.Heap = (heap() - empty) / float64(gateways)
	before, start, cpu := float64(fleet.SentTraffic.Bytes.Load()), time.Now(), processor()
	p.Spread, err = spread(ctx, f, o.Accounts)
	time.Sleep(settle)
	elapsed := time.Since(start).Seconds()
	p.Change = (float64(fleet.SentTraffic.Bytes.Load())-before)/float64(gateways) - p.Bytes*elapsed
	p.Work = (processor()-cpu).Seconds()/float64(gateways) - p.Core*elapsed
	return p, err
}

// spread changes one account and waits until the change is in force everywhere.
func spread(ctx context.Context, f *assembler.Fleet, accounts []assembler.Account) (float64, error) {
	accounts[0].TokensPerSecond++
	start := time.Now()
	f.PublishPlans(2, accounts)
	for _, g := range f.Gateways {
		for g.PlansVersion() != 2 {
			if ctx.Err() != nil {
				return 0, errors.Wrap(ctx.Err(), "change is not in force everywhere")
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(start).Seconds(), nil
}

// heap returns the live memory of the process in bytes.
func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// processor returns the processor time that the process used.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
