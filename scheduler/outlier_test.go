package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestErrorsCountForLess guards against a loss with targets that fail a part of their requests quickly:
// three errors in a row must not make a target an outlier, while twelve must.
func TestErrorsCountForLess(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget("n", 0))
	n := h.target()
	for i := range 12 {
		id := string(rune('a' + i))
		h.now += time.Second
		h.step(testRequest(id, "v", 1))
		h.endAttempt(id, Errored, ms)
		h.step(ClientClosed{RequestID: id})
		if got, want := h.scheduler.isOutlier(n), i >= 11; got != want {
			t.Fatalf("after %d errors isOutlier is %v, want %v", i+1, got, want)
		}
	}
}

// TestSilentTargetGetsOneAttemptAtATime has a target that answers nothing. It must get one attempt at a
// time, and be used again from its first response on.
func TestSilentTargetGetsOneAttemptAtATime(t *testing.T) {
	settings := testSettings()
	settings.Initiators = sharedMinConcurrency
	h := newHarness(t, settings, servingTarget("n", 0))
	h.step(testRequest("a", "v", 1), testRequest("b", "v", 1))
	h.now += 500 * ms
	for i := range 5 {
		h.step(testRequest(string(rune('p'+i)), "w", 1))
	}
	if got := h.sentIDs(); len(got) != 3 {
		t.Fatalf("sent %v, want the two without response and one more", got)
	}
	h.now += 10 * ms
	h.endAttempt("p", Succeeded, 10*ms)
	if got := h.sentIDs(); len(got) != 4 {
		t.Fatalf("sent %v, want the next one after the response", got)
	}
}

// TestShortTimeoutIsNoFailure guards against counting a client's short timeout as a silence of the target,
// which makes a healthy target an outlier.
func TestShortTimeoutIsNoFailure(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget("n", 0))
	for i := range 5 {
		request := testRequest(fmt.Sprintf("a%d", i), "v", 1)
		request.Timeout = 60 * ms
		h.step(request)
		h.now += 60 * ms
		h.endAttempt(request.ID, DeadlineExceeded, 60*ms)
	}
	if h.scheduler.isOutlier(h.target()) {
		t.Fatal("five short timeouts make the target an outlier")
	}
}
