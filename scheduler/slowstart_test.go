package scheduler

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// TestSlowStartSendsOneRequestPerWindow has hundreds of initiators, so that an equal share of the
// slow-start budget is less than one request. Without a rule for that, nothing would be sent to a
// restarted target until the end of its slow start. Each initiator must send its first request soon, at a
// random time, and then one per window.
func TestSlowStartSendsOneRequestPerWindow(t *testing.T) {
	settings := testSettings()
	settings.Initiators = 200
	settings.SlowStart = SlowStart{
		Budget:          10,
		InitialCapacity: 0.2,
		Duration:        10 * time.Second,
		Window:          time.Second,
		OverloadFactor:  3,
	}
	starts := map[time.Duration]bool{}
	for seed := range uint64(20) {
		sent := sendsToSilentTargetInSlowStart(t, settings, seed)
		if len(sent) == 0 || sent[0] == 0 || sent[0] > settings.SlowStart.Window/2+50*ms {
			t.Errorf("seed %d: requests sent %v after the listing, want the first within half a window",
				seed, sent)
			continue
		}
		starts[sent[0].Round(100*ms)] = true
		for i := 1; i < len(sent); i++ {
			if sent[i]-sent[i-1] < time.Second-20*ms { // the send times are sampled every 15 ms
				t.Errorf("seed %d: two requests sent to a silent target in slow start within one window",
					seed)
			}
		}
	}
	if len(starts) < 4 {
		t.Errorf("first requests sent at %v, want at least 4 different times", starts)
	}
}

// sendsToSilentTargetInSlowStart has a request arrive every 15 ms for a target that started a second ago
// and does not respond. It returns the times of the attempts, relative to when the start was listed.
func sendsToSilentTargetInSlowStart(t *testing.T, settings Settings, seed uint64) []time.Duration {
	t.Helper()
	h := newSeededHarness(t, settings, seed)
	h.advance(20 * time.Second)
	h.step(EndpointList{Complete: true, Targets: []Target{servingTarget(testTarget, 0)}})
	h.step(EndpointList{Targets: []Target{{ID: testTarget, StartedAt: h.now - time.Second}}})
	listedAt := h.now
	var sent []time.Duration
	for i := range 400 {
		h.step(testRequest(fmt.Sprintf("r%d", i), "v", 1))
		if len(h.sends) > len(sent) {
			sent = append(sent, h.now-listedAt)
		}
		h.advance(15 * ms)
	}
	return sent
}

// TestOneRequestPerWindowFollowsResponses has a target in slow start respond to one of many initiators.
// The target must get more than one request per window, but never more than half the overload factor
// times the number of responses within the window.
func TestOneRequestPerWindowFollowsResponses(t *testing.T) {
	settings := testSettings()
	settings.Initiators = 200
	settings.SlowStart = SlowStart{
		Budget:          10,
		InitialCapacity: 0.2,
		Duration:        12 * time.Second,
		Window:          3 * time.Second,
		OverloadFactor:  4,
	}
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	h.step(EndpointList{Targets: []Target{{ID: testTarget, StartedAt: h.now}}})
	state := h.target()
	var sent, responded []time.Duration
	countWithinWindow := func(times []time.Duration) int {
		return len(trimBefore(times, h.now-settings.SlowStart.Window))
	}
	for i := 0; h.now < 12*time.Second; i++ {
		before := len(h.sends)
		h.step(testRequest(fmt.Sprint("r", i), "v", 1))
		if len(h.sends) > before {
			sent = append(sent, h.now)
			if got, limit := countWithinWindow(sent), max(1, 2*countWithinWindow(responded)); got > limit {
				t.Fatalf("%d requests sent within the window to a target that responded to %d",
					got, countWithinWindow(responded))
			}
		}
		h.advance(20 * ms)
		for _, r := range slices.Clone(state.inFlight) {
			h.endAttempt(r.ID, Succeeded, 20*ms)
			responded = append(responded, h.now)
		}
	}
	if len(responded) < 40 {
		t.Errorf("%d responses during slow start, want at least 40", len(responded))
	}
}

// TestSlowStartBudgetGrows checks the budget of one of two initiators: 10 of 20 units at the start of a
// target with a fifth of its capacity, five times as much at the end of its slow start, and more with the
// units that the target has served.
func TestSlowStartBudgetGrows(t *testing.T) {
	policy := newSlowStart(&Settings{
		Initiators: 2,
		MeanUnits:  1,
		SlowStart: SlowStart{
			Budget:          20,
			InitialCapacity: 0.2,
			Duration:        10 * time.Second,
			Window:          time.Second,
			OverloadFactor:  4,
		},
	})
	for _, c := range []struct {
		age    time.Duration
		served float64
		want   float64
	}{
		{0, 0, 10},
		{5 * time.Second, 0, 30},
		{10 * time.Second, 0, 50},
		{0, 2, 10},    // three quarters of the budget plus the served units are less than the budget
		{0, 10, 17.5}, // three quarters of the budget plus the served units
	} {
		if got := policy.budget(c.age, c.served); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("age %v, %v units served: budget %v, want %v", c.age, c.served, got, c.want)
		}
	}
}

// TestOneRequestPerWindowBudget checks that the budget of one of many initiators is half the overload
// factor times the units that the target has served.
func TestOneRequestPerWindowBudget(t *testing.T) {
	policy := newSlowStart(&Settings{
		Initiators: 100,
		MeanUnits:  1,
		SlowStart: SlowStart{
			Budget:          20,
			InitialCapacity: 0.2,
			Duration:        10 * time.Second,
			OverloadFactor:  4,
		},
	})
	if got := policy.budget(time.Second, 3); !policy.oneRequestPerWindow || got != 6 {
		t.Errorf("oneRequestPerWindow %v, budget %v after 3 units served; want true and 6",
			policy.oneRequestPerWindow, got)
	}
}

// TestSlowStartEnds checks that the limit applies only during the slow start of a target.
func TestSlowStartEnds(t *testing.T) {
	policy := newSlowStart(&Settings{
		Initiators: 1,
		MeanUnits:  1,
		SlowStart: SlowStart{
			Budget:          5,
			InitialCapacity: 0.5,
			Duration:        10 * time.Second,
			Window:          time.Second,
		},
	})
	start := time.Minute
	restarted := &target{Target: Target{StartedAt: start}}
	restarted.recentlySent.add(start, 5)
	if at := policy.admissionTime(start, restarted, 1); at <= start {
		t.Error("a sixth unit is admitted at the start of the target")
	}
	end := start + 10*time.Second
	restarted.recentlySent.add(end, 1000)
	if at := policy.admissionTime(end, restarted, 1); at > end {
		t.Errorf("admitted at %v after the slow start, want now", at)
	}
}

// TestUnitHistory checks that sumSince removes old samples and sums the others.
func TestUnitHistory(t *testing.T) {
	var history unitHistory
	for i := range 5 {
		history.add(time.Duration(i)*time.Second, 1.5)
	}
	if got := history.sumSince(3 * time.Second); got != 3 || len(history) != 2 {
		t.Errorf("sum %v with %d samples kept, want 3 with 2", got, len(history))
	}
}
