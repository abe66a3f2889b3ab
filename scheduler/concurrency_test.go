package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestCalmTargetGetsMoreConcurrency checks that a calm target, for which no request missed its objective or was
// deprioritized lately, gets a higher concurrency limit than one under pressure with the same latencies. With
// one limit for both, a calm target would be idle while requests wait here.
func TestCalmTargetGetsMoreConcurrency(t *testing.T) {
	limit := func(underPressure bool) float64 {
		settings := testSettings()
		settings.Initiators = sharedMinConcurrency // as many, so that the least limit of each is one
		h := newHarness(t, settings, servingTarget(testTarget, 0))
		n := h.target()
		h.advance(time.Minute)
		for i := range 60 {
			if underPressure {
				n.lastPressure = h.now
			}
			h.step(testRequest(fmt.Sprint("a", i), "v", 1), testRequest(fmt.Sprint("b", i), "w", 1))
			latency := time.Duration(20+15*(i%4)) * ms
			h.advance(latency)
			for _, r := range slices.Clone(n.inFlight) {
				h.endAttempt(r.ID, Succeeded, latency)
			}
			h.advance(100 * ms)
		}
		return n.concurrencyLimit
	}
	if calm, pressed := limit(false), limit(true); calm <= pressed {
		t.Fatalf("limit %.2f when calm, %.2f under pressure; want it higher when calm", calm, pressed)
	}
}

// TestMinConcurrencyIsShared has a target under pressure answer in times that differ as sizes do, so that
// the smoothed latency stays at twice the base latency. Two initiators must still have two attempts each in
// flight there, and four or more one.
func TestMinConcurrencyIsShared(t *testing.T) {
	for initiators, want := range map[int]int{2: 2, 4: 1, 80: 1} {
		settings := testSettings()
		settings.Initiators = initiators
		h := newHarness(t, settings, servingTarget(testTarget, 0))
		n := h.target()
		for i := range 200 {
			n.lastPressure = h.now
			h.step(testRequest(fmt.Sprint("a", i), "v", 1), testRequest(fmt.Sprint("b", i), "w", 1))
			latency := time.Duration(5+15*(i%2)) * ms
			for len(n.inFlight) > 0 {
				h.now += latency
				h.endAttempt(n.inFlight[0].ID, Succeeded, latency)
			}
			h.advance(200 * ms)
		}
		for i := range 6 {
			h.step(testRequest(fmt.Sprint("x", i), fmt.Sprint("v", i), 1))
		}
		if got := len(n.inFlight); got != want {
			t.Errorf("%d initiators: %d attempts in flight, want %d", initiators, got, want)
		}
	}
}
