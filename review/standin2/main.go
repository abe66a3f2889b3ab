// Command standin2 plays the clients, targets and discovery of the cases 6 to 10 of the review. It starts the initiators with
// the command of the deploy file, writes what was sent, answered and run to a record, and checks one rule.
//
// Its exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxDuration ends a case that does not end by itself.
const maxDuration = 110 * time.Second

// cases holds the function that plays each case. It returns the breaks of the rule.
var cases = map[string]func(*bench) ([]string, error){
	"6":  playLateCopies,
	"7":  playHugeBodies,
	"8":  playSpoiltLengths,
	"9":  playReplacedFleet,
	"10": playLongBodiesInFleet,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == floodCommand {
		os.Exit(runFlood(os.Args[2:]))
	}
	os.Exit(run())
}

func run() int {
	name := flag.String("case", "", "number of the case")
	root := flag.String("root", ".", "root of the repository")
	recordPath := flag.String("record", "record.txt", "file for the record")
	flag.Parse()
	play := cases[*name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "no case %q\n", *name)
		return exitFailed
	}
	b, err := newBench(*root, *recordPath, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	go func() {
		interrupts := make(chan os.Signal, 1)
		signal.Notify(interrupts, os.Interrupt, syscall.SIGTERM)
		select {
		case <-interrupts:
		case <-time.After(maxDuration):
		}
		b.note("the case was ended before its end")
		b.close()
		os.Exit(exitFailed)
	}()
	breaks, err := play(b)
	status := exitHeld
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		status = exitFailed
	case len(breaks) > 0:
		sort.Strings(breaks)
		for _, text := range breaks {
			b.note("BROKEN %s", text)
		}
		b.note("the rule was broken %d times", len(breaks))
		status = exitBroken
	default:
		b.note("the rule held")
	}
	b.close()
	return status
}
