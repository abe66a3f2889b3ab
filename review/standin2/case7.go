package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	hugeTargets  = 4
	hugeClients  = 250              // bad ones, each with one request at a time
	hugeFor      = 12 * time.Second // how long they send
	hugeQuiet    = 2 * time.Second  // before they begin
	hugeRequests = 700
	hugeInterval = 25 * time.Millisecond // between two requests of the usual clients
)

// playHugeBodies plays bad clients that send bodies of 60 MB at full speed, beside usual clients. It checks that each request
// of the usual clients gets its final answer by half a second after its time.
func playHugeBodies(b *bench) ([]string, error) {
	var entries []entry
	for shard := range hugeTargets {
		addr, err := b.startTarget(b.serveAfter(20*time.Millisecond, 200))
		if err != nil {
			return nil, err
		}
		entries = append(entries, entryOf(fmt.Sprintf("s-%d", shard), addr, shard))
	}
	classes := storeClasses()
	d, err := b.deploy(entries, 3, hugeTargets, classes)
	if err != nil {
		return nil, err
	}
	flooded := make(chan error, 1)
	if b.trouble {
		time.AfterFunc(hugeQuiet, func() { flooded <- b.startFlood(floodHuge, d.in.addr, hugeClients, hugeFor) })
	} else {
		flooded <- nil
	}
	l := &load{b: b, client: d.client}
	for n := range hugeRequests {
		l.send(read(n, classes[0], n%hugeTargets), checkOverdue)
		time.Sleep(hugeInterval)
	}
	breaks, err := l.wait()
	return breaks, errors.Join(err, <-flooded)
}
