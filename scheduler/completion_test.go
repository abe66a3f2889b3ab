package scheduler

import (
	"testing"
	"time"
)

// TestQueuedRequestIsRejectedBeforeTimeout queues a request for a shard that no target serves. It must be
// rejected before its timeout.
func TestQueuedRequestIsRejectedBeforeTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 1))
	request := testRequest("a", "v", 1)
	request.Timeout = 100 * ms
	h.step(request)
	h.advance(98 * ms)
	if len(h.sends) != 0 || len(h.responses) != 1 || h.responses[0].Kind != Reject {
		t.Fatalf("sends %v, responses %v; want one rejection", h.sends, h.responses)
	}
}

// TestRequestWithoutAttemptIsRejectedByHalfTimeout queues a request that cannot be sent. It must be
// rejected by half of its timeout, because a client that waits for the whole timeout has no time left for
// a retry.
func TestRequestWithoutAttemptIsRejectedByHalfTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 1)) // no target serves shard 0
	request := testRequest("a", "v", 1)
	request.Timeout = time.Second
	h.step(request)
	h.advance(500 * ms)
	if len(h.responses) != 1 || h.responses[0].Kind != Reject {
		t.Fatalf("responses %v by half the timeout, want one rejection", h.responses)
	}
}

// TestRequestAfterAttemptHasWholeTimeout has a target reject an attempt and then drain. Since the request
// was sent, it must keep its whole timeout for a retry, and be rejected at the end of it.
func TestRequestAfterAttemptHasWholeTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("a", "v", 1))
	h.endAttempt("a", Rejected, ms)
	h.step(EndpointList{Targets: []Target{{ID: testTarget, State: Draining}}})
	h.advance(1900 * ms)
	if len(h.responses) != 0 {
		t.Fatalf("responses %v before the end of the timeout, want none", h.responses)
	}
	h.advance(100 * ms)
	if len(h.responses) != 1 || h.responses[0].Kind != Reject {
		t.Fatalf("responses %v, want one rejection", h.responses)
	}
}

// TestRequestWithUnsentAttemptIsRejectedByHalfTimeout ends attempts that got no connection or were not
// sent. They must not count as sent: the request must be rejected by half of its timeout.
func TestRequestWithUnsentAttemptIsRejectedByHalfTimeout(t *testing.T) {
	for _, status := range []AttemptStatus{ConnectFailed, NotSent} {
		h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
		h.step(testRequest("a", "v", 1))
		h.endAttempt("a", status, ms)
		h.step(EndpointList{Targets: []Target{{ID: testTarget, State: Draining}}})
		h.advance(time.Second)
		if len(h.responses) != 1 || h.responses[0].Kind != Reject {
			t.Errorf("status %v: responses %v by half the timeout, want one rejection", status, h.responses)
		}
	}
}

// TestRequestWithLongAttemptHasOneResponse has a target reject an attempt that was in flight past half of
// the timeout. The request must keep the rest of its timeout, and then get exactly one response.
func TestRequestWithLongAttemptHasOneResponse(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("a", "v", 1))
	h.advance(1500 * ms)
	h.endAttempt("a", Rejected, 1500*ms)
	h.step(EndpointList{Targets: []Target{{ID: testTarget, State: Draining}}})
	h.advance(400 * ms)
	if len(h.responses) != 0 {
		t.Errorf("responses %v before the end of the timeout, want none", h.responses)
	}
	h.advance(200 * ms)
	if len(h.responses) != 1 {
		t.Errorf("responses %v, want one", h.responses)
	}
}

// TestShutdownShortensDeadlines begins a shutdown with a grace period of 0.5 s while requests have 2 s
// left. A queued request, one that arrives later and one whose attempt is cancelled must each get one
// response by then.
func TestShutdownShortensDeadlines(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("sent", "v", 1))
	queued := testRequest("queued", "v", 1)
	queued.Shard = 1 // no target serves it
	h.step(queued)
	h.advance(100 * ms)
	shutdownAt := h.now
	h.step(Shutdown{GracePeriod: 500 * ms})
	afterShutdown := testRequest("late", "v", 1)
	afterShutdown.Shard = 1
	h.advance(400 * ms)
	h.step(afterShutdown)
	h.advance(100 * ms)
	h.endAttempt("sent", Cancelled, 600*ms)
	h.advance(5 * ms)
	ended := map[string]bool{}
	for _, a := range h.responses {
		ended[a.RequestID] = true
	}
	if !ended["queued"] || !ended["late"] || !ended["sent"] || len(h.responses) != 3 {
		t.Errorf("responses %v within %v, want one for each of three requests", h.responses, h.now-shutdownAt)
	}
}

// TestRequestAfterShutdownIsNotSent has a request arrive at the end of the grace period of a shutdown,
// and later. It must not be queued with a deadline in the past: it would be given up one tick later, and
// might be sent in between although its response comes too late.
func TestRequestAfterShutdownIsNotSent(t *testing.T) {
	const gracePeriod = 500 * ms
	for _, after := range []time.Duration{gracePeriod, gracePeriod + ms, 2 * gracePeriod} {
		h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
		h.step(Shutdown{GracePeriod: gracePeriod})
		h.now += after
		h.step(testRequest("a", "v", 1))
		if len(h.sends) != 0 || len(h.responses) != 1 || h.responses[0].Kind != Reject {
			t.Errorf("after %v: sends %v, responses %v; want one rejection", after, h.sends, h.responses)
		}
	}
}

// TestRetryAfterIsNotNegative computes the Retry-After of a request past its objective, before and after
// its deadline. An attempt can end after the deadline, and the advice to the client must not be a time in
// the past then.
func TestRetryAfterIsNotNegative(t *testing.T) {
	h := newHarness(t, testSettings())
	for left, want := range map[time.Duration]time.Duration{300 * ms: 300 * ms, -50 * ms: 0} {
		r := &request{pastObjective: true, deadline: h.now + left}
		if got := h.scheduler.retryAfter(r); got != want {
			t.Errorf("with %v left: Retry-After %v, want %v", left, got, want)
		}
	}
}
