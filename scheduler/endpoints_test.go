package scheduler

import (
	"testing"
	"time"
)

// TestDrainingTargetGetsNoAttempt has a target drain while a request is queued for its shard. The draining
// target must get no attempt, and its successor gets the request.
func TestDrainingTargetGetsNoAttempt(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget("old", 0))
	h.step(EndpointList{Targets: []Target{{ID: "old", State: Draining}}}, testRequest("a", "v", 1))
	h.advance(50 * ms)
	if len(h.sends) != 0 {
		t.Fatalf("sent to a draining target: %v", h.sends)
	}
	h.step(EndpointList{Targets: []Target{servingTarget("new", 0)}})
	if len(h.sends) != 1 || h.sends[0].Target != "new" {
		t.Fatalf("sends %v, want one to the successor", h.sends)
	}
}

// TestEndpointPollerBacksOff fails five polls in a row, then has one succeed. The time to the next poll
// must double with each failure, up to 8 s, and begin at 1 s again.
func TestEndpointPollerBacksOff(t *testing.T) {
	poller := newEndpointPoller(true)
	now := time.Minute
	if !poller.takeDue(now) || poller.takeDue(now) {
		t.Fatal("want one poll at the start")
	}
	for i, backoff := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		poller.recordFailure(now)
		if poller.takeDue(now + backoff - 1) {
			t.Errorf("poll %d is due before %v", i, backoff)
		}
		now += backoff
		if !poller.takeDue(now) {
			t.Errorf("poll %d is not due after %v", i, backoff)
		}
	}
	poller.recordSuccess()
	poller.recordFailure(now)
	if got := poller.nextPoll - now; got != time.Second {
		t.Errorf("next poll in %v after a success and a failure, want 1s", got)
	}
}

// TestEndpointPollerOff checks that no poll is sent where the endpoint list comes by itself.
func TestEndpointPollerOff(t *testing.T) {
	poller := newEndpointPoller(false)
	poller.recordFailure(time.Second)
	if poller.takeDue(time.Hour) {
		t.Error("a poll is due")
	}
}

// TestLatestStartServesShard lists two serving targets of one shard, as when a target moves. The one that
// started last serves the shard.
func TestLatestStartServesShard(t *testing.T) {
	older := Target{ID: "older", StartedAt: 100 * ms}
	newer := Target{ID: "newer", StartedAt: 200 * ms}
	for _, targets := range [][]Target{{older, newer}, {newer, older}} {
		h := newHarness(t, testSettings(), targets...)
		h.step(testRequest("a", "v", 1))
		if len(h.sends) != 1 || h.sends[0].Target != "newer" {
			t.Errorf("listed %v: sends %v, want one to the newer target", targets, h.sends)
		}
	}
}
