package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestErrorsCountForLess checks that an error response counts for a part of a failure. If it counted for a
// whole one, a target that fails a part of its requests quickly would be an outlier, though it serves the
// others.
func TestErrorsCountForLess(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	n := h.target()
	const errorsToOutlier = outlierFailures * errorsPerFailure
	if errorsToOutlier != 12 {
		t.Fatalf("%v errors make an outlier, want 12", errorsToOutlier)
	}
	for i := range int(errorsToOutlier) {
		id := fmt.Sprint("a", i)
		h.now += time.Second
		h.step(testRequest(id, "v", 1))
		h.endAttempt(id, Errored, ms)
		h.step(ClientClosed{RequestID: id})
		if got, want := h.scheduler.isOutlier(n), i+1 >= errorsToOutlier; got != want {
			t.Fatalf("after %d errors isOutlier is %v, want %v", i+1, got, want)
		}
	}
}

// TestSilentTargetGetsOneAttemptAtATime has a target that answers nothing. It must get one attempt at a
// time, and more again from its first response on.
func TestSilentTargetGetsOneAttemptAtATime(t *testing.T) {
	settings := testSettings()
	settings.Initiators = sharedMinConcurrency // as many, so that the least limit of each is one
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	h.step(testRequest("a", "v", 1), testRequest("b", "v", 1))
	h.now += 500 * ms
	for i := range 5 {
		h.step(testRequest(fmt.Sprint("p", i), "w", 1))
	}
	if got := h.sentIDs(); len(got) != 3 {
		t.Fatalf("sent %v, want the two without response and one more", got)
	}
	h.now += 10 * ms
	h.endAttempt("p0", Succeeded, 10*ms)
	if got := h.sentIDs(); len(got) != 4 {
		t.Fatalf("sent %v, want the next one after the response", got)
	}
}

// TestShortTimeoutIsNoFailure checks that an attempt that times out before the silence timeout is no failure.
// Otherwise clients with short timeouts would make a healthy target an outlier.
func TestShortTimeoutIsNoFailure(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
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
