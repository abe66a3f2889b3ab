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

// oneTarget returns a complete endpoint list with a single serving target.
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

// recordingUpstream is an upstream that records the calls of its methods and carries out no attempts.
type recordingUpstream struct {
	sent      []Attempt
	cancelled []string // target and request ID, as target/ID
}

func (r *recordingUpstream) Send(a Attempt) { r.sent = append(r.sent, a) }
func (r *recordingUpstream) Cancel(target, requestID string) {
	r.cancelled = append(r.cancelled, target+"/"+requestID)
}

// result returns a result with the given status for the attempt that was sent last.
func (r *recordingUpstream) result(status scheduler.AttemptStatus) AttemptResult {
	last := r.sent[len(r.sent)-1]
	return AttemptResult{RequestID: last.RequestID, Number: last.Number, Target: last.Target, Status: status}
}

// harness is a dispatcher that a test steps itself, with simulated time.
type harness struct {
	*Dispatcher
	upstream  *recordingUpstream
	now       time.Time
	responses []Response
}

func newHarness(t *testing.T) *harness {
	t.Helper()
	h := &harness{upstream: &recordingUpstream{}, now: time.Now()}
	h.Dispatcher = New(newScheduler(t), h.upstream, NewClock(),
		Options{MaxOpenCalls: 100, ResponseWriteMargin: 10 * time.Millisecond})
	h.receive(endpointsUpdated{oneTarget()})
	return h
}

// newCall returns a call whose response is recorded in h.responses.
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

// advance advances the simulated time in small increments and steps the dispatcher after each, so that timers fire.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(5 * time.Millisecond)
		h.step(h.now, nil)
	}
}

// TestCallGetsOneFinalResponse reports the result of an attempt three times, and the result of an attempt that was never
// sent. The client must get exactly one response.
func TestCallGetsOneFinalResponse(t *testing.T) {
	h := newHarness(t)
	h.receive(callSubmitted{h.newCall("get", h.now)})
	if len(h.upstream.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.upstream.sent))
	}
	result := h.upstream.result(scheduler.Succeeded)
	result.Payload = "body"
	neverSent := result
	neverSent.Number = 3
	h.receive(attemptEnded{neverSent}, attemptEnded{result}, attemptEnded{result})
	h.receive(attemptEnded{result})
	if len(h.responses) != 1 || h.responses[0].Status != Served || h.responses[0].Payload != "body" {
		t.Fatalf("responses %+v, want one that is Served, with the payload", h.responses)
	}
	if len(h.calls.byID) != 0 {
		t.Errorf("%d calls in the table, want none", len(h.calls.byID))
	}
}

// TestClientTimeoutStartsAtArrival checks that a client's timeout starts when the request arrives. A busy process may read
// the request long after that. If the timeout started then, the response would be written after the client has stopped
// waiting.
func TestClientTimeoutStartsAtArrival(t *testing.T) {
	h := newHarness(t)
	h.receive(callSubmitted{h.newCall("get", h.now.Add(-1500*time.Millisecond))})
	if len(h.upstream.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.upstream.sent))
	}
	if left := h.upstream.sent[0].Deadline.Sub(h.now); left > 490*time.Millisecond {
		t.Errorf("attempt times out in %v, but its client stops waiting in 500ms", left)
	}
}

// TestNonIdempotentIsNotRetried ends the attempt of a write in ways that leave open whether the target has executed it.
// There must be no second attempt, and the response must be Failed, which does not guarantee that a retry is safe.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	mayHaveExecuted := []scheduler.AttemptStatus{
		scheduler.ConnectionReset, scheduler.DeadlineExceeded, scheduler.Errored, scheduler.Cancelled,
	}
	for _, status := range mayHaveExecuted {
		h := newHarness(t)
		h.receive(callSubmitted{h.newCall("put", h.now)})
		h.receive(attemptEnded{h.upstream.result(status)})
		h.advance(3 * time.Second)
		if len(h.upstream.sent) != 1 {
			t.Errorf("%v: %d attempts, want 1", status, len(h.upstream.sent))
		}
		if len(h.responses) != 1 || h.responses[0].Status != Failed || h.responses[0].LastAttemptStatus != status {
			t.Errorf("%v: responses %+v, want one that is Failed", status, h.responses)
		}
	}
}

// TestLastAttemptIsLoggedOnlyAfterAttempt checks that the log line of a request's end has the status of the last attempt,
// and that this field is absent if there was no attempt. Otherwise the zero status would be logged, which means success.
func TestLastAttemptIsLoggedOnlyAfterAttempt(t *testing.T) {
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
		endLines := ""
		for line := range strings.Lines(log.String()) {
			if strings.Contains(line, eventRequestEnded) {
				endLines += line
			}
		}
		if strings.Count(endLines, "\n") != 1 {
			t.Fatalf("request with attempt: %v; logged %q at its end, want one line", hasAttempt, endLines)
		}
		wantField := fieldLastAttempt + "=" + scheduler.Errored.String()
		if strings.Contains(endLines, fieldLastAttempt+"=") != hasAttempt || strings.Contains(endLines, wantField) != hasAttempt {
			t.Errorf("request with attempt: %v; logged %q at its end, want the last attempt's status if any", hasAttempt, endLines)
		}
	}
}

// TestEndpointListsAreAppliedFirst checks that the scheduler gets endpoint lists before all other events of a batch. A
// request may precede the list that marks a target as draining. If the scheduler got the request first, it would send it to
// a target that is already known to be draining.
func TestEndpointListsAreAppliedFirst(t *testing.T) {
	h := newHarness(t)
	batch := func() []message {
		return []message{
			callSubmitted{h.newCall("get", h.now)},
			attemptEnded{AttemptResult{RequestID: "none"}},
			endpointsUpdated{scheduler.EndpointList{Targets: []scheduler.Target{{ID: targetID, State: scheduler.Draining}}}},
		}
	}
	if _, first := h.applyMessages(h.now, batch())[0].(scheduler.EndpointList); !first {
		t.Error("the first event is not the endpoint list")
	}
	h.receive(batch()...)
	if len(h.upstream.sent) != 0 {
		t.Errorf("sent to a target that is known to be draining: %+v", h.upstream.sent)
	}
}

// TestCancelledCallGetsNoResponse cancels a call with an attempt in flight. The attempt must be cancelled, the call must
// stay in the table until the attempt's result arrives, and there must be no response.
func TestCancelledCallGetsNoResponse(t *testing.T) {
	h := newHarness(t)
	call := h.newCall("get", h.now)
	h.receive(callSubmitted{call})
	h.receive(callCancelled{call})
	if len(h.upstream.cancelled) != 1 || len(h.calls.byID) != 1 {
		t.Fatalf("cancelled attempts %v, %d calls in the table; want one of each until the attempt's result",
			h.upstream.cancelled, len(h.calls.byID))
	}
	h.receive(attemptEnded{h.upstream.result(scheduler.Cancelled)})
	h.advance(3 * time.Second)
	if len(h.responses) != 0 || len(h.calls.byID) != 0 {
		t.Errorf("responses %v, %d calls in the table; want none", h.responses, len(h.calls.byID))
	}
}

// TestShutdownCancelsAttempts begins a shutdown with a write in flight. Its attempt must be cancelled at the shutdown's
// deadline and not before, and its client must still get a response.
func TestShutdownCancelsAttempts(t *testing.T) {
	h := newHarness(t)
	h.receive(callSubmitted{h.newCall("put", h.now)})
	h.receive(shutdownRequested{h.now.Add(time.Second)})
	h.advance(900 * time.Millisecond)
	if len(h.upstream.cancelled) != 0 || len(h.responses) != 0 {
		t.Fatalf("before the deadline: cancelled attempts %v, responses %+v; want none", h.upstream.cancelled, h.responses)
	}
	h.advance(200 * time.Millisecond)
	if len(h.upstream.cancelled) == 0 {
		t.Fatal("the attempt is still in flight after the deadline")
	}
	h.receive(attemptEnded{h.upstream.result(scheduler.Cancelled)})
	if len(h.responses) != 1 || h.responses[0].Status != Failed {
		t.Errorf("responses %+v, want one that is Failed", h.responses)
	}
}

// TestEarlierTimerKeepsShutdownDeadline begins a shutdown with an attempt in flight at a target that hangs, while an earlier
// timer of the scheduler is set. It steps the dispatcher only when a timer is due, as happens in a process without other
// traffic. The attempt must be cancelled at the shutdown's deadline.
//
// Guards against the earlier timer clearing the deadline's timer when it is due. The attempt would then be cancelled only at
// the next event or never, and SIGKILL could end the process before the request has a response.
func TestEarlierTimerKeepsShutdownDeadline(t *testing.T) {
	h := newHarness(t)
	call := h.newCall("put", h.now)
	call.ClientTimeout = time.Minute
	h.receive(callSubmitted{call})
	deadline := h.now.Add(time.Second)
	h.receive(shutdownRequested{deadline})
	h.setTimer(h.now.Add(500 * time.Millisecond)) // stands for a timer of the scheduler
	for len(h.upstream.cancelled) == 0 {
		if h.nextTimer.IsZero() || h.nextTimer.After(deadline) {
			t.Fatalf("the next timer is %v after the deadline, but the attempt is still in flight", h.nextTimer.Sub(deadline))
		}
		h.now = h.nextTimer
		h.step(h.now, nil)
	}
	if h.now.Before(deadline) {
		t.Errorf("cancelled %v before the deadline", deadline.Sub(h.now))
	}
}

// TestSchedulerTimeNeverGoesBack steps the dispatcher with a time before that of the previous step, as after a fault of the
// platform's clock. The scheduler requires that its time never decreases, so the dispatcher must not pass that time on.
func TestSchedulerTimeNeverGoesBack(t *testing.T) {
	h := newHarness(t)
	before := h.lastStep
	h.step(h.now.Add(-time.Second), []message{callSubmitted{h.newCall("get", h.now)}})
	if h.lastStep < before {
		t.Errorf("scheduler time went back from %v to %v", before, h.lastStep)
	}
}

// TestRetryStartsWithinDedupWindow checks that a retry of a request with an idempotency key must start within the dedup
// window of its class, since targets discard duplicates only in that time. The dispatcher must convert the scheduler's
// SendWithin to the attempt's SendBy.
func TestRetryStartsWithinDedupWindow(t *testing.T) {
	const dedupWindow = time.Second
	h := newHarness(t)
	for _, class := range []string{"get", "keyed"} {
		h.upstream.sent = nil
		h.receive(callSubmitted{h.newCall(class, h.now)})
		began := h.now
		if len(h.upstream.sent) != 1 || !h.upstream.sent[0].SendBy.IsZero() {
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
		if got := h.upstream.sent[1].SendBy; !got.Equal(want) {
			t.Errorf("%s: retry has SendBy %v, want %v", class, got, want)
		}
		h.receive(attemptEnded{h.upstream.result(scheduler.Succeeded)})
	}
}

// echoUpstream is an upstream that reports each attempt as succeeded, from a separate goroutine.
type echoUpstream struct{ dispatcher *Dispatcher }

func (e *echoUpstream) Send(a Attempt) {
	result := AttemptResult{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Status: scheduler.Succeeded}
	go e.dispatcher.ReportResult(result)
}
func (e *echoUpstream) Cancel(string, string) {}

// loadClient submits calls from many goroutines and counts their responses.
type loadClient struct {
	dispatcher *Dispatcher
	open       sync.WaitGroup // accepted calls that have no response yet

	mu        sync.Mutex
	accepted  int
	responses map[string]int // number of responses by volume; each call has a volume of its own
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

// TestEveryCallGetsOneResponseUnderLoad submits more calls than may be open at a time, from many goroutines. Each call that
// Submit accepts must get exactly one response.
func TestEveryCallGetsOneResponseUnderLoad(t *testing.T) {
	upstream := &echoUpstream{}
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
		t.Errorf("%d calls accepted, %d got a response", client.accepted, len(client.responses))
	}
	for volume, n := range client.responses {
		if n != 1 {
			t.Errorf("%s: %d responses, want 1", volume, n)
		}
	}
}
