package main

import (
	"fmt"
	"time"
)

const (
	fleetTargets  = 3200
	fleetPerAddr  = 16 // so many targets share an address of this stand-in
	fleetReplaced = fleetTargets * 6 / 10
	fleetReplace  = 7 * time.Second // in which they are replaced
	fleetQuiet    = 2 * time.Second // before that
	fleetDrain    = 200             // a target is gone when so many others have been replaced after it
	fleetShards   = 16              // the shards that the clients read; their targets stay
	fleetRequests = 600
	fleetInterval = 25 * time.Millisecond // between two requests
)

// playReplacedFleet plays a fleet of 3,200 targets of which six in ten are replaced within 7 s, and clients that read from
// others. It checks that each request gets its final answer by half a second after its time.
func playReplacedFleet(b *bench) ([]string, error) {
	var addrs []string
	for range fleetTargets / fleetPerAddr {
		addr, err := b.startTarget(b.serveAfter(20*time.Millisecond, 200))
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	var entries []entry
	for shard := range fleetTargets {
		entries = append(entries, entryOf(fmt.Sprintf("s-%08x", shard), addrs[shard%len(addrs)], shard))
	}
	classes := storeClasses()
	d, err := b.deploy(entries, 300, fleetTargets, classes)
	if err != nil {
		return nil, err
	}
	if b.trouble {
		time.AfterFunc(fleetQuiet, func() { b.replace(d.agent, entries, addrs) })
	}
	l := &load{b: b, client: d.client}
	for n := range fleetRequests {
		l.send(read(n, classes[0], fleetTargets-1-n%fleetShards), checkOverdue)
		time.Sleep(fleetInterval)
	}
	return l.wait()
}

// replace replaces six in ten targets, one after the other: a new one serves the shard, the old one drains, and later it is
// gone. The list has a new version each time.
func (b *bench) replace(agent *discovery, entries []entry, addrs []string) {
	begun := time.Now()
	b.note("discovery: begins to tell of replaced targets")
	for i := range fleetReplaced {
		time.Sleep(time.Until(begun.Add(fleetReplace * time.Duration(i) / fleetReplaced)))
		old := entries[i]
		old.State = draining
		next := entryOf(fmt.Sprintf("t-%08x", i), addrs[(i+1)%len(addrs)], i)
		next.StartedMs = time.Now().UnixMilli()
		agent.change(next)
		agent.change(old)
		if i >= fleetDrain {
			gone := entries[i-fleetDrain]
			gone.State = deleted
			agent.change(gone)
		}
	}
	b.note("discovery: has told of %d replaced targets", fleetReplaced)
}
