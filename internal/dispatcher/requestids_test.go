package dispatcher

import (
	"testing"
	"time"

	"dapplegate/scheduler"
)

// submitWithID submits a call under a client's request id, and steps the dispatcher.
func (h *harness) submitWithID(t *testing.T, id, class string) *Call {
	t.Helper()
	call := h.newCall(class, h.now)
	call.ClientRequestID = id
	if !h.Submit(call) {
		t.Fatal("not accepted")
	}
	h.step(h.now, h.inbox.Take(nil))
	return call
}

// TestRequestIDIsUsedOnce
//
// If a client reuses a request id, a target takes the second request for a hedged request of the first. So a request is a
// duplicate while one of its id is open, while the attempt of a cancelled one is in flight, and for a while after one that
// may have been executed. The id of a request that no target may have executed is free at once.
func TestRequestIDIsUsedOnce(t *testing.T) {
	h := newHarness(t)
	wantDuplicate := func(when string) {
		t.Helper()
		h.submitWithID(t, "a", "put")
		if len(h.responses) == 0 || h.lastResponse().Status != Duplicate {
			t.Errorf("%s: responses %+v, want a duplicate", when, h.responses)
		}
	}

	first := h.submitWithID(t, "a", "put")
	wantDuplicate("open")
	h.receive(callCancelled{first})
	wantDuplicate("cancelled, its attempt in flight")
	h.receive(attemptEnded{h.upstream.result(scheduler.Cancelled)})
	wantDuplicate("may have been executed")
	if len(h.upstream.sent) != 1 || h.OpenCalls() != 0 {
		t.Errorf("%d attempts, %d open calls; want one, none", len(h.upstream.sent), h.OpenCalls())
	}

	for range 3 {
		h.now = h.now.Add(executedIDLifetime + time.Second)
		h.submitWithID(t, "b", "put")
		h.receive(attemptEnded{h.upstream.result(scheduler.NotSent)})
		h.receive(endpointsUpdated{scheduler.EndpointList{Complete: true}})
		h.advance(2 * time.Second)
		if got := h.lastResponse(); got.Status != Rejected {
			t.Errorf("never sent: %+v, want it rejected", got)
		}
		h.receive(endpointsUpdated{oneTarget()})
	}

	h.submitWithID(t, "c", "get")
	h.receive(attemptEnded{h.upstream.result(scheduler.Succeeded)})
	ids := h.requestIDs
	if n := len(ids.open) + len(ids.executed) + len(ids.executedBefore); n != 1 {
		t.Errorf("%d ids are reserved, want the last alone", n)
	}
}

// TestRequestIDExpiresWithoutTraffic has a client use an id again long after a request that may have been executed, with
// nothing in between. Failure: ids expire only when an attempt ends, and the client gets a duplicate for a new request.
func TestRequestIDExpiresWithoutTraffic(t *testing.T) {
	for _, after := range []time.Duration{2*executedIDLifetime + time.Millisecond, time.Hour} {
		h := newHarness(t)
		h.submitWithID(t, "a", "put")
		h.receive(attemptEnded{h.upstream.result(scheduler.Succeeded)})
		h.now = h.now.Add(executedIDLifetime - time.Millisecond)
		h.submitWithID(t, "a", "put")
		if h.lastResponse().Status != Duplicate {
			t.Errorf("within its lifetime: %+v, want a duplicate", h.lastResponse())
		}
		h.now = h.now.Add(after)
		h.submitWithID(t, "a", "put")
		if len(h.upstream.sent) != 2 {
			t.Errorf("%v later: %+v, want it sent", after, h.lastResponse())
		}
	}
}
