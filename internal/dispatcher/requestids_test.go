package dispatcher

import (
	"testing"
	"time"

	"dapplegate/scheduler"
)

// TestRequestIDIsUsedOnce
//
// A client reused a request id, and the target took the second request for a hedged request of the first. A request is a
// duplicate while one of its id is open, while the attempt of a cancelled one is in flight, and for a while after one that
// may have been executed. The id of a request that no target has seen may be used again.
func TestRequestIDIsUsedOnce(t *testing.T) {
	h := newHarness(t)
	submit := func(id, class string) *Call {
		call := h.newCall(class, h.now)
		call.ClientRequestID = id
		if !h.Submit(call) {
			t.Fatal("not accepted")
		}
		h.step(h.now, h.inbox.Take(nil))
		return call
	}
	wantDuplicate := func(when string) {
		t.Helper()
		submit("a", "put")
		if len(h.responses) == 0 || h.lastResponse().Status != Duplicate {
			t.Errorf("%s: responses %+v, want a duplicate", when, h.responses)
		}
	}

	first := submit("a", "put")
	wantDuplicate("open")
	h.receive(callCancelled{first})
	wantDuplicate("cancelled, its attempt in flight")
	h.receive(attemptFinished{h.upstream.result(scheduler.Cancelled)})
	wantDuplicate("may have been executed")
	if len(h.upstream.sent) != 1 || h.OpenCalls() != 0 {
		t.Errorf("%d attempts, %d open calls; want one, none", len(h.upstream.sent), h.OpenCalls())
	}

	for range 3 {
		h.now = h.now.Add(executedIDLifetime + time.Second)
		submit("b", "put")
		h.receive(attemptFinished{h.upstream.result(scheduler.NotSent)})
		h.receive(endpointsUpdated{scheduler.EndpointList{Complete: true}})
		h.advance(2 * time.Second)
		if got := h.lastResponse(); got.Status != Rejected {
			t.Errorf("never sent: %+v, want it rejected", got)
		}
		h.receive(endpointsUpdated{oneTarget()})
	}

	submit("c", "get")
	h.receive(attemptFinished{h.upstream.result(scheduler.Succeeded)})
	ids := h.requestIDs
	if n := len(ids.open) + len(ids.executed) + len(ids.executedBefore); n != 1 {
		t.Errorf("%d ids are reserved, want the last alone", n)
	}
}
