package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestStateIsBounded simulates hours in which volumes, extents and targets come and go. The state that is
// kept must not grow with their number.
func TestStateIsBounded(t *testing.T) {
	for _, hasBudget := range []bool{false, true} {
		settings := testSettings()
		settings.RetryBudget = RetryBudget{Enabled: hasBudget, Window: time.Second, Minimum: 3}
		settings.Classes[0].Serialized = true
		settings.SettleTime = 100 * ms
		h := newHarness(t, settings, servingTarget("n0", 0))
		for i := range 4000 {
			h.simulateChurn(i)
		}
		s := h.scheduler
		for name, size := range map[string]int{
			"requests":          len(s.requests),
			"arrivals":          len(s.retryBudget.arrivals),
			"retries":           len(s.retryBudget.retries),
			"given up":          len(s.givenUp.byKey),
			"given up in order": s.givenUp.len(),
			"give-up heap":      len(s.pendingGiveUps),
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

// simulateChurn simulates five seconds with one request of a new volume for a new extent. Every tenth
// call replaces the target with a new one. Every second attempt loses its connection.
func (h *harness) simulateChurn(i int) {
	if i%10 == 0 {
		successor := Target{ID: fmt.Sprintf("n%d", i), StartedAt: h.now - time.Hour}
		h.step(EndpointList{Complete: true, Targets: []Target{successor}})
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

// TestNewVolumesAreLimited guards against clients that name a new volume in each request and so fill the
// memory until the next sweep, or for good if their shard is busy.
func TestNewVolumesAreLimited(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("open", "busy volume", 1))
	for i := range 3 * maxVolumes {
		request := testRequest(fmt.Sprint(i), fmt.Sprintf("v%d", i), 1)
		h.step(request)
		h.step(ClientClosed{RequestID: request.ID})
		h.now += time.Microsecond
	}
	sizes := h.scheduler.TableSizes()
	if sizes.Volumes > maxVolumes || sizes.Flows > maxVolumes {
		t.Errorf("%d volumes and %d flows kept, want at most %d", sizes.Volumes, sizes.Flows, maxVolumes)
	}
	if flows := len(h.scheduler.shardQueues[0].flowsByVolume); flows != sizes.Flows {
		t.Errorf("%d flows by volume, but %d flows", flows, sizes.Flows)
	}
	if h.scheduler.volumes["busy volume"] == nil {
		t.Error("a volume with a request in flight was removed")
	}
	if h.scheduler.volumes[fmt.Sprintf("v%d", 3*maxVolumes-1)] == nil {
		t.Error("the latest volume was removed")
	}
}
