package scheduler

import (
	"slices"
	"testing"
)

// TestSerializedExtentSettles has the first of two writes to one extent lose its connection, so that the
// target may still be executing it. The second write must be sent only after the first has ended and the
// settle time has passed.
func TestSerializedExtentSettles(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Serialized = true
	settings.Classes[0].Idempotency = NonIdempotent
	settings.SettleTime = 100 * ms
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	first := testRequest("first", "v", 1)
	first.Extent = "x"
	second := testRequest("second", "v", 1)
	second.Extent = "x"
	h.step(first, second)
	h.advance(50 * ms)
	if got := h.sentIDs(); !slices.Equal(got, []string{"first"}) {
		t.Fatalf("sent %v, want only the first write", got)
	}
	h.endAttempt("first", ConnectionReset, 50*ms)
	h.advance(90 * ms)
	if len(h.sends) != 1 {
		t.Fatalf("sent %v within the settle time, want only the first write", h.sentIDs())
	}
	h.advance(200 * ms)
	if got := h.sentIDs(); !slices.Equal(got, []string{"first", "second"}) {
		t.Errorf("sent %v, want the second write after the settle time", got)
	}
}
