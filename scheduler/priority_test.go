package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestLowPriorityWaitsForLowerLoad checks that a low-priority request waits while its target reports
// load. Otherwise each of tens of initiators would send one to a target where it has nothing in flight
// itself, and high-priority requests would wait behind all of these.
func TestLowPriorityWaitsForLowerLoad(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].PriorityWeight = 1
	settings.Plans[0].PriorityFactor = 1
	settings.Plans = append(settings.Plans, Plan{Name: "spare", ProvisionedRate: 1, PriorityFactor: 0.1})
	for _, c := range []struct {
		name         string
		reportedLoad float64
		age          time.Duration // age of the report
		wantSent     int
	}{
		{"idle target: both are sent", 0, 10 * ms, 3},
		{"loaded target: only the high-priority request is sent", 5, 10 * ms, 2},
		{"old report: both are sent", 5, 10 * time.Second, 3},
	} {
		h := newHarness(t, settings, servingTarget(testTarget, 0))
		h.step(testRequest("earlier", "v", 1))
		h.now += 50 * ms
		h.step(AttemptEnded{
			RequestID:    "earlier",
			Status:       Succeeded,
			Latency:      50 * ms,
			RequestEnded: true,
			LoadReport:   &LoadReport{QueueDepth: -1, InFlight: c.reportedLoad},
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
