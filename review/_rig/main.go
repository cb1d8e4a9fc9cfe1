// Command rig plays the cases of the review: it starts gateways as processes on loopback addresses, with stand-ins of the
// platform's store, the replicas and the clients. The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// maxTime is the longest time of a case.
const maxTime = 115 * time.Second

// verdict is what a case has shown.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by name. A case writes record.txt into its folder.
var cases = map[string]func(folder string) (verdict, error){}

func main() {
	// Gateways end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxTime):
		}
		// The gateways get SIGKILL with this process.
		os.Exit(2)
	}()
	v, err := play(os.Args[2])
	switch {
	case err != nil:
		fmt.Println("not run:", err)
		os.Exit(2)
	case v.broken:
		fmt.Println("broken:", v.text)
		os.Exit(1)
	default:
		fmt.Println("held:", v.text)
	}
}
