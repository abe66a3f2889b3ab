package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestShortTimeoutIsNotAClientRetry has all clients use a tenth of their usual timeout. At least 25 of
// the 41 requests must be sent. If a short timeout made a request a late client retry, each would wait
// until it is rejected.
func TestShortTimeoutIsNotAClientRetry(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("full", "v", 1))
	h.now += 20 * ms
	h.endAttempt("full", Succeeded, 20*ms)
	for i := range 40 {
		request := testRequest(fmt.Sprint("A", i), "v", 1)
		request.Timeout = 200 * ms
		h.step(request)
		h.now += 20 * ms
		if h.attempts[request.ID] > 0 {
			h.endAttempt(request.ID, Succeeded, 20*ms)
		}
	}
	if got := len(h.sends); got < 25 {
		t.Fatalf("%d of 41 requests sent, want at least 25", got)
	}
}

// TestClientRetryPastObjectiveIsRejectedAtOnce sends a client retry after a rejection, when the objective
// of the first request has passed. The client retry must take nothing from the volume's bucket, and must
// be rejected at once with the advice to wait until the client's deadline.
func TestClientRetryPastObjectiveIsRejectedAtOnce(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 1))
	request := testRequest("a", "v", 3)
	h.step(request)
	h.advance(time.Second)
	if len(h.responses) != 1 {
		t.Fatalf("responses %v, want the first request rejected", h.responses)
	}
	before := h.scheduler.volumes["v"].bucket.tokens
	request.ID = "b"
	request.Timeout = 900 * ms
	actions := h.step(request)
	if len(h.responses) != 2 || h.responses[1].Kind != Reject || h.responses[1].RetryAfter != 900*ms {
		t.Fatalf("actions %v for the client retry, want a rejection at once with a Retry-After of 900ms",
			actions)
	}
	if after := h.scheduler.volumes["v"].bucket.tokens; after != before {
		t.Errorf("the client retry changed the bucket from %v to %v tokens", before, after)
	}
}

// TestGivenUpRequestsExpire checks that a given-up request is found by its key until its client's
// deadline, and that the expiry of an older request does not remove a newer one with the same key.
func TestGivenUpRequestsExpire(t *testing.T) {
	class := &Class{Deadline: time.Second}
	newGivenUp := func(id, extent string, at time.Duration) *request {
		return &request{Request: Request{ID: id, Extent: extent}, class: class, firstArrival: at}
	}
	givenUp := newGivenUpRequests()
	older := newGivenUp("older", "x", 0)
	newer := newGivenUp("newer", "x", 900*ms)
	givenUp.add(older, 0)
	givenUp.add(newer, 900*ms)
	givenUp.add(newGivenUp("other", "y", 1100*ms), 1100*ms)
	if got := givenUp.find(newGivenUp("retry", "x", 0)); got != newer {
		t.Errorf("found %v, want the newer request", got)
	}
	givenUp.add(newGivenUp("last", "z", 3*time.Second), 3*time.Second)
	if len(givenUp.byKey) != 1 || len(givenUp.inOrder) != 1 {
		t.Errorf("%d keys and %d requests kept, want only the last request",
			len(givenUp.byKey), len(givenUp.inOrder))
	}
	givenUp.remove(newGivenUp("retry", "z", 0))
	if len(givenUp.byKey) != 0 {
		t.Error("a removed request is still found")
	}
}
