//go:build review3

// Command standins3 plays the cases of the third review. It starts the nodes
// as separate processes and is itself the platform, the servers and the clients.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scenarios by name.
var cases = map[string]func(*fleet) error{}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/teaselpin", "program of the nodes")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "play the disruption")
	nodeLogs := flag.String("logs", "", "folder for the output of the nodes, or empty")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", *name)
		os.Exit(exitNotRun)
	}
	f, err := newFleet(*program, *record, *trouble, *nodeLogs)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		f.close()
		os.Exit(exitNotRun)
	}()
	err = play(f)
	f.close()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(exitNotRun)
	case len(f.broken) > 0:
		for _, line := range f.broken {
			fmt.Println("BROKEN:", line)
		}
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}
