package dispatcher

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"dapplegate/scheduler"
)

const targetID = "n"

// oneTarget is a complete endpoint list with one target that serves.
func oneTarget() scheduler.EndpointList {
	return scheduler.EndpointList{Complete: true, Targets: []scheduler.Target{{ID: targetID}}}
}

func newScheduler(t *testing.T) *scheduler.Scheduler {
	t.Helper()
	class := func(name string, idempotency scheduler.Idempotency) scheduler.Class {
		return scheduler.Class{Name: name, LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second,
			PriorityWeight: 1, Idempotency: idempotency}
	}
	keyed := class("keyed", scheduler.IdempotencyKey)
	keyed.DedupWindow = time.Second
	s, err := scheduler.New(scheduler.Settings{
		Initiators: 1,
		Tick:       time.Millisecond,
		MeanUnits:  1,
		MaxUnits:   1,
		Classes:    []scheduler.Class{class("get", scheduler.Idempotent), class("put", scheduler.NonIdempotent), keyed},
		Plans:      []scheduler.Plan{{Name: "std", ProvisionedRate: 1000, Reservation: 1000, PriorityFactor: 1}},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// recorder is an upstream that records its calls and carries out nothing.
type recorder struct {
	sent      []Attempt
	cancelled []string // target/request id
}

func (r *recorder) Send(a Attempt) { r.sent = append(r.sent, a) }
func (r *recorder) Cancel(target, requestID string) {
	r.cancelled = append(r.cancelled, target+"/"+requestID)
}

// result ends the attempt that was sent last.
func (r *recorder) result(status scheduler.AttemptStatus) AttemptResult {
	last := r.sent[len(r.sent)-1]
	return AttemptResult{RequestID: last.RequestID, Number: last.Number, Target: last.Target, Status: status}
}

// harness is a dispatcher that the test steps itself, at times of its own.
type harness struct {
	*Dispatcher
	upstream  *recorder
	now       time.Time
	responses []Response
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{upstream: &recorder{}, now: time.Now()}
	h.Dispatcher = New(newScheduler(t), h.upstream, NewClock(), Options{MaxOpenCalls: 100, ResponseWriteMargin: 10 * time.Millisecond})
	h.receive(endpointsUpdated{oneTarget()})
	return h
}

// newCall returns a call whose response is recorded.
func (h *harness) newCall(class string, receivedAt time.Time) *Call {
	return &Call{
		Request:       scheduler.Request{Class: class, Plan: "std", Volume: "v", Units: 1, Initiators: 1},
		ReceivedAt:    receivedAt,
		ClientTimeout: 2 * time.Second,
		Respond:       func(r Response) { h.responses = append(h.responses, r) },
	}
}

func (h *harness) lastResponse() Response { return h.responses[len(h.responses)-1] }

// receive steps the dispatcher with a batch of messages.
func (h *harness) receive(batch ...message) { h.step(h.now, batch) }

// advance moves the time on and steps the dispatcher on the way, so that timers fire.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(5 * time.Millisecond)
		h.step(h.now, nil)
	}
}

// TestOneFinalResponse reports the result of an attempt three times, and one of an attempt that was never sent: the client
// gets one response.
func TestOneFinalResponse(t *testing.T) {
	h := newHarness(t)
	h.receive(callSubmitted{h.newCall("get", h.now)})
	if len(h.upstream.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.upstream.sent))
	}
	result := h.upstream.result(scheduler.Succeeded)
	result.Payload = "body"
	unknown := result
	unknown.Number = 3
	h.receive(attemptEnded{unknown}, attemptEnded{result}, attemptEnded{result})
	h.receive(attemptEnded{result})
	if len(h.responses) != 1 || h.responses[0].Status != Served || h.responses[0].Payload != "body" {
		t.Fatalf("responses %+v, want one", h.responses)
	}
	if len(h.calls.byID) != 0 {
		t.Errorf("%d calls are held, want none", len(h.calls.byID))
	}
}

// TestTimeoutRunsFromArrival
//
// A busy process may read a request long after it has arrived. If the client's timeout counted from then on, the response
// would be written after the client has left. What is left for the attempt must count from the arrival.
func TestTimeoutRunsFromArrival(t *testing.T) {
	h := newHarness(t)
	h.receive(callSubmitted{h.newCall("get", h.now.Add(-1500*time.Millisecond))})
	if len(h.upstream.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.upstream.sent))
	}
	if left := h.upstream.sent[0].Deadline.Sub(h.now); left > 490*time.Millisecond {
		t.Errorf("attempt may last %v, but its client leaves in 500ms", left)
	}
}

// TestNonIdempotentIsNotRetried ends the attempt of a write in doubt: there is no second attempt, and the response is a
// failure, which makes no promise that a retry is harmless.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	inDoubt := []scheduler.AttemptStatus{scheduler.ConnectionReset, scheduler.DeadlineExceeded, scheduler.Errored, scheduler.Cancelled}
	for _, status := range inDoubt {
		h := newHarness(t)
		h.receive(callSubmitted{h.newCall("put", h.now)})
		h.receive(attemptEnded{h.upstream.result(status)})
		h.advance(3 * time.Second)
		if len(h.upstream.sent) != 1 {
			t.Errorf("%v: %d attempts, want 1", status, len(h.upstream.sent))
		}
		if len(h.responses) != 1 || h.responses[0].Status != Failed || h.responses[0].LastAttemptStatus != status {
			t.Errorf("%v: responses %+v, want one failure", status, h.responses)
		}
	}
}

// TestLastAttemptIsLoggedAfterAttempt checks that the log line of a request's end gives the status of its last attempt, and that
// the field is absent if there was none: the zero status would read as a success.
func TestLastAttemptIsLoggedAfterAttempt(t *testing.T) {
	for _, hasAttempt := range []bool{false, true} {
		h := newHarness(t)
		var log bytes.Buffer
		h.options.Logger = slog.New(slog.NewTextHandler(&log, &slog.HandlerOptions{Level: slog.LevelDebug}))
		if !hasAttempt {
			h.receive(endpointsUpdated{scheduler.EndpointList{Complete: true}})
		}
		h.receive(callSubmitted{h.newCall("put", h.now)})
		if hasAttempt {
			h.receive(attemptEnded{h.upstream.result(scheduler.Errored)})
		}
		h.advance(3 * time.Second)
		ended := ""
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, eventRequestEnded) {
				ended += line
			}
		}
		if strings.Count(ended, "\n") != 1 {
			t.Fatalf("request with attempt: %v; log of its end %q, want one line", hasAttempt, ended)
		}
		wantField := fieldLastAttempt + "=" + scheduler.Errored.String()
		if strings.Contains(ended, fieldLastAttempt+"=") != hasAttempt || strings.Contains(ended, wantField) != hasAttempt {
			t.Errorf("request with attempt: %v; log of its end %q", hasAttempt, ended)
		}
	}
}

// TestEndpointsComeFirst
//
// A target's drain notice may wait behind a request in the same batch. If the request went first, it would be sent to a target
// that is known to drain. Endpoint lists go to the scheduler ahead of everything else in their batch.
func TestEndpointsComeFirst(t *testing.T) {
	h := newHarness(t)
	batch := func() []message {
		return []message{
			callSubmitted{h.newCall("get", h.now)},
			attemptEnded{AttemptResult{RequestID: "none"}},
			endpointsUpdated{scheduler.EndpointList{Targets: []scheduler.Target{{ID: targetID, State: scheduler.Draining}}}},
		}
	}
	if _, first := h.applyMessages(h.now, batch())[0].(scheduler.EndpointList); !first {
		t.Error("the endpoint list is behind the request")
	}
	h.receive(batch()...)
	if len(h.upstream.sent) != 0 {
		t.Errorf("sent to a target known to drain: %+v", h.upstream.sent)
	}
}

// TestCancelledCallGetsNoResponse checks that the attempt of a call that its client has left is cancelled, that the call is
// held until the attempt's result, and that there is no response.
func TestCancelledCallGetsNoResponse(t *testing.T) {
	h := newHarness(t)
	call := h.newCall("get", h.now)
	h.receive(callSubmitted{call})
	h.receive(callCancelled{call})
	if len(h.upstream.cancelled) != 1 || len(h.calls.byID) != 1 {
		t.Fatalf("cancelled %v, %d calls held; want it cancelled, and held until its result",
			h.upstream.cancelled, len(h.calls.byID))
	}
	h.receive(attemptEnded{h.upstream.result(scheduler.Cancelled)})
	h.advance(3 * time.Second)
	if len(h.responses) != 0 || len(h.calls.byID) != 0 {
		t.Errorf("responses %v, %d calls held; want none", h.responses, len(h.calls.byID))
	}
}

// TestShutdownCancelsAttempts begins a shutdown with a write in flight: its attempt is left alone until the shutdown's
// deadline, cancelled then, and its client still gets a response.
func TestShutdownCancelsAttempts(t *testing.T) {
	h := newHarness(t)
	h.receive(callSubmitted{h.newCall("put", h.now)})
	h.receive(shutdownRequested{h.now.Add(time.Second)})
	h.advance(900 * time.Millisecond)
	if len(h.upstream.cancelled) != 0 || len(h.responses) != 0 {
		t.Fatalf("before the deadline: cancelled %v, responses %+v; want none", h.upstream.cancelled, h.responses)
	}
	h.advance(200 * time.Millisecond)
	if len(h.upstream.cancelled) == 0 {
		t.Fatal("the attempt is in flight after the deadline")
	}
	h.receive(attemptEnded{h.upstream.result(scheduler.Cancelled)})
	if len(h.responses) != 1 || h.responses[0].Status != Failed {
		t.Errorf("responses %+v, want one failure", h.responses)
	}
}

// TestShutdownDeadlineOutlastsEarlierTimer begins a shutdown with an attempt in flight at a target that hangs, while an earlier
// timer of the scheduler is set, and steps the dispatcher at its timers alone, as a process without other traffic does.
//
// Rule: the attempt is cancelled at the shutdown's deadline. Failure: the earlier timer takes the deadline's along when it comes
// due, and the attempt is cancelled only at the next event, or never: SIGKILL finds the request without a response.
func TestShutdownDeadlineOutlastsEarlierTimer(t *testing.T) {
	h := newHarness(t)
	call := h.newCall("put", h.now)
	call.ClientTimeout = time.Minute
	h.receive(callSubmitted{call})
	deadline := h.now.Add(time.Second)
	h.receive(shutdownRequested{deadline})
	h.setTimer(h.now.Add(500 * time.Millisecond)) // as for a timer of the scheduler
	for len(h.upstream.cancelled) == 0 {
		if h.nextTimer.IsZero() || h.nextTimer.After(deadline) {
			t.Fatalf("the next timer is %v after the deadline, with the attempt still in flight", h.nextTimer.Sub(deadline))
		}
		h.now = h.nextTimer
		h.step(h.now, nil)
	}
	if h.now.Before(deadline) {
		t.Errorf("cancelled %v before the deadline", deadline.Sub(h.now))
	}
}

// TestSchedulerTimeNeverGoesBack steps the dispatcher with times out of order.
func TestSchedulerTimeNeverGoesBack(t *testing.T) {
	h := newHarness(t)
	before := h.lastStep
	h.step(h.now.Add(-time.Second), []message{callSubmitted{h.newCall("get", h.now)}})
	if h.lastStep < before {
		t.Errorf("time went from %v to %v", before, h.lastStep)
	}
}

// TestRetryStartsWithinDedupWindow
//
// A target drops a repeat of a request with an idempotency key only within its dedup window, so a retry must not begin after
// that. The scheduler says within what time an attempt must start, and the dispatcher passes that on as a time.
func TestRetryStartsWithinDedupWindow(t *testing.T) {
	const dedupWindow = time.Second
	h := newHarness(t)
	for _, class := range []string{"get", "keyed"} {
		h.upstream.sent = nil
		h.receive(callSubmitted{h.newCall(class, h.now)})
		began := h.now
		if len(h.upstream.sent) != 1 || !h.upstream.sent[0].StartBy.IsZero() {
			t.Fatalf("%s: attempts %+v, want one that may start at any time", class, h.upstream.sent)
		}
		h.receive(attemptEnded{h.upstream.result(scheduler.ConnectionReset)})
		h.advance(300 * time.Millisecond)
		if len(h.upstream.sent) != 2 {
			t.Fatalf("%s: %d attempts, want a retry", class, len(h.upstream.sent))
		}
		var want time.Time
		if class == "keyed" {
			want = began.Add(dedupWindow)
		}
		if got := h.upstream.sent[1].StartBy; !got.Equal(want) {
			t.Errorf("%s: must start by %v, want %v", class, got, want)
		}
		h.receive(attemptEnded{h.upstream.result(scheduler.Succeeded)})
	}
}

// echo is an upstream that ends each attempt with success, from a goroutine of its own.
type echo struct{ dispatcher *Dispatcher }

func (e *echo) Send(a Attempt) {
	result := AttemptResult{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Status: scheduler.Succeeded}
	go e.dispatcher.ReportResult(result)
}
func (e *echo) Cancel(string, string) {}

// loadClient submits calls from many goroutines and counts their responses.
type loadClient struct {
	dispatcher *Dispatcher
	open       sync.WaitGroup // accepted calls without a response

	mu        sync.Mutex
	accepted  int
	responses map[string]int // by volume, which is each call's own
}

func (c *loadClient) submit(volume string) {
	call := &Call{
		Request:       scheduler.Request{Class: "get", Plan: "std", Volume: volume, Units: 1, Initiators: 1},
		ReceivedAt:    time.Now(),
		ClientTimeout: 2 * time.Second,
		Respond: func(Response) {
			c.mu.Lock()
			c.responses[volume]++
			c.mu.Unlock()
			c.open.Done()
		},
	}
	c.open.Add(1)
	if !c.dispatcher.Submit(call) {
		c.open.Done()
		return
	}
	c.mu.Lock()
	c.accepted++
	c.mu.Unlock()
}

// TestNothingIsLostUnderLoad submits calls from many goroutines, more than may be open at a time: each accepted call gets
// exactly one response, and Submit says which are not accepted.
func TestNothingIsLostUnderLoad(t *testing.T) {
	upstream := &echo{}
	d := New(newScheduler(t), upstream, NewClock(), Options{MaxOpenCalls: 500})
	upstream.dispatcher = d
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go d.Run(ctx)
	d.UpdateEndpoints(oneTarget())

	client := &loadClient{dispatcher: d, responses: map[string]int{}}
	var submitting sync.WaitGroup
	for worker := range 20 {
		submitting.Go(func() {
			for i := range 100 {
				client.submit(fmt.Sprint(worker, "/", i))
			}
		})
	}
	submitting.Wait()
	client.open.Wait()
	if len(client.responses) != client.accepted {
		t.Errorf("%d calls accepted, %d answered", client.accepted, len(client.responses))
	}
	for volume, n := range client.responses {
		if n != 1 {
			t.Errorf("%s: %d responses", volume, n)
		}
	}
}
