package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestRetryStaysWithinDedupWindow checks the retries of a request that may have been executed. After the
// dedup window, targets no longer discard a duplicate, so the request would be executed twice. Each retry
// must carry the time within which its first byte must be sent, and a request that is still queued at the
// end of the window must get its response then, not at its deadline.
func TestRetryStaysWithinDedupWindow(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].Idempotency = IdempotencyKey
	settings.Classes[0].DedupWindow = 500 * ms
	h := newHarness(t, settings, Target{ID: testTarget})
	start := h.now
	h.step(testRequest("a", "v", 1), testRequest("b", "w", 1))
	h.advance(50 * ms)
	h.endAttempt("a", ConnectionReset, 50*ms)
	h.endAttempt("b", ConnectionReset, 50*ms)
	h.advance(200 * ms)
	if len(h.sends) < 3 || h.sends[0].SendWithin != 0 {
		t.Fatalf("sends %+v, want two first attempts without SendWithin and at least one retry", h.sends)
	}
	for i, retry := range h.sends[2:] {
		if retry.SendWithin <= 0 || retry.SendWithin > 450*ms {
			t.Errorf("retry %d has SendWithin %v, want more than 0 and at most 450ms", i, retry.SendWithin)
		}
	}
	h.step(EndpointList{Targets: []Target{{ID: testTarget, State: Draining}}})
	for _, retry := range h.sends[2:] {
		h.endAttempt(retry.RequestID, ConnectFailed, 10*ms)
	}
	for len(h.responses) < 2 && h.now < start+2*time.Second {
		h.advance(5 * ms)
	}
	if took := h.now - start; len(h.responses) != 2 || took > 550*ms {
		t.Errorf("%d responses after %v, want both at the end of the window", len(h.responses), took)
	}
}

// TestRetryBudget checks the limit of retries: a minimum of 2 plus a tenth of the requests that arrived,
// within 10 s.
func TestRetryBudget(t *testing.T) {
	budget := retryBudget{
		RetryBudget: RetryBudget{Enabled: true, Minimum: 2, Ratio: 0.1, Window: 10 * time.Second},
		tick:        ms,
	}
	now := time.Minute
	for range 10 {
		budget.recordArrival(now)
	}
	for i := range 3 {
		if at := budget.admissionTime(now); at > now {
			t.Errorf("retry %d is admitted at %v, want now", i, at)
		}
		budget.recordRetry(now)
	}
	if at := budget.admissionTime(now); at <= now {
		t.Error("a fourth retry is admitted after 10 arrivals")
	}
	now += 10*time.Second + 3*ms
	if at := budget.admissionTime(now); at > now {
		t.Errorf("a retry is admitted at %v after the window, want now", at)
	}
	if len(budget.arrivals)+len(budget.retries) != 0 {
		t.Errorf("%d arrivals and %d retries kept after the window",
			len(budget.arrivals), len(budget.retries))
	}
	budget.Enabled = false
	for range 100 {
		budget.recordRetry(now)
	}
	if at := budget.admissionTime(now); at != 0 {
		t.Errorf("a retry is admitted at %v with the budget disabled, want 0", at)
	}
}

// TestDedupScope checks which targets may get another attempt of a request that may have been executed in
// zone a on shard 1.
func TestDedupScope(t *testing.T) {
	same := &target{Target: Target{Zone: "a", Shard: 1}}
	otherShard := &target{Target: Target{Zone: "a", Shard: 2}}
	otherZone := &target{Target: Target{Zone: "b", Shard: 1}}
	for _, c := range []struct {
		scope                       DedupScope
		same, otherShard, otherZone bool
	}{
		{DedupEverywhere, true, true, true},
		{DedupZone, true, true, false},
		{DedupShard, true, false, false},
	} {
		r := &request{
			class:           &Class{Idempotency: IdempotencyKey, DedupScope: c.scope},
			mayHaveExecuted: true,
			firstExecution:  execution{zone: "a", shard: 1},
		}
		got := []bool{r.isInDedupScope(same), r.isInDedupScope(otherShard), r.isInDedupScope(otherZone)}
		if want := []bool{c.same, c.otherShard, c.otherZone}; !slices.Equal(got, want) {
			t.Errorf("scope %d: same, other shard, other zone: %v, want %v", c.scope, got, want)
		}
	}
}
