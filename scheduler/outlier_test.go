package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestErrorResponseIsPartialFailure checks that an error response counts as a fraction of a failure. If
// it counted as a whole one, a target that quickly fails some of its requests would be an outlier
// although it serves the others.
func TestErrorResponseIsPartialFailure(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	state := h.target()
	const errorsToOutlier = outlierFailures * errorsPerFailure
	if errorsToOutlier != 12 {
		t.Fatalf("%v error responses make an outlier, want 12", errorsToOutlier)
	}
	for i := range int(errorsToOutlier) {
		id := fmt.Sprint("a", i)
		h.now += time.Second
		h.step(testRequest(id, "v", 1))
		h.endAttempt(id, Errored, ms)
		h.step(ClientClosed{RequestID: id})
		if got, want := h.scheduler.isOutlier(state), i+1 >= errorsToOutlier; got != want {
			t.Fatalf("after %d error responses: isOutlier %v, want %v", i+1, got, want)
		}
	}
}

// TestSilentTargetGetsOneAttemptAtATime has a target that does not respond. It must get one attempt at a
// time, and more again from its first response on.
func TestSilentTargetGetsOneAttemptAtATime(t *testing.T) {
	settings := testSettings()
	settings.Initiators = sharedMinConcurrency // so that the lower bound of each initiator is one
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	h.step(testRequest("a", "v", 1), testRequest("b", "v", 1))
	h.now += 500 * ms
	for i := range 5 {
		h.step(testRequest(fmt.Sprint("p", i), "w", 1))
	}
	if got := h.sentIDs(); len(got) != 3 {
		t.Fatalf("sent %v, want the two without a response and one more", got)
	}
	h.now += 10 * ms
	h.endAttempt("p0", Succeeded, 10*ms)
	if got := h.sentIDs(); len(got) != 4 {
		t.Fatalf("sent %v, want a fourth after the response", got)
	}
}

// TestShortTimeoutIsNotAFailure checks that a timeout before the silence timeout does not count as a
// failure. Otherwise clients with short timeouts would make a healthy target an outlier.
func TestShortTimeoutIsNotAFailure(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	for i := range 5 {
		request := testRequest(fmt.Sprintf("a%d", i), "v", 1)
		request.Timeout = 60 * ms
		h.step(request)
		h.now += 60 * ms
		h.endAttempt(request.ID, DeadlineExceeded, 60*ms)
	}
	if h.scheduler.isOutlier(h.target()) {
		t.Fatal("the target is an outlier after five short timeouts")
	}
}
