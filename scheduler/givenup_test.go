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
	givenUp := newGivenUpRequests()
	givenUp.add(newGivenUp("older", "x", 0), 0)
	givenUp.add(newGivenUp("newer", "x", 900*ms), 900*ms)
	givenUp.add(newGivenUp("other", "y", 1100*ms), 1100*ms)
	if got := givenUp.find(newGivenUp("retry", "x", 0)); got == nil || got.firstArrival != 900*ms {
		t.Errorf("found %v, want the newer request", got)
	}
	givenUp.add(newGivenUp("last", "z", 3*time.Second), 3*time.Second)
	if len(givenUp.byKey) != 1 || givenUp.len() != 1 {
		t.Errorf("%d keys and %d requests kept, want only the last request", len(givenUp.byKey), givenUp.len())
	}
	givenUp.remove(newGivenUp("retry", "z", 0))
	if len(givenUp.byKey) != 0 || givenUp.len() != 0 {
		t.Error("a removed request is still kept")
	}
}

// oneSecondClass is the class of newGivenUp.
var oneSecondClass = Class{Deadline: time.Second}

// newGivenUp returns a request that arrived at the given time and whose client waits for a second.
func newGivenUp(id, extent string, at time.Duration) *request {
	return &request{
		Request:      Request{ID: id, Extent: extent},
		class:        &oneSecondClass,
		firstArrival: at,
	}
}

// TestRepeatedRefusalIsKeptOnce guards against a given-up request that stays in memory after its client
// retry has taken its place.
func TestRepeatedRefusalIsKeptOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := range 1000 {
		request := testRequest(fmt.Sprint(i), "v", 1)
		request.Timeout = 20 * ms
		h.step(request)
		h.advance(20 * ms)
	}
	if len(h.responses) != 1000 {
		t.Fatalf("%d of 1000 requests have a response", len(h.responses))
	}
	if kept := h.scheduler.TableSizes().GivenUp; kept != 1 {
		t.Errorf("%d given-up requests kept, want the latest alone", kept)
	}
}

// TestRefusedRequestsAreLimited guards against refused requests that fill the memory until their
// clients' deadlines.
func TestRefusedRequestsAreLimited(t *testing.T) {
	const refused = 3 * maxGivenUpRequests
	givenUp := newGivenUpRequests()
	for i := range refused {
		givenUp.add(newGivenUp("r", fmt.Sprint(i), 0), 0)
	}
	if givenUp.len() != maxGivenUpRequests || len(givenUp.byKey) != maxGivenUpRequests {
		t.Errorf("%d requests with %d keys kept, want %d", givenUp.len(), len(givenUp.byKey), maxGivenUpRequests)
	}
	if givenUp.find(newGivenUp("retry", fmt.Sprint(refused-1), 0)) == nil {
		t.Error("the latest request is not found")
	}
	if givenUp.find(newGivenUp("retry", fmt.Sprint(refused-maxGivenUpRequests-1), 0)) != nil {
		t.Error("the oldest request is kept beyond the limit")
	}
}
