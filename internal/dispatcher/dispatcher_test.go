package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"dapplegate/scheduler"
)

// fake is an upstream that notes what it is told.
type fake struct {
	sent      []Attempt
	cancelled []string
}

func (f *fake) Send(a Attempt)              { f.sent = append(f.sent, a) }
func (f *fake) Cancel(node, request string) { f.cancelled = append(f.cancelled, node+"/"+request) }

func module(t *testing.T) *scheduler.Scheduler {
	t.Helper()
	m, err := scheduler.New(scheduler.Settings{Initiators: 1, Tick: time.Millisecond, MeanUnits: 1, MaxUnits: 1,
		Classes: []scheduler.Class{{Name: "get", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
			{Name: "put", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.NonIdempotent},
			{Name: "keyed", LatencyObjective: 400 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, Idempotency: scheduler.IdempotencyKey, DedupWindow: time.Second}},
		Plans: []scheduler.Plan{{Name: "std", ProvisionedRate: 1000, Reservation: 1000, PriorityFactor: 1}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// hand is a core stepped by hand.
type hand struct {
	*Dispatcher
	up  *fake
	now time.Time
}

func newHand(t *testing.T) *hand {
	h := &hand{up: &fake{}, now: time.Now()}
	h.Dispatcher = New(module(t), h.up, NewClock(), Options{MaxOpenCalls: 100, AnswerMargin: 10 * time.Millisecond})
	h.step(h.now, []any{scheduler.EndpointList{Complete: true, Targets: []scheduler.Target{{ID: "n"}}}})
	return h
}

func job(class string, arrived time.Time, answers *[]Response) *Call {
	return &Call{Request: scheduler.Request{Class: class, Plan: "std", Volume: "v", Units: 1, Initiators: 1},
		ReceivedAt: arrived, ClientTimeout: 2 * time.Second, Respond: func(a Response) { *answers = append(*answers, a) }}
}

// later steps the core at timers until the time has passed.
func (h *hand) later(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(5 * time.Millisecond)
		h.step(h.now, nil)
	}
}

// TestOneFinalAnswer plays outcomes twice, late and of attempts that never were: one answer is given.
func TestOneFinalAnswer(t *testing.T) {
	h := newHand(t)
	var answers []Response
	h.step(h.now, []any{submitted{job("get", h.now, &answers)}})
	if len(h.up.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.up.sent))
	}
	r := AttemptResult{RequestID: h.up.sent[0].RequestID, Target: "n", Status: scheduler.Succeeded, Payload: "body"}
	wrong := r
	wrong.Number = 3
	h.step(h.now, []any{wrong, r, r})
	h.step(h.now, []any{r})
	if len(answers) != 1 || answers[0].Status != Served || answers[0].Payload != "body" {
		t.Fatalf("answers %+v, want one", answers)
	}
	if len(h.calls) != 0 {
		t.Errorf("%d requests kept", len(h.calls))
	}
}

// TestNameOnce guards against a second copy at a target under the name of a request that is open, whose client has left
// with an attempt out, or that has run. A name whose request was never sent may come again.
func TestNameOnce(t *testing.T) {
	h := newHand(t)
	var answers []Response
	submit := func(name, class string) *Call {
		j := job(class, h.now, &answers)
		j.ClientRequestID = name
		if !h.Submit(j) {
			t.Fatal("not taken")
		}
		h.step(h.now, h.inbox.Take(nil))
		return j
	}
	conflict := func(when string) {
		t.Helper()
		submit("a", "put")
		if len(answers) == 0 || answers[len(answers)-1].Status != Duplicate {
			t.Errorf("%s: answers %+v, want a conflict", when, answers)
		}
	}
	first := submit("a", "put")
	conflict("open")
	h.step(h.now, []any{first})
	conflict("its client gone, its attempt out")
	h.step(h.now, []any{AttemptResult{RequestID: h.up.sent[0].RequestID, Target: "n", Status: scheduler.Cancelled}})
	conflict("may have run")
	if len(h.up.sent) != 1 || h.OpenCalls() != 0 {
		t.Errorf("%d attempts, %d open; want one, none", len(h.up.sent), h.OpenCalls())
	}
	for range 3 {
		h.now = h.now.Add(executedIDLifetime + time.Second)
		submit("b", "put")
		last := h.up.sent[len(h.up.sent)-1]
		h.step(h.now, []any{AttemptResult{RequestID: last.RequestID, Number: last.Number, Target: "n", Status: scheduler.NotSent}})
		h.step(h.now, []any{scheduler.EndpointList{Complete: true}})
		h.later(2 * time.Second)
		if got := answers[len(answers)-1]; got.Status != Rejected {
			t.Errorf("never sent: %+v, want it refused", got)
		}
		h.step(h.now, []any{scheduler.EndpointList{Complete: true, Targets: []scheduler.Target{{ID: "n"}}}})
	}
	submit("c", "get")
	last := h.up.sent[len(h.up.sent)-1]
	h.step(h.now, []any{AttemptResult{RequestID: last.RequestID, Number: last.Number, Target: "n", Status: scheduler.Succeeded}})
	if n := len(h.openIDs) + len(h.executedIDs[0]) + len(h.executedIDs[1]); n != 1 {
		t.Errorf("%d names are kept, want the last alone", n)
	}
}

// TestDeadlineRunsFromArrival guards against counting a request's time from when a busy process got to it.
func TestDeadlineRunsFromArrival(t *testing.T) {
	h := newHand(t)
	var answers []Response
	h.step(h.now, []any{submitted{job("get", h.now.Add(-1500*time.Millisecond), &answers)}})
	if len(h.up.sent) != 1 {
		t.Fatalf("%d attempts, want 1", len(h.up.sent))
	}
	if left := h.up.sent[0].Deadline.Sub(h.now); left > 490*time.Millisecond {
		t.Errorf("attempt may last %v, but its client leaves in 500ms", left)
	}
}

// TestUnsafeIsNotRepeated ends a write in doubt: one failure, no second attempt, no word that a repeat is harmless.
func TestUnsafeIsNotRepeated(t *testing.T) {
	for _, code := range []scheduler.AttemptStatus{scheduler.ConnectionReset, scheduler.DeadlineExceeded, scheduler.Errored, scheduler.Cancelled} {
		h := newHand(t)
		var answers []Response
		h.step(h.now, []any{submitted{job("put", h.now, &answers)}})
		h.step(h.now, []any{AttemptResult{RequestID: h.up.sent[0].RequestID, Target: "n", Status: code}})
		h.later(3 * time.Second)
		if len(h.up.sent) != 1 || len(answers) != 1 || answers[0].Status != Failed || answers[0].LastAttempt != code {
			t.Errorf("code %v: %d attempts, answers %+v", code, len(h.up.sent), answers)
		}
	}
}

// TestListComesFirst guards the order within a batch: a drain notice that waits behind a request and an outcome
// reaches the module before them, and nothing is sent to the target that drains.
func TestListComesFirst(t *testing.T) {
	h := newHand(t)
	var answers []Response
	msgs := func() []any {
		return []any{submitted{job("get", h.now, &answers)}, AttemptResult{RequestID: "none"},
			scheduler.EndpointList{Targets: []scheduler.Target{{ID: "n", State: scheduler.Draining}}}}
	}
	if _, first := h.gather(h.now, msgs())[0].(scheduler.EndpointList); !first {
		t.Error("the notice came behind the request")
	}
	h.step(h.now, msgs())
	if len(h.up.sent) != 0 {
		t.Errorf("sent to a target known to drain: %+v", h.up.sent)
	}
}

// TestDepartedIsCalledOff checks that an attempt nobody waits for is called off, and no answer is given.
func TestDepartedIsCalledOff(t *testing.T) {
	h := newHand(t)
	var answers []Response
	j := job("get", h.now, &answers)
	h.step(h.now, []any{submitted{j}})
	h.step(h.now, []any{j})
	if len(h.up.cancelled) != 1 || len(h.calls) != 1 {
		t.Fatalf("cancelled %v, %d kept; want it called off and kept until its outcome", h.up.cancelled, len(h.calls))
	}
	h.step(h.now, []any{AttemptResult{RequestID: h.up.sent[0].RequestID, Target: "n", Status: scheduler.Cancelled}})
	h.later(3 * time.Second)
	if len(answers) != 0 || len(h.calls) != 0 {
		t.Errorf("answers %v, %d kept", answers, len(h.calls))
	}
}

// TestClockNeverGoesBack steps the core with times out of order.
func TestClockNeverGoesBack(t *testing.T) {
	h := newHand(t)
	before := h.lastStep
	var answers []Response
	h.step(h.now.Add(-time.Second), []any{submitted{job("get", h.now, &answers)}})
	if h.lastStep < before {
		t.Errorf("clock went from %v to %v", before, h.lastStep)
	}
}

// TestFurtherAttemptIsBound passes on by when an attempt must begin, where the module says so.
func TestFurtherAttemptIsBound(t *testing.T) {
	h := newHand(t)
	var answers []Response
	for i, class := range []string{"get", "keyed"} {
		h.step(h.now, []any{submitted{job(class, h.now, &answers)}})
		begun := h.now
		if len(h.up.sent) != 2*i+1 || !h.up.sent[2*i].StartBy.IsZero() {
			t.Fatalf("%s: attempts %+v, want one that may begin at any time", class, h.up.sent)
		}
		h.step(h.now, []any{AttemptResult{RequestID: h.up.sent[2*i].RequestID, Target: "n", Status: scheduler.ConnectionReset}})
		h.later(300 * time.Millisecond)
		if len(h.up.sent) != 2*i+2 {
			t.Fatalf("%s: %d attempts, want a further one", class, len(h.up.sent))
		}
		if at, bound := h.up.sent[2*i+1].StartBy, begun.Add(time.Second); class == "get" && !at.IsZero() || class == "keyed" && !at.Equal(bound) {
			t.Errorf("%s: must begin by %v, of %v", class, at, bound)
		}
		h.step(h.now, []any{AttemptResult{RequestID: h.up.sent[2*i+1].RequestID, Number: 1, Target: "n", Status: scheduler.Succeeded}})
	}
}

// echo answers each attempt from many goroutines at once.
type echo struct{ core *Dispatcher }

func (e *echo) Send(a Attempt) {
	go e.core.ReportResult(AttemptResult{RequestID: a.RequestID, Number: a.Number, Target: a.Target, Status: scheduler.Succeeded})
}
func (e *echo) Cancel(string, string) {}

// TestNothingIsLostUnderLoad has many goroutines hand over requests at once, more than the core may hold: each
// taken one has exactly one answer, and what is not taken is said so.
func TestNothingIsLostUnderLoad(t *testing.T) {
	up := &echo{}
	c := New(module(t), up, NewClock(), Options{MaxOpenCalls: 500})
	up.core = c
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go c.Run(ctx)
	c.UpdateEndpoints(scheduler.EndpointList{Complete: true, Targets: []scheduler.Target{{ID: "n"}}})
	var mu sync.Mutex
	answers := map[string]int{}
	var open, turned sync.WaitGroup
	taken := 0
	for g := range 20 {
		turned.Add(1)
		go func() {
			defer turned.Done()
			for i := range 100 {
				name := fmt.Sprint(g, "/", i)
				j := &Call{Request: scheduler.Request{Class: "get", Plan: "std", Volume: name, Units: 1, Initiators: 1},
					ReceivedAt: time.Now(), ClientTimeout: 2 * time.Second}
				j.Respond = func(Response) {
					mu.Lock()
					answers[name]++
					mu.Unlock()
					open.Done()
				}
				open.Add(1)
				if !c.Submit(j) {
					open.Done()
					continue
				}
				mu.Lock()
				taken++
				mu.Unlock()
			}
		}()
	}
	turned.Wait()
	open.Wait()
	if len(answers) != taken {
		t.Errorf("%d requests taken, %d answered", taken, len(answers))
	}
	for name, n := range answers {
		if n != 1 {
			t.Errorf("%s: %d answers", name, n)
		}
	}
}

// TestShutdownEndsBeforeKill guards against an end as long as one site's deadlines allow: where clients wait for less,
// SIGKILL comes sooner, and what it finds without an answer is lost.
func TestShutdownEndsBeforeKill(t *testing.T) {
	for ms := 300; ms < 10000; ms += 100 {
		longest := time.Duration(ms) * time.Millisecond
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		l := NewShutdownSchedule(longest)
		if l.AnswerBy > kill-100*time.Millisecond || l.ServeConnsFor < AcceptGrace || l.ServeConnsFor > l.AnswerBy {
			t.Errorf("clients wait for %v, killed after %v: serves for %v, answers by %v", longest, kill, l.ServeConnsFor, l.AnswerBy)
		}
		left := time.Now()
		for since := AcceptGrace + time.Millisecond; since < 4*time.Second; since += 50 * time.Millisecond {
			if p := l.LimitTimeout(longest, left.Add(since), &left); p < 0 || p > 0 && since+p > l.AnswerBy {
				t.Errorf("clients wait for %v: one that asks after %v may take %v", longest, since, p)
			}
		}
		if p := l.LimitTimeout(longest, left.Add(AcceptGrace), &left); p != longest {
			t.Errorf("clients wait for %v: one that came with the last new connections has %v", longest, p)
		}
	}
}
