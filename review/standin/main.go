// Command standin holds the stand-ins of the review's cases: clients, targets, discovery and the platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// timeLimit is how long a case may take.
const timeLimit = 110 * time.Second

// cases are the cases by name. Each reports whether the rule was broken, or an error if it could not run.
var cases = map[string]func(rec *record, root string, trouble bool) (broken bool, err error){
	"repeat-window": runRepeatWindow,
	"late-copy":     runLateCopy,
	"refused-again": runRefusedAgain,
}

// main runs `standin target …`, or `standin CASE ROOT FOLDER`, which writes record.txt into the folder.
func main() {
	if len(os.Args) > 1 && os.Args[1] == "target" {
		fmt.Fprintln(os.Stderr, runTarget(os.Args[2:]))
		os.Exit(2)
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Args[3]))
}

// runCase returns the exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
func runCase(name, root, folder string) int {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("case %s, trouble: %v", name, trouble)
	defer killProcesses()
	go func() {
		interrupted := make(chan os.Signal, 1)
		signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		select {
		case <-interrupted:
		case <-time.After(timeLimit):
		}
		rec.printf("the case could not run: it was interrupted or took too long")
		killProcesses()
		os.Exit(2)
	}()
	broken, err := cases[name](rec, root, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		rec.printf("RULE BROKEN")
		return 1
	}
	rec.printf("the rule held")
	return 0
}
