//go:build review2

// Command standins2 plays the cases of the second review: it serves stand-ins of
// the platform's store, of servers and of clients, starts nodes as the deploy file
// does, and judges what clients and servers have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the longest time of a case.
const longest = 115 * time.Second

// The exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var cases = map[string]func(*play) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[2], cases[os.Args[1]]))
}

// run plays a case and writes to the file record what was sent, answered and run.
func run(record string, f func(*play) error) int {
	p, err := newPlay(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer p.close()
	ended := make(chan error, 1)
	go func() {
		defer func() {
			if value := recover(); value != nil {
				ended <- fmt.Errorf("panic: %v", value)
			}
		}()
		ended <- f(p)
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err = <-ended:
	case <-stop:
		err = errors.New("stopped by a signal")
	case <-time.After(longest):
		err = errors.New("it took too long")
	}
	if err != nil {
		p.logf("the case could not run: %v", err)
		return exitNotRun
	}
	p.mu.Lock()
	broken := p.broken
	p.mu.Unlock()
	if broken > 0 {
		p.logf("result: broken (%d findings)", broken)
		return exitBroken
	}
	p.logf("result: held")
	return exitHeld
}
