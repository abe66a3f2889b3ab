package scheduler

import (
	"testing"
	"time"
)

// TestOverloadDeprioritizesLeastWeight queues three requests of which the target can serve one within its
// objective. With the earliest finish tag first, each would be served just too late. The one of the
// greatest weight must leave, though it was queued last.
func TestOverloadDeprioritizesLeastWeight(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].PriorityWeight = 1
	settings.Classes = append(settings.Classes, Class{
		Name:             "urgent",
		LatencyObjective: 400 * ms,
		Deadline:         2 * time.Second,
		PriorityWeight:   3,
	})
	settings.Plans[0].PriorityFactor = 1
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	h.step(testRequest("earlier", "v", 1))
	h.advance(300 * ms)
	h.endAttempt("earlier", Succeeded, 300*ms)
	h.target().concurrencyLimit = 1
	urgent := testRequest("urgent", "x", 1)
	urgent.Class = "urgent"
	h.step(testRequest("first", "v", 1), testRequest("second", "w", 1), urgent)
	if got := h.sentIDs(); len(got) != 2 || got[1] != "urgent" {
		t.Fatalf("sent %v, want the urgent one of three of which one can be served in time", got)
	}
}
