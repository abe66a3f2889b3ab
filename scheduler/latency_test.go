package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestLongResponseIsForgotten checks that the expected latency falls to the base latency with time. Otherwise,
// after one long response, all requests would count as past their objective, nothing would be sent, and
// nothing would correct the estimate.
func TestLongResponseIsForgotten(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	for i := range 5 {
		id := fmt.Sprint("a", i)
		h.step(testRequest(id, "v", 1))
		h.now += 30 * ms
		h.endAttempt(id, Succeeded, 30*ms)
	}
	h.step(testRequest("slow", "v", 1))
	h.now += 5 * time.Second
	h.endAttempt("slow", Succeeded, 5*time.Second)
	h.now += 10 * time.Second // several times the memory of the estimate
	h.step(testRequest("next", "v", 1))
	if got := h.sentIDs(); got[len(got)-1] != "next" {
		t.Fatalf("sent %v; want the next request sent at once", got)
	}
	if h.scheduler.requests["next"].pastObjective {
		t.Fatal("the next request counts as past its objective")
	}
}

// TestResponseAfterGapOutweighsOldOnes checks an initiator with a response every ten seconds: its estimate must
// follow the last one, not an average over minutes.
func TestResponseAfterGapOutweighsOldOnes(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	for i, took := range []time.Duration{50 * ms, 50 * ms, 600 * ms} {
		id := fmt.Sprintf("a%d", i)
		h.advance(10 * time.Second)
		h.step(testRequest(id, "v", 1))
		h.advance(took)
		h.endAttempt(id, Succeeded, took)
	}
	if got := h.scheduler.expectedLatency(h.target()); got < 0.5 {
		t.Fatalf("%.2f s expected after one response in 0.6 s, long after the others", got)
	}
}

// TestAbsurdLoadReportsAreIgnored sends load reports with absent, negative, huge and undefined values, also
// before the first response. They must not change the estimate.
func TestAbsurdLoadReportsAreIgnored(t *testing.T) {
	for _, report := range []*LoadReport{
		nil,
		{QueueDepth: -1, InFlight: -1},
		{QueueDepth: 1e300, InFlight: -1},
		{QueueDepth: math.Inf(1)},
		{QueueDepth: math.NaN(), InFlight: math.NaN()},
		{QueueDepth: -7, InFlight: -1e9},
	} {
		h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
		for i := range 3 {
			id := fmt.Sprintf("a%d", i)
			h.step(testRequest(id, "v", 1))
			h.now += 40 * ms
			h.step(AttemptEnded{
				RequestID:  id,
				Status:     Succeeded,
				Latency:    40 * ms,
				Answered:   true,
				LoadReport: report,
			})
		}
		if got := h.scheduler.expectedLatency(h.target()); got < 0.039 || got > 0.041 {
			t.Errorf("%+v: %v s expected, want the 40 ms of the responses", report, got)
		}
		if len(h.sends) != 3 {
			t.Errorf("%+v: %d of 3 sent", report, len(h.sends))
		}
	}
}

// TestTimeoutBeforeFirstResponse has an attempt with a short timeout end before the target's first response, which then comes
// after 40 ms. Failure: the smoothed latency, which is 0 as long as nothing was heard, is raised from 0 by the timeout; the base
// latency stays at 0, every response looks slow beside it, and the concurrency limit falls to its minimum.
func TestTimeoutBeforeFirstResponse(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("a", "v", 1))
	h.now += 30 * ms
	h.endAttempt("a", DeadlineExceeded, 30*ms)
	h.step(ClientClosed{RequestID: "a"})
	for i := range 4 {
		h.now += time.Second
		id := fmt.Sprintf("b%d", i)
		h.step(testRequest(id, "w", 1))
		h.now += 40 * ms
		h.endAttempt(id, Succeeded, 40*ms)
	}
	target := h.target()
	if target.baseLatency < 0.039 || target.baseLatency > 0.041 || target.concurrencyLimit < initialConcurrency {
		t.Errorf("base latency %v s, concurrency limit %v; want 0.04 s and %v at least",
			target.baseLatency, target.concurrencyLimit, initialConcurrency)
	}
}
