package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	memoryTargets  = 3200
	memoryPerAddr  = 16  // so many targets share an address of this stand-in
	memoryMB       = 32  // limit of the initiator
	memoryClients  = 500 // bad ones, each with one request at a time
	memoryFor      = 8 * time.Second
	memoryQuiet    = 2 * time.Second // before they begin
	memoryRequests = 300
	memoryInterval = 40 * time.Millisecond // between two requests of the usual clients
	memoryCheck    = 5 * time.Millisecond  // between two looks at the initiator's memory
)

// playLongBodiesInFleet plays a fleet of 3,200 targets and bad clients that send hundreds of writes at once. As the platform
// does, it kills the initiator when that takes more memory than it may. It checks that this does not happen.
func playLongBodiesInFleet(b *bench) ([]string, error) {
	var addrs []string
	for range memoryTargets / memoryPerAddr {
		addr, err := b.startTarget(b.serveAfter(300*time.Millisecond, 200))
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	var entries []entry
	for shard := range memoryTargets {
		entries = append(entries, entryOf(fmt.Sprintf("s-%08x", shard), addrs[shard%len(addrs)], shard))
	}
	classes := storeClasses()
	d, err := b.deployWithMemory(entries, 300, memoryTargets, classes, memoryMB)
	if err != nil {
		return nil, err
	}
	var peak atomic.Int64
	go d.in.limitMemory(memoryMB<<10, &peak)
	flooded := make(chan error, 1)
	if b.trouble {
		time.AfterFunc(memoryQuiet, func() {
			b.note("the initiator took at most %d KiB before the bad clients", peak.Load())
			flooded <- b.startFlood(floodLong, d.in.addr, memoryClients, memoryFor)
		})
	} else {
		flooded <- nil
	}
	l := &load{b: b, client: d.client}
	for n := range memoryRequests {
		if d.in.hasExited() {
			break
		}
		l.send(read(n, classes[0], memoryTargets-1-n%memoryPerAddr), func(request, outcome) string { return "" })
		time.Sleep(memoryInterval)
	}
	_, err = l.wait()
	b.note("the initiator took at most %d KiB; its limit is %d KiB", peak.Load(), memoryMB<<10)
	var breaks []string
	if peak.Load() > memoryMB<<10 {
		breaks = append(breaks, fmt.Sprintf("the initiator was killed for memory: %d KiB of %d KiB", peak.Load(), memoryMB<<10))
	}
	return breaks, errors.Join(err, <-flooded)
}

// limitMemory kills the initiator when it takes more memory than the limit, and records the most that it took. Memory that a
// file backs does not count.
func (in *initiator) limitMemory(limitKiB int64, peak *atomic.Int64) {
	for ; !in.hasExited(); time.Sleep(memoryCheck) {
		used := in.anonymousKiB()
		peak.Store(max(peak.Load(), used))
		if used > limitKiB {
			in.b.note("the initiator takes %d KiB", used)
			in.signal(syscall.SIGKILL)
			return
		}
	}
}

// anonymousKiB returns the memory of the initiator that no file backs.
func (in *initiator) anonymousKiB() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kib int64
		if n, _ := fmt.Sscanf(line, "RssAnon: %d kB", &kib); n == 1 {
			return kib
		}
	}
	return 0
}
