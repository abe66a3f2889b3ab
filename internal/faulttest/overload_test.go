package faulttest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

var (
	overloadKind    = flag.String("overload-kind", "", "kind of bad clients that TestOverload runs instead of its own cases; \"all\": each kind")
	overloadClients = flag.Int("overload-clients", 250, "number of bad clients, with -overload-kind")
	overloadMemory  = flag.Int("overload-memory", 32, "memory limit in MiB, with -overload-kind")
	overloadSockets = flag.Int("overload-sockets", 1024, "limit on descriptors, with -overload-kind")
	overloadFor     = flag.Duration("overload-for", 5*time.Second, "how long the bad clients of TestOverload send")
)

const (
	// overloadQuiet is how long the usual clients are alone, before and after the bad clients.
	overloadQuiet = 500 * time.Millisecond
	// overloadInterval is the time between two requests of the usual clients.
	overloadInterval = 25 * time.Millisecond
	// newConnEvery is which of the usual requests come on new connections.
	newConnEvery = 4
)

// overloadTimeouts are the timeouts of the usual requests, in turn.
var overloadTimeouts = []time.Duration{300 * time.Millisecond, 720 * time.Millisecond, 1200 * time.Millisecond}

// overload is a number of bad clients of one kind, and the limits of the initiator that they meet.
type overload struct {
	kind      string
	clients   int
	memoryMiB int
	sockets   int
	// minServedPercent is how many of the usual requests must be served, in percent; 0: no bound but the rules.
	minServedPercent int
}

// defaultOverloadCases are the cases without flags.
var defaultOverloadCases = []overload{
	{kind: "huge bodies", clients: 250, memoryMiB: 192, sockets: 1024},
	{kind: "huge bodies", clients: 800, memoryMiB: 32, sockets: 1024},
	{kind: "pipelined readiness", clients: 250, memoryMiB: 32, sockets: 1024},
	{kind: "many fields", clients: 250, memoryMiB: 32, sockets: 1024},
	{kind: "many fields, half", clients: 500, memoryMiB: 32, sockets: 1024},
	{kind: "malformed, reconnecting", clients: 500, memoryMiB: 32, sockets: 1024},
	{kind: "half requests and close", clients: 250, memoryMiB: 32, sockets: 1024},
	{kind: "half requests and close", clients: 6, memoryMiB: 32, sockets: 1024},
	{kind: "half requests and close", clients: 1, memoryMiB: 32, sockets: 1024, minServedPercent: 90},
}

// TestOverload guards against bad clients that take the processor, so that usual clients get their responses late or never, or
// the memory, so that the initiator is killed.
func TestOverload(t *testing.T) {
	for _, o := range overloadCases() {
		t.Run(fmt.Sprintf("%d clients with %s, %d MiB, %d descriptors", o.clients, o.kind, o.memoryMiB, o.sockets), o.run)
	}
}

// overloadCases returns the cases of TestOverload, or those that the flags name.
func overloadCases() (cases []overload) {
	if *overloadKind == "" {
		return defaultOverloadCases
	}
	for kind := range badClientKinds {
		if *overloadKind == "all" || *overloadKind == kind {
			cases = append(cases, overload{kind: kind, clients: *overloadClients, memoryMiB: *overloadMemory, sockets: *overloadSockets})
		}
	}
	slices.SortFunc(cases, func(a, b overload) int { return len(a.kind) - len(b.kind) })
	return cases
}

func (o overload) run(t *testing.T) {
	config := Config{Classes: []Class{readClass, longDeadlineClass}, Cores: 1, Sockets: o.sockets, MemoryMiB: o.memoryMiB,
		LogLevel: "info"}
	f := newFixtureWithConfig(t, config, func(*rand.Rand) Behaviour { return Behaviour{Delay: floodTargetDelay} }, nil)
	done := make(chan struct{})
	var running sync.WaitGroup
	running.Go(func() { f.sendUsualTraffic(done) })
	time.Sleep(overloadQuiet)
	wait := badClients{Kind: o.kind, Clients: o.clients, Addr: f.client.Addr, Duration: *overloadFor}.start(t)
	peakKiB := f.watchMemory(o.memoryMiB<<10, *overloadFor+overloadQuiet)
	close(done)
	running.Wait()
	requests, served, lateness := f.usualTraffic()
	t.Logf("most memory %d of %d KiB; %d usual requests, %d served, the latest response %v after the client's timeout; %s",
		peakKiB, o.memoryMiB<<10, requests, served, lateness, wait())
	f.checkMemory(t, peakKiB, o.memoryMiB<<10)
	if served*100 < requests*o.minServedPercent {
		t.Errorf("%d of %d usual requests were served, want at least %d%%", served, requests, o.minServedPercent)
	}
	f.check(t)
}

// sendUsualTraffic sends requests of usual clients, on kept and on new connections, until done is closed, and waits for their
// responses.
func (f *fixture) sendUsualTraffic(done <-chan struct{}) {
	sendEvery(overloadInterval, done, func(i int) {
		client := f.client
		if i%newConnEvery == 0 {
			client = NewClient(f.client.Addr, f.history)
			defer client.Close()
		}
		client.Do(Request{ID: fmt.Sprintf("usual-%d", i), Class: readClass, Timeout: overloadTimeouts[i%len(overloadTimeouts)]})
	})
}

// usualTraffic returns the number of usual requests that were sent, how many of them were served, and how long after its
// client's timeout the latest response came; that is negative if all came in time.
func (f *fixture) usualTraffic() (requests, served int, lateness time.Duration) {
	f.history.mu.Lock()
	defer f.history.mu.Unlock()
	lateness = -time.Hour
	for _, r := range f.history.records {
		if r.sentAt.IsZero() || len(r.outcomes) == 0 {
			continue
		}
		requests++
		last := r.outcomes[len(r.outcomes)-1]
		if last.Status == 200 {
			served++
		}
		lateness = max(lateness, last.Elapsed-r.timeout)
	}
	return requests, served, lateness
}
