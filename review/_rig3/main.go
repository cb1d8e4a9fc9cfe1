package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is the longest time that a case may take.
const maxTime = 110 * time.Second

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(b *bed) bool{}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	b := newBed(os.Args[2], os.Args[3])
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-stopped:
		case <-time.After(maxTime):
		}
		b.close()
		os.Exit(2)
	}()
	broken := run(b)
	b.say("rule broken: %v", broken)
	b.close()
	if broken {
		os.Exit(1)
	}
}
