package scheduler

import (
	"testing"
	"time"
)

// TestEarlyTimerIsSetAgain has each timer fire a nanosecond early, so that nothing is due yet. If no
// other timer were set then, a queued request would never end.
func TestEarlyTimerIsSetAgain(t *testing.T) {
	h := newHarness(t, testSettings()) // no target: the request is queued until it is given up
	request := testRequest("a", "v", 1)
	h.step(request)
	for end := h.now + request.Timeout; h.now < end; {
		after := time.Duration(-1)
		for _, action := range h.step(Timer{}) {
			if action.Kind == SetTimer {
				after = action.Delay
			}
		}
		if after < 0 {
			break
		}
		h.now += after - time.Nanosecond
	}
	if len(h.responses) != 1 {
		t.Fatalf("no response by %v, want one", h.now)
	}
}

// TestStallIsNotMeasuredAsLatency checks a step after the process was stalled. A request that arrived
// meanwhile has used up a part of its objective here. The time that a response waited here must not count
// as the target's latency.
func TestStallIsNotMeasuredAsLatency(t *testing.T) {
	for _, c := range []struct {
		name                string
		stalls              bool
		wantObjective       time.Duration // from the arrival
		wantLatencyMeasured bool          // the latency of the response is measured
	}{
		{"timers on time", false, 400 * ms, true},
		{"stall", true, 100 * ms, false},
	} {
		h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
		h.step(testRequest("a", "v", 1))
		h.advance(50 * ms)
		h.endAttempt("a", Succeeded, 50*ms)
		h.step(testRequest("b", "v", 1))
		if c.stalls {
			h.now += 600 * ms
		} else {
			h.advance(600 * ms)
		}
		request := testRequest("c", "v", 1)
		request.Timeout -= 300 * ms // the client sent it 300 ms ago
		h.step(request, AttemptEnded{RequestID: "b", Status: Succeeded, Latency: 600 * ms, RequestEnded: true})
		if got := h.scheduler.requests["c"].objectiveEndsAt - h.now; got != c.wantObjective {
			t.Errorf("%s: objective in %v, want %v", c.name, got, c.wantObjective)
		}
		if got := h.target().smoothedLatency > 0.06; got != c.wantLatencyMeasured {
			t.Errorf("%s: latency measured: %v, want %v", c.name, got, c.wantLatencyMeasured)
		}
	}
}
