package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestStateIsBounded plays hours in which volumes, extents and targets come and go. What is kept of them
// must not grow with their number.
func TestStateIsBounded(t *testing.T) {
	for _, hasBudget := range []bool{false, true} {
		settings := testSettings()
		settings.RetryBudget = RetryBudget{Enabled: hasBudget, Window: time.Second, Minimum: 3}
		settings.Classes[0].Serialized = true
		settings.SettleTime = 100 * ms
		h := newHarness(t, settings, servingTarget("n0", 0))
		for i := range 4000 {
			h.playChurn(i)
		}
		s := h.scheduler
		for name, size := range map[string]int{
			"requests":          len(s.requests),
			"arrivals":          len(s.retryBudget.arrivals),
			"retries":           len(s.retryBudget.retries),
			"given up":          len(s.givenUp.byKey),
			"given up in order": len(s.givenUp.inOrder),
			"give-up heap":      len(s.giveUps),
		} {
			if size > 10 {
				t.Errorf("retry budget %v: %d %s kept", hasBudget, size, name)
			}
		}
		for name, size := range map[string]int{
			"volumes":         len(s.volumes),
			"serial queues":   len(s.serialQueues),
			"targets":         len(s.targets),
			"targets by ID":   len(s.targetsByID),
			"flows":           len(s.shardQueues[0].flows),
			"flows by volume": len(s.shardQueues[0].flowsByVolume),
		} {
			if size > 250 {
				t.Errorf("retry budget %v: %d %s kept of 4000", hasBudget, size, name)
			}
		}
	}
}

// playChurn plays five seconds with one request of a new volume and a new extent, and each tenth time with
// a new target in place of the last. Each second attempt loses its connection.
func (h *harness) playChurn(i int) {
	if i%10 == 0 {
		only := Target{ID: fmt.Sprintf("n%d", i), StartedAt: h.now - time.Hour}
		h.step(EndpointList{Complete: true, Targets: []Target{only}})
	}
	request := testRequest(fmt.Sprintf("r%d", i), fmt.Sprintf("v%d", i), 1)
	request.Extent = fmt.Sprintf("k%d", i)
	h.step(request)
	h.now += 20 * ms
	if h.attempts[request.ID] > 0 {
		h.endAttempt(request.ID, []AttemptStatus{Succeeded, ConnectionReset}[i%2], 20*ms)
	}
	for range 5 {
		h.now += time.Second
		h.step(Timer{})
	}
	for _, action := range h.sends {
		r := h.scheduler.requests[action.RequestID]
		if r != nil && r.inFlight != nil {
			h.endAttempt(r.ID, Succeeded, time.Second)
		}
	}
	h.sends = nil
}
