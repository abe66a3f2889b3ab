package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestDrainingTargetGetsNoAttempt has a target drain while a request is queued for its shard. The
// draining target must get no attempt, and its successor must get the request.
func TestDrainingTargetGetsNoAttempt(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget("old", 0))
	h.step(EndpointList{Targets: []Target{{ID: "old", State: Draining}}}, testRequest("a", "v", 1))
	h.advance(50 * ms)
	if len(h.sends) != 0 {
		t.Fatalf("sends %v to a draining target, want none", h.sends)
	}
	h.step(EndpointList{Targets: []Target{servingTarget("new", 0)}})
	if len(h.sends) != 1 || h.sends[0].Target != "new" {
		t.Fatalf("sends %v, want one to the successor", h.sends)
	}
}

// TestEndpointListCostsByItsEntries guards against a change of the endpoint list that costs more than in proportion
// to the number of targets, so that a large fleet's changes take all of the processor.
func TestEndpointListCostsByItsEntries(t *testing.T) {
	const few, many, changes, maxFactorOverLinear = 200, 3200, 100, 4
	timeFor := func(targets int) time.Duration {
		var entries []Target
		for shard := range targets {
			entries = append(entries, servingTarget(fmt.Sprint("n", shard), shard))
		}
		h := newHarness(t, testSettings(), entries...)
		fastest := time.Duration(math.MaxInt64)
		for range 5 {
			startedAt := time.Now()
			for i := range changes {
				h.step(EndpointList{Targets: entries[i : i+1]})
			}
			fastest = min(fastest, time.Since(startedAt))
		}
		return fastest
	}
	withFew, withMany := timeFor(few), timeFor(many)
	if withMany > withFew*many/few*maxFactorOverLinear {
		t.Errorf("%d changes took %v with %d targets and %v with %d", changes, withFew, few, withMany, many)
	}
}

// TestReplacedTargetOfShardServes moves a target to another shard, drains it and removes it. The queues of both
// shards must follow.
func TestReplacedTargetOfShardServes(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget("a", 0), servingTarget("b", 1))
	expect := func(step string, shard int, want string) {
		t.Helper()
		got := ""
		if serving := h.scheduler.queuesByShard[shard].target; serving != nil {
			got = serving.ID
		}
		if got != want {
			t.Errorf("%s: shard %d is served by %q, want %q", step, shard, got, want)
		}
	}
	h.step(EndpointList{Targets: []Target{servingTarget("a", 1)}})
	expect("moved", 0, "")
	expect("moved", 1, "a") // listed first
	started := servingTarget("b", 1)
	started.StartedAt = h.now
	h.step(EndpointList{Targets: []Target{started}})
	expect("restarted", 1, "b")
	started.State = Draining
	h.step(EndpointList{Targets: []Target{started}})
	expect("draining", 1, "a")
	h.step(EndpointList{Targets: []Target{{ID: "a", State: Removed}}})
	expect("removed", 1, "")
	h.step(EndpointList{Complete: true, Targets: []Target{servingTarget("c", 0)}})
	expect("complete list", 0, "c")
}

// TestEndpointWatcherBacksOff has five consecutive requests for the endpoint list fail, and then one
// succeed. The time to the next request must double with each failure, up to 8 s, and begin at 1 s again
// after the success.
func TestEndpointWatcherBacksOff(t *testing.T) {
	watcher := newEndpointWatcher(true)
	now := time.Minute
	if !watcher.startIfDue(now) || watcher.startIfDue(now) {
		t.Fatal("want one request at the start")
	}
	for i, backoff := range []time.Duration{
		time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second,
	} {
		watcher.recordFailure(now)
		if watcher.startIfDue(now + backoff - 1) {
			t.Errorf("request %d is due before %v", i, backoff)
		}
		now += backoff
		if !watcher.startIfDue(now) {
			t.Errorf("request %d is not due after %v", i, backoff)
		}
	}
	watcher.recordSuccess()
	watcher.recordFailure(now)
	if got := watcher.nextRequestAt - now; got != time.Second {
		t.Errorf("next request in %v after a success and a failure, want 1s", got)
	}
}

// TestEndpointWatcherDisabled checks that no request is sent if the caller watches the endpoint list on
// its own.
func TestEndpointWatcherDisabled(t *testing.T) {
	watcher := newEndpointWatcher(false)
	watcher.recordFailure(time.Second)
	if watcher.startIfDue(time.Hour) {
		t.Error("a request is due, want none")
	}
}

// TestLatestStartServesShard lists two serving targets of one shard, as happens while a shard moves to
// another target. The one that started last must get the requests.
func TestLatestStartServesShard(t *testing.T) {
	older := Target{ID: "older", StartedAt: 100 * ms}
	newer := Target{ID: "newer", StartedAt: 200 * ms}
	for _, targets := range [][]Target{{older, newer}, {newer, older}} {
		h := newHarness(t, testSettings(), targets...)
		h.step(testRequest("a", "v", 1))
		if len(h.sends) != 1 || h.sends[0].Target != "newer" {
			t.Errorf("endpoint list %v: sends %v, want one to the newer target", targets, h.sends)
		}
	}
}
