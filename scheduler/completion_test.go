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

// TestRequestWithoutAttemptIsRejectedByHalfTimeout queues a request that cannot be sent. A client that is
// held back until its timeout has no time for a retry, so it must be rejected by half of it.
func TestRequestWithoutAttemptIsRejectedByHalfTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 1)) // no target has shard 0
	request := testRequest("a", "v", 1)
	request.Timeout = time.Second
	h.step(request)
	h.advance(500 * ms)
	if len(h.responses) != 1 || h.responses[0].Kind != Reject {
		t.Fatalf("responses %v by half the timeout, want one rejection", h.responses)
	}
}

// TestRequestAfterAttemptHasWholeTimeout has a target reject an attempt and then drain. The request was
// sent, so it keeps its whole timeout for a retry, and is rejected at the end of it.
func TestRequestAfterAttemptHasWholeTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("a", "v", 1))
	h.endAttempt("a", Rejected, ms)
	h.step(EndpointList{Targets: []Target{{ID: testTarget, State: Draining}}})
	h.advance(1900 * ms)
	if len(h.responses) != 0 {
		t.Fatalf("responses %v early", h.responses)
	}
	h.advance(100 * ms)
	if len(h.responses) != 1 || h.responses[0].Kind != Reject {
		t.Fatalf("responses %v, want one rejection", h.responses)
	}
}

// TestUnsentAttemptIsRejectedByHalfTimeout has attempts that found no connection, or were not sent. They do
// not count as sent: the request is rejected by half of its timeout.
func TestUnsentAttemptIsRejectedByHalfTimeout(t *testing.T) {
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

// TestLongAttemptIsAnsweredOnce has a target reject an attempt that was in flight past half of the timeout.
// The request has the rest of its timeout, and then exactly one response.
func TestLongAttemptIsAnsweredOnce(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("a", "v", 1))
	h.advance(1500 * ms)
	h.endAttempt("a", Rejected, 1500*ms)
	h.step(EndpointList{Targets: []Target{{ID: testTarget, State: Draining}}})
	h.advance(400 * ms)
	if len(h.responses) != 0 {
		t.Errorf("responses %v with time left", h.responses)
	}
	h.advance(200 * ms)
	if len(h.responses) != 1 {
		t.Errorf("responses %v, want one", h.responses)
	}
}

// TestShutdownMovesDeadlines shuts down within 0.5 s while requests have 2 s left. A queued request, one
// that arrives later and one whose attempt is cancelled must each have one response by then.
func TestShutdownMovesDeadlines(t *testing.T) {
	h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
	h.step(testRequest("sent", "v", 1))
	queued := testRequest("queued", "v", 1)
	queued.Shard = 1 // no target has it
	h.step(queued)
	h.advance(100 * ms)
	shutdownAt := h.now
	h.step(Shutdown{GracePeriod: 500 * ms})
	late := testRequest("late", "v", 1)
	late.Shard = 1
	h.advance(400 * ms)
	h.step(late)
	h.advance(100 * ms)
	h.endAttempt("sent", Cancelled, 600*ms)
	h.advance(5 * ms)
	ended := map[string]bool{}
	for _, a := range h.responses {
		ended[a.RequestID] = true
	}
	if !ended["queued"] || !ended["late"] || !ended["sent"] || len(h.responses) != 3 {
		t.Errorf("responses %v after %v, want one for each of three", h.responses, h.now-shutdownAt)
	}
}

// TestRequestAfterShutdownIsNotSent has a request arrive when the time of a shutdown is just over, and later. Failure: it is
// queued with a deadline in the past, gets one tick until it is given up, and may be sent in it, for a response that comes too
// late.
func TestRequestAfterShutdownIsNotSent(t *testing.T) {
	const within = 500 * ms
	for _, after := range []time.Duration{within, within + ms, 2 * within} {
		h := newHarness(t, testSettings(), servingTarget(testTarget, 0))
		h.step(Shutdown{GracePeriod: within})
		h.now += after
		h.step(testRequest("a", "v", 1))
		if len(h.sends) != 0 || len(h.responses) != 1 || h.responses[0].Kind != Reject {
			t.Errorf("after %v: sends %v, responses %v; want one rejection", after, h.sends, h.responses)
		}
	}
}

// TestRetryAfterIsNotNegative gives a request up that is past its objective, before and after its deadline. Failure: a result
// that comes after the deadline makes the advice to the client a time in the past.
func TestRetryAfterIsNotNegative(t *testing.T) {
	h := newHarness(t, testSettings())
	for left, want := range map[time.Duration]time.Duration{300 * ms: 300 * ms, -50 * ms: 0} {
		r := &request{pastObjective: true, deadline: h.now + left}
		if got := h.scheduler.retryAfter(r); got != want {
			t.Errorf("with %v left: Retry-After %v, want %v", left, got, want)
		}
	}
}
