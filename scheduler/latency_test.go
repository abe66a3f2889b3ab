package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// TestExpectedLatencyFallsAfterSlowResponse checks that the expected latency falls to the base latency
// over time. Otherwise, after one slow response, all requests would count as past their objective,
// nothing would be sent, and no new response would correct the estimate.
func TestExpectedLatencyFallsAfterSlowResponse(t *testing.T) {
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
	h.now += 10 * time.Second // several time constants of the estimate
	h.step(testRequest("next", "v", 1))
	if got := h.sentIDs(); got[len(got)-1] != "next" {
		t.Fatalf("sent %v, want the next request sent at once", got)
	}
	if h.scheduler.requests["next"].pastObjective {
		t.Fatal("the next request counts as past its objective")
	}
}

// TestResponseAfterGapOutweighsEarlierOnes has an initiator receive a response every ten seconds. Its
// estimate must follow the last response, not an average over minutes.
func TestResponseAfterGapOutweighsEarlierOnes(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	for i, latency := range []time.Duration{50 * ms, 50 * ms, 600 * ms} {
		id := fmt.Sprintf("a%d", i)
		h.advance(10 * time.Second)
		h.step(testRequest(id, "v", 1))
		h.advance(latency)
		h.endAttempt(id, Succeeded, latency)
	}
	if got := h.scheduler.expectedLatency(h.target()); got < 0.5 {
		t.Fatalf("expected latency %.2f s after a long gap and a response in 0.6 s, want at least 0.5 s", got)
	}
}

// TestImplausibleLoadReportsAreIgnored sends load reports with absent, negative, huge, infinite and NaN
// values, from the first response on. They must not change the estimate.
func TestImplausibleLoadReportsAreIgnored(t *testing.T) {
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
				RequestID:    id,
				Status:       Succeeded,
				Latency:      40 * ms,
				RequestEnded: true,
				LoadReport:   report,
			})
		}
		if got := h.scheduler.expectedLatency(h.target()); got < 0.039 || got > 0.041 {
			t.Errorf("%+v: expected latency %v s, want the 40 ms of the responses", report, got)
		}
		if len(h.sends) != 3 {
			t.Errorf("%+v: %d of 3 requests sent", report, len(h.sends))
		}
	}
}

// TestTimeoutBeforeFirstResponseIsNotMeasured has an attempt with a short timeout end before the target's
// first response, which then comes after 40 ms. The timeout must not raise the smoothed latency, which is
// 0 before the first response. Otherwise the base latency would stay at 0, every response would look slow
// in comparison, and the concurrency limit would fall to its minimum.
func TestTimeoutBeforeFirstResponseIsNotMeasured(t *testing.T) {
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
	if target.baseLatency < 0.039 || target.baseLatency > 0.041 ||
		target.concurrencyLimit < initialConcurrency {
		t.Errorf("base latency %v s, concurrency limit %v; want 0.04 s and at least %v",
			target.baseLatency, target.concurrencyLimit, initialConcurrency)
	}
}
