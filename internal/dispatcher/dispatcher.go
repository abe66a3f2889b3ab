// Package core drives the decision module on a real clock. It owns every request from the moment a front
// hands it over until its one final answer, and it knows no wire: fronts and upstreams meet it through Job,
// Answer, Attempt and Result, whose payloads it passes on unread.
package dispatcher

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"dapplegate/internal/mailbox"
	"dapplegate/scheduler"
)

// Clock maps the process's monotone clock onto the module's: Unix time as read once at the start, since
// the list tells starts of targets in Unix time, and steps of the wall clock must not move deadlines.
type Clock struct{ base time.Time }

// NewClock reads the wall clock, for the only time.
func NewClock() Clock { return Clock{time.Now()} }

// At returns the module's time for t.
func (c Clock) At(t time.Time) time.Duration {
	return time.Duration(c.base.UnixNano()) + t.Sub(c.base)
}

// Options are the core's bounds.
type Options struct {
	MaxOpenCalls int           // requests open at a time
	AnswerMargin time.Duration // an answer must be written this long before the client leaves
	Logger       *slog.Logger  // what happens to each request, at debug level; nil: nowhere
}

// Core is the module's actor.
type Dispatcher struct {
	scheduler      *scheduler.Scheduler
	upstream       Upstream
	clock          Clock
	options        Options
	inbox          *mailbox.Box[any]
	calls          map[string]*callState
	openCalls      atomic.Int64
	seq            uint64
	timerAt        time.Time          // zero: none
	shutdownAt     time.Time          // attempts are called off then, since the program leaves; zero: not known
	openIDs        map[string]bool    // of open requests
	executedIDs    [2]map[string]bool // of finished ones that may have run, lately and before
	executedSince  time.Time
	events         []scheduler.Event
	endpointEvents []scheduler.Event
	lastStep       time.Duration
}

// entry is one request's record; it goes when it is answered and nothing of it is out.
type callState struct {
	call            *Call
	attempts        int
	inFlight        bool
	target          string
	sentAt          time.Time
	lastStatus      scheduler.AttemptStatus
	answered        bool
	mayHaveExecuted bool
}

// namesFor is how long, at least, the name of a request that may have run stays taken.
const executedIDLifetime = 5 * time.Second

// Messages of the core's actor, beside Result and NodeList; a *Job alone is one whose client has left.
type (
	submitted struct{ job *Call }
	leaving   struct{ at time.Time }
)

// New returns a core; Run starts it.
func New(m *scheduler.Scheduler, up Upstream, clock Clock, opt Options) *Dispatcher {
	if opt.Logger == nil {
		opt.Logger = slog.New(slog.DiscardHandler)
	}
	return &Dispatcher{scheduler: m, upstream: up, clock: clock, options: opt, inbox: mailbox.New[any](), calls: map[string]*callState{},
		openIDs: map[string]bool{}, executedIDs: [2]map[string]bool{{}, {}}}
}

// Submit hands a request over. It returns false when too many are open; then Done is not called.
func (c *Dispatcher) Submit(j *Call) bool {
	if n := c.openCalls.Add(1); c.options.MaxOpenCalls > 0 && n > int64(c.options.MaxOpenCalls) {
		c.openCalls.Add(-1)
		return false
	}
	c.inbox.Put(submitted{j})
	return true
}

// Depart tells that the job's client is gone. Its Done may still be called, if the answer came first.
func (c *Dispatcher) Cancel(j *Call) { c.inbox.Put(j) }

// Report hands over the end of an attempt.
func (c *Dispatcher) ReportResult(r AttemptResult) { c.inbox.Put(r) }

// List hands over news of the targets.
func (c *Dispatcher) UpdateEndpoints(l scheduler.EndpointList) { c.inbox.Put(l) }

// Leave has every request answered by then: the program ends.
func (c *Dispatcher) Shutdown(at time.Time) { c.inbox.Put(leaving{at}) }

// Open tells how many requests are not finished with.
func (c *Dispatcher) OpenCalls() int { return int(c.openCalls.Load()) }

// Run steps the module until the context ends. It is the only goroutine that touches it.
func (c *Dispatcher) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var spare []any
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.inbox.Wake():
		case <-timer.C:
		}
		msgs := c.inbox.Take(spare)
		c.step(time.Now(), msgs)
		spare = msgs
		if !c.timerAt.IsZero() {
			timer.Reset(time.Until(c.timerAt))
		}
	}
}

// step gives the module what has come in and carries out what it decides.
func (c *Dispatcher) step(now time.Time, msgs []any) {
	events := c.gather(now, msgs)
	if len(events) == 0 {
		return
	}
	// The module's clock never goes back, whatever the platform's does.
	c.lastStep = max(c.lastStep, c.clock.At(now))
	for _, a := range c.scheduler.Step(c.lastStep, events) {
		c.execute(now, a)
	}
}

// gather turns what has come in into one batch of events, news of the list ahead of all else.
func (c *Dispatcher) gather(now time.Time, msgs []any) []scheduler.Event {
	c.events, c.endpointEvents = c.events[:0], c.endpointEvents[:0]
	for _, m := range msgs {
		switch m := m.(type) {
		case submitted:
			c.accept(now, m.job)
		case *Call:
			c.cancel(m)
		case AttemptResult:
			c.attemptEnded(now, m)
		case leaving:
			c.shutdownAt = m.at
			c.setTimer(m.at)
			c.events = append(c.events, scheduler.Shutdown{Within: m.at.Sub(now)})
		case scheduler.EndpointList:
			// Ahead of all else in the batch: no send is decided on a list older than the one at hand.
			c.endpointEvents = append(c.endpointEvents, m)
		}
	}
	c.cancelAtShutdown(now)
	if !c.timerAt.IsZero() && !now.Before(c.timerAt) {
		c.timerAt = time.Time{}
		c.events = append(c.events, scheduler.Timer{})
	}
	return append(c.endpointEvents, c.events...)
}

func (c *Dispatcher) accept(now time.Time, j *Call) {
	if j.ClientRequestID != "" {
		// Targets know requests by these names: one sent under the name of another that is open would be its second
		// copy. An honest repeat, of a request that was never read here, meets neither.
		if c.openIDs[j.ClientRequestID] || c.executedIDs[0][j.ClientRequestID] || c.executedIDs[1][j.ClientRequestID] {
			c.openCalls.Add(-1)
			c.logCall("request ended", j, slog.String("reason", Duplicate.String()))
			j.Respond(Response{Status: Duplicate})
			return
		}
		c.openIDs[j.ClientRequestID] = true
	}
	c.seq++
	j.ID = strconv.FormatUint(c.seq, 10)
	// The client's time runs from the arrival, and the answer has to be out before it ends.
	j.Timeout = j.ClientTimeout - now.Sub(j.ReceivedAt) - c.options.AnswerMargin
	c.logCall("request taken", j, slog.String("class", j.Class), slog.Duration("patience", j.ClientTimeout),
		slog.Duration("age", now.Sub(j.ReceivedAt)))
	c.calls[j.ID] = &callState{call: j}
	c.events = append(c.events, j.Request)
}

func (c *Dispatcher) cancel(j *Call) {
	if e := c.calls[j.ID]; e != nil && e.call == j && !e.answered {
		e.answered = true
		c.logCall("request ended", j, slog.String("reason", "CLIENT_LEFT"), slog.Int("attempts", e.attempts), slog.Bool("out", e.inFlight))
		if e.inFlight {
			c.upstream.Cancel(e.target, j.ID) // no one is left to answer
		}
		c.events = append(c.events, scheduler.ClientClosed{RequestID: j.ID})
		c.release(j.ID, e)
	}
}

func (c *Dispatcher) attemptEnded(now time.Time, r AttemptResult) {
	e := c.calls[r.RequestID]
	if e == nil || !e.inFlight || r.Number != e.attempts-1 {
		return
	}
	e.inFlight, e.lastStatus = false, r.Status
	e.mayHaveExecuted = e.mayHaveExecuted || r.Status.MayHaveExecuted()
	c.logCall("attempt ended", e.call, slog.Int("attempt", r.Number), slog.String("node", r.Target),
		slog.String("reason", r.Status.String()), slog.Duration("took", now.Sub(e.sentAt)))
	if r.Status == scheduler.Succeeded {
		c.respond(e, Response{Status: Served, Payload: r.Payload})
	}
	c.events = append(c.events, scheduler.AttemptEnded{RequestID: r.RequestID, Attempt: r.Number, Target: r.Target, Status: r.Status,
		Latency: now.Sub(e.sentAt), Answered: e.answered, LoadReport: r.LoadReport, VolumeUsage: r.VolumeUsage})
	c.release(r.RequestID, e)
	if now.Sub(c.executedSince) > executedIDLifetime {
		c.executedIDs[0], c.executedIDs[1], c.executedSince = map[string]bool{}, c.executedIDs[0], now
	}
}

func (c *Dispatcher) execute(now time.Time, a scheduler.Action) {
	e := c.calls[a.RequestID]
	switch a.Kind {
	case scheduler.SetTimer:
		c.setTimer(now.Add(a.After))
		return
	case scheduler.WatchEndpoints:
		return // the list is always watched
	}
	if e == nil || e.answered || e.inFlight {
		return
	}
	switch a.Kind {
	case scheduler.Send:
		e.inFlight, e.target, e.sentAt = true, a.Target, now
		e.attempts++
		t := Attempt{RequestID: a.RequestID, ClientRequestID: e.call.ClientRequestID, Number: e.attempts - 1, Target: a.Target, Deadline: now.Add(a.Timeout),
			ClientGone: e.call.ClientGone, Payload: e.call.Payload}
		c.logCall("attempt decided", e.call, slog.Int("attempt", t.Number), slog.String("node", t.Target), slog.Duration("wait", a.Timeout))
		if a.StartWithin > 0 {
			t.StartBy = now.Add(a.StartWithin)
		}
		c.upstream.Send(t)
	case scheduler.Reject:
		c.respond(e, Response{Status: Rejected, RetryAfter: a.RetryAfter})
		c.release(a.RequestID, e)
	case scheduler.Fail:
		c.respond(e, Response{Status: Failed})
		c.release(a.RequestID, e)
	}
}

// setTimer has the actor step at that time, or earlier where it is to already.
func (c *Dispatcher) setTimer(at time.Time) {
	if c.timerAt.IsZero() || at.Before(c.timerAt) {
		c.timerAt = at
	}
}

// callOffAtEnd ends what is still out when the program's time is over: the module answers on the outcomes.
func (c *Dispatcher) cancelAtShutdown(now time.Time) {
	if c.shutdownAt.IsZero() {
		return
	}
	if now.Before(c.shutdownAt) {
		c.setTimer(c.shutdownAt)
		return
	}
	for id, e := range c.calls {
		if e.inFlight {
			c.upstream.Cancel(e.target, id)
		}
	}
}

// answer gives the final answer, once.
func (c *Dispatcher) respond(e *callState, a Response) {
	if e.answered {
		return
	}
	e.answered = true
	a.LastAttempt = e.lastStatus
	c.logCall("request ended", e.call, slog.String("reason", a.Status.String()), slog.Int("attempts", e.attempts),
		slog.String("last", e.lastStatus.String()), slog.Duration("after", time.Since(e.call.ReceivedAt)))
	e.call.Respond(a)
}

// trace logs what happens to a request, if anyone wants to know.
func (c *Dispatcher) logCall(event string, j *Call, attrs ...slog.Attr) {
	if c.options.Logger.Enabled(context.Background(), slog.LevelDebug) {
		attrs = append(attrs, slog.String("request", j.ClientRequestID))
		c.options.Logger.LogAttrs(context.Background(), slog.LevelDebug, event, attrs...)
	}
}

func (c *Dispatcher) release(id string, e *callState) {
	if e.answered && !e.inFlight {
		delete(c.calls, id)
		c.openCalls.Add(-1)
		if e.call.ClientRequestID != "" {
			delete(c.openIDs, e.call.ClientRequestID)
			if e.mayHaveExecuted {
				c.executedIDs[0][e.call.ClientRequestID] = true
			}
		}
	}
}
