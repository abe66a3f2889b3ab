package upstream

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// newRegistryWithIdleTimeout returns a registry with one target, whose idle connections are closed after the given time.
func newRegistryWithIdleTimeout(addr string, idleTimeout time.Duration) *testRegistry {
	r := &testRegistry{results: make(chan dispatcher.AttemptResult, 64)}
	r.Registry = NewRegistry(Options{
		Dialer:            NewHTTPDialer(0),
		DialTimeout:       testTimeout,
		IdleTimeout:       idleTimeout,
		MaxConnsPerTarget: testMaxConnsPerTarget,
		MaxConns:          testMaxConns,
		Logger:            slog.New(slog.DiscardHandler),
	}, func(result dispatcher.AttemptResult) { r.results <- result })
	r.Apply([]Endpoint{{ID: testTarget, Addr: addr}}, true)
	return r
}

// TestIdleTargetsTakeNoGoroutines guards against a goroutine for each target of a large fleet, whose stacks take the memory of
// requests.
func TestIdleTargetsTakeNoGoroutines(t *testing.T) {
	const targets, maxFurther = 3200, 50
	before := runtime.NumGoroutine()
	registry := newTestRegistry("127.0.0.1:1")
	var endpoints []Endpoint
	for i := range targets {
		endpoints = append(endpoints, Endpoint{ID: fmt.Sprint("t", i), Addr: "127.0.0.1:1"})
	}
	registry.Apply(endpoints, true)
	if further := runtime.NumGoroutine() - before; further > maxFurther {
		t.Errorf("%d targets without an attempt take %d goroutines, want at most %d", targets, further, maxFurther)
	}
}

// TestTargetServesAgainAfterItWasIdle has a target lose its idle connection, so that its goroutine ends, and get another
// attempt; many times, with the end of the one close to the start of the other. No attempt may be lost between the two.
func TestTargetServesAgainAfterItWasIdle(t *testing.T) {
	const attempts = 20
	server := newFakeTarget(t, respondOK)
	registry := newRegistryWithIdleTimeout(server.Addr().String(), minPruneInterval)
	for i := range attempts {
		registry.send(testTimeout)
		if result := registry.result(t); result.Status != scheduler.Succeeded {
			t.Fatalf("attempt %d: got status %v, want SUCCEEDED", i, result.Status)
		}
		if i%2 == 0 {
			awaitStopped(t, registry.targetActor())
		} else {
			time.Sleep(minPruneInterval + time.Duration(i)*time.Millisecond)
		}
	}
}

// TestRemovedTargetStops has a target with an idle connection, and one with none, leave the endpoint list. Their actors must stop.
func TestRemovedTargetStops(t *testing.T) {
	server := newFakeTarget(t, respondOK)
	registry := newTestRegistry(server.Addr().String())
	registry.send(testTimeout)
	registry.result(t)
	actor := registry.targetActor()
	registry.Apply([]Endpoint{{ID: "other", Addr: server.Addr().String()}}, false)
	registry.Apply(nil, true)
	registry.awaitRetired()
	awaitStopped(t, actor)
	if len(registry.targets) != 0 {
		t.Errorf("%d targets are left, want none", len(registry.targets))
	}
}

// awaitStopped waits until the actor's goroutine has ended.
func awaitStopped(t *testing.T, actor *target) {
	t.Helper()
	for giveUpAt := time.Now().Add(testTimeout); actor.isRunning(); time.Sleep(time.Millisecond) {
		if time.Now().After(giveUpAt) {
			t.Fatalf("the actor still runs after %v", testTimeout)
		}
	}
}
