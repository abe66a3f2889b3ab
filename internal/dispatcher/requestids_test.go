package dispatcher

import (
	"testing"
	"time"

	"dapplegate/scheduler"
)

// submitWithID submits a call with the given client request ID and steps the dispatcher.
func (h *harness) submitWithID(t *testing.T, id, class string) *Call {
	t.Helper()
	call := h.newCall(class, h.now)
	call.ClientRequestID = id
	if !h.Submit(call) {
		t.Fatal("the call was not accepted")
	}
	h.step(h.now, h.inbox.Take(nil))
	return call
}

// TestReusedRequestIDIsDuplicate checks how long a request ID stays reserved. If a client reused an ID, a target would treat
// the second request as a hedged request of the first. A request is therefore a duplicate while a request with the same ID
// is open, while the attempt of a cancelled one is in flight, and for some time after one that may have been executed. If no
// target can have executed a request, its ID is free at once.
func TestReusedRequestIDIsDuplicate(t *testing.T) {
	h := newHarness(t)
	wantDuplicate := func(when string) {
		t.Helper()
		h.submitWithID(t, "a", "put")
		if len(h.responses) == 0 || h.lastResponse().Status != Duplicate {
			t.Errorf("%s: responses %+v, want Duplicate as the last", when, h.responses)
		}
	}

	first := h.submitWithID(t, "a", "put")
	wantDuplicate("the first is open")
	h.receive(callCancelled{first})
	wantDuplicate("the first is cancelled, its attempt in flight")
	h.receive(attemptEnded{h.upstream.result(scheduler.Cancelled)})
	wantDuplicate("the first may have been executed")
	if len(h.upstream.sent) != 1 || h.OpenCalls() != 0 {
		t.Errorf("%d attempts, %d open calls; want 1 and 0", len(h.upstream.sent), h.OpenCalls())
	}

	for range 3 {
		h.now = h.now.Add(executedIDLifetime + time.Second)
		h.submitWithID(t, "b", "put")
		h.receive(attemptEnded{h.upstream.result(scheduler.NotSent)})
		h.receive(endpointsUpdated{scheduler.EndpointList{Complete: true}})
		h.advance(2 * time.Second)
		if got := h.lastResponse(); got.Status != Rejected {
			t.Errorf("request that was never sent: response %+v, want Rejected", got)
		}
		h.receive(endpointsUpdated{oneTarget()})
	}

	h.submitWithID(t, "c", "get")
	h.receive(attemptEnded{h.upstream.result(scheduler.Succeeded)})
	ids := h.clientRequestIDs
	if n := len(ids.open) + len(ids.executed) + len(ids.prevExecuted); n != 1 {
		t.Errorf("%d IDs are reserved, want only the last one", n)
	}
}

// TestRequestIDExpiresWithoutTraffic has a client reuse an ID long after a request that may have been executed, with no
// traffic in between. Guards against IDs that expire only when an attempt ends: the client would get Duplicate for a new
// request.
func TestRequestIDExpiresWithoutTraffic(t *testing.T) {
	for _, after := range []time.Duration{2*executedIDLifetime + time.Millisecond, time.Hour} {
		h := newHarness(t)
		h.submitWithID(t, "a", "put")
		h.receive(attemptEnded{h.upstream.result(scheduler.Succeeded)})
		h.now = h.now.Add(executedIDLifetime - time.Millisecond)
		h.submitWithID(t, "a", "put")
		if h.lastResponse().Status != Duplicate {
			t.Errorf("within the ID's lifetime: response %+v, want Duplicate", h.lastResponse())
		}
		h.now = h.now.Add(after)
		h.submitWithID(t, "a", "put")
		if len(h.upstream.sent) != 2 {
			t.Errorf("%v later: response %+v, want the request to be sent", after, h.lastResponse())
		}
	}
}
