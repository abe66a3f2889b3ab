package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestTargetWithoutPressureGetsMoreConcurrency checks that a target without recent pressure, for which no
// request missed its objective or was deprioritized lately, gets a higher concurrency limit than a target
// under pressure with the same latencies. With the same limit, the target without pressure would be idle
// while requests wait here.
func TestTargetWithoutPressureGetsMoreConcurrency(t *testing.T) {
	limit := func(underPressure bool) float64 {
		settings := testSettings()
		settings.Initiators = sharedMinConcurrency // so that the lower bound of each initiator is one
		h := newHarness(t, settings, servingTarget(testTarget, 0))
		state := h.target()
		h.advance(time.Minute)
		for i := range 60 {
			if underPressure {
				state.lastPressure = h.now
			}
			h.step(testRequest(fmt.Sprint("a", i), "v", 1), testRequest(fmt.Sprint("b", i), "w", 1))
			latency := time.Duration(20+15*(i%4)) * ms
			h.advance(latency)
			for _, r := range slices.Clone(state.inFlight) {
				h.endAttempt(r.ID, Succeeded, latency)
			}
			h.advance(100 * ms)
		}
		return state.concurrencyLimit
	}
	if withoutPressure, withPressure := limit(false), limit(true); withoutPressure <= withPressure {
		t.Fatalf("limit %.2f without pressure and %.2f under pressure, want it higher without pressure",
			withoutPressure, withPressure)
	}
}

// TestMinConcurrencyIsShared has a target under pressure respond in alternating times, as requests of
// different sizes cause, so that the smoothed latency stays at twice the base latency. Each of two
// initiators must still have two attempts in flight there, and each of four or more one.
func TestMinConcurrencyIsShared(t *testing.T) {
	for initiators, want := range map[int]int{2: 2, 4: 1, 80: 1} {
		settings := testSettings()
		settings.Initiators = initiators
		h := newHarness(t, settings, servingTarget(testTarget, 0))
		state := h.target()
		for i := range 200 {
			state.lastPressure = h.now
			h.step(testRequest(fmt.Sprint("a", i), "v", 1), testRequest(fmt.Sprint("b", i), "w", 1))
			latency := time.Duration(5+15*(i%2)) * ms
			for len(state.inFlight) > 0 {
				h.now += latency
				h.endAttempt(state.inFlight[0].ID, Succeeded, latency)
			}
			h.advance(200 * ms)
		}
		for i := range 6 {
			h.step(testRequest(fmt.Sprint("x", i), fmt.Sprint("v", i), 1))
		}
		if got := len(state.inFlight); got != want {
			t.Errorf("%d initiators: %d attempts in flight, want %d", initiators, got, want)
		}
	}
}
