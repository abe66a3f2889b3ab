package scheduler

import (
	"testing"
	"time"
)

// TestRateLimitIsShared checks one of two initiators with a limit of 10 units per second and a burst
// capacity of 8. Its bucket must be empty at first, fill at 5 units per second, and hold at most 4.
func TestRateLimitIsShared(t *testing.T) {
	h := newHarness(t, testSettings())
	s := h.scheduler
	v := &volume{plan: &Plan{Limit: 10, BurstCapacity: 8}, initiators: 2}
	v.limit.refilledAt = s.now
	r := &request{Request: Request{Units: 2}, volume: v}
	if got, want := s.rateLimitAdmissionTime(r), s.now+400*ms+ms; got != want {
		t.Errorf("admitted at %v, want %v", got, want)
	}
	s.now += time.Minute
	if got := s.rateLimitAdmissionTime(r); got > s.now || v.limit.tokens != 4 {
		t.Errorf("admitted at %v with %v tokens, want now and 4 tokens", got, v.limit.tokens)
	}
	r.chargeRateLimit()
	r.chargeRateLimit()
	if v.limit.tokens != 2 {
		t.Errorf("%v tokens after two attempts of one request, want 2", v.limit.tokens)
	}
}
