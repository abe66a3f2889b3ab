package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestLowPriorityWaitsForLessLoad checks that a low-priority request waits while its target reports load.
// Otherwise each of tens of initiators would send one to a target where it has nothing in flight itself, and
// requests of high priority would wait behind those of all.
func TestLowPriorityWaitsForLessLoad(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].PriorityWeight = 1
	settings.Plans[0].PriorityFactor = 1
	settings.Plans = append(settings.Plans, Plan{Name: "spare", ProvisionedRate: 1, PriorityFactor: 0.1})
	for _, c := range []struct {
		name         string
		reportedLoad float64
		age          time.Duration // of the report
		wantSent     int
	}{
		{"the target is idle: both leave", 0, 10 * ms, 3},
		{"others wait there: only the one of high priority", 5, 10 * ms, 2},
		{"the report is old: both leave", 5, 10 * time.Second, 3},
	} {
		h := newHarness(t, settings, servingTarget(testTarget, 0))
		h.step(testRequest("earlier", "v", 1))
		h.now += 50 * ms
		h.step(AttemptEnded{
			RequestID:  "earlier",
			Status:     Succeeded,
			Latency:    50 * ms,
			Answered:   true,
			LoadReport: &LoadReport{QueueDepth: -1, InFlight: c.reportedLoad},
		})
		h.now += c.age
		low := testRequest("low", "w", 1)
		low.Plan = "spare"
		h.step(low, testRequest("high", "v", 1))
		if got := h.sentIDs(); len(got) != c.wantSent || !slices.Contains(got, "high") {
			t.Errorf("%s: sent %v", c.name, got)
		}
	}
}
