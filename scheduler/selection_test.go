package scheduler

import (
	"testing"
	"time"
)

// TestOverloadDeprioritizesLowestWeight queues three requests of which the target can serve only one
// within its objective. The one with the highest weight must be sent, although it was queued last. If the
// earliest finish tag always came first, each request would be served just too late.
func TestOverloadDeprioritizesLowestWeight(t *testing.T) {
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
		t.Fatalf("sent %v, want the earlier request and then the urgent one", got)
	}
}
