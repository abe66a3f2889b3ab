// Package dispatcher runs the scheduler on a real clock and owns each client request from the moment a server submits it
// until its one final response. It speaks no protocol: servers hand it calls, an upstream carries out the attempts, and
// the payloads of both pass through unread.
package dispatcher

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"dapplegate/internal/mailbox"
	"dapplegate/scheduler"
)

// Options configures a Dispatcher.
type Options struct {
	// MaxOpenCalls is how many calls may be open at a time; 0: any number.
	MaxOpenCalls int
	// ResponseWriteMargin is subtracted from each client's timeout, so that the response can still be written before it ends.
	// The scheduler has a timer margin of its own, for steps that are late.
	ResponseWriteMargin time.Duration
	// Logger gets the events of each request, at debug level; nil: nothing is logged.
	Logger *slog.Logger
}

// Dispatcher is the event loop around a scheduler. Its methods may be called from any goroutine, return without waiting,
// and take effect in the order of the calls, except that endpoint lists go ahead of what waits in the same batch. The
// goroutine of Run owns all fields but inbox and openCalls.
type Dispatcher struct {
	scheduler *scheduler.Scheduler
	upstream  Upstream
	clock     Clock
	options   Options

	inbox     *mailbox.Mailbox[message]
	openCalls atomic.Int64 // submitted and not released yet

	calls      callTable
	requestIDs requestIDs

	nextTimer        time.Time     // when to step without a message; zero: no timer is set
	shutdownDeadline time.Time     // attempts still in flight are cancelled then; zero: no shutdown
	lastStep         time.Duration // the scheduler's time of the last step

	// Buffers that each batch of messages reuses.
	events         []scheduler.Event
	endpointEvents []scheduler.Event
}

// New returns a dispatcher that is idle until Run is called. Messages may be sent to it before that.
func New(s *scheduler.Scheduler, upstream Upstream, clock Clock, options Options) *Dispatcher {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Dispatcher{
		scheduler:  s,
		upstream:   upstream,
		clock:      clock,
		options:    options,
		inbox:      mailbox.New[message](),
		calls:      newCallTable(),
		requestIDs: newRequestIDs(),
	}
}

// Submit hands a call over. It returns false if too many calls are open; then call.Respond is never called.
func (d *Dispatcher) Submit(call *Call) bool {
	open := d.openCalls.Add(1)
	if d.options.MaxOpenCalls > 0 && open > int64(d.options.MaxOpenCalls) {
		d.openCalls.Add(-1)
		return false
	}
	d.inbox.Put(callSubmitted{call})
	return true
}

// Cancel reports that the client of a submitted call has closed its connection. A response that is decided before the
// dispatcher reads this is still given; after that, call.Respond is not called any more.
func (d *Dispatcher) Cancel(call *Call) { d.inbox.Put(callCancelled{call}) }

// ReportResult reports the end of an attempt. A result that is not of its request's attempt in flight is ignored.
func (d *Dispatcher) ReportResult(result AttemptResult) { d.inbox.Put(attemptEnded{result}) }

// UpdateEndpoints reports a new endpoint list or a change of it.
func (d *Dispatcher) UpdateEndpoints(list scheduler.EndpointList) {
	d.inbox.Put(endpointsUpdated{list})
}

// Shutdown begins a graceful shutdown. Queued calls are answered by the deadline; attempts in flight are cancelled then, and
// their results bring the response.
func (d *Dispatcher) Shutdown(deadline time.Time) { d.inbox.Put(shutdownRequested{deadline}) }

// OpenCalls is how many calls were submitted and are not released yet. A call is released once it is answered or cancelled
// and none of its attempts is in flight.
func (d *Dispatcher) OpenCalls() int { return int(d.openCalls.Load()) }

// Run processes messages until the context ends. Calls that are open then get no response. It may be called once.
func (d *Dispatcher) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour) // the first step sets it, if the scheduler asks for one
	defer timer.Stop()
	var spare []message
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.inbox.Wake():
		case <-timer.C:
		}
		messages := d.inbox.Take(spare)
		now := time.Now()
		d.logLateStep(now)
		d.step(now, messages)
		spare = messages
		if !d.nextTimer.IsZero() {
			timer.Reset(time.Until(d.nextTimer))
		}
	}
}

// step passes one batch of messages to the scheduler and carries out its actions.
func (d *Dispatcher) step(now time.Time, messages []message) {
	events := d.applyMessages(now, messages)
	if len(events) == 0 {
		return
	}
	// The scheduler relies on time that does not go back, whatever the platform's clock does.
	d.lastStep = max(d.lastStep, d.clock.At(now))
	for _, action := range d.scheduler.Step(d.lastStep, events) {
		d.execute(now, action)
	}
}

// setTimer makes the event loop step at the given time, or earlier if it has to anyway.
func (d *Dispatcher) setTimer(at time.Time) {
	if d.nextTimer.IsZero() || at.Before(d.nextTimer) {
		d.nextTimer = at
	}
}
