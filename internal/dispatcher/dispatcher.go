// Package dispatcher runs the scheduler in real time and owns each client request from the moment a server submits it until
// its one final response. It implements no protocol: servers submit calls, an upstream carries out the attempts, and the
// dispatcher passes the payloads of both on without reading them.
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
	// MaxOpenCalls limits the number of calls that are open at a time; 0: no limit.
	MaxOpenCalls int
	// ResponseWriteMargin is subtracted from each client's timeout to leave time for writing the response. It does not
	// cover late steps, for which the scheduler has a timer margin of its own.
	ResponseWriteMargin time.Duration
	// Logger receives the events of each request at debug level; nil: no logging.
	Logger *slog.Logger
}

// Dispatcher is the event loop around a scheduler. All methods except Run may be called from any goroutine and do not block.
// They take effect in the order in which they were called, except that endpoint lists are applied before all other messages
// of the same batch. The goroutine that executes Run owns all fields except inbox and openCalls.
type Dispatcher struct {
	scheduler *scheduler.Scheduler
	upstream  Upstream
	clock     Clock
	options   Options

	inbox     *mailbox.Mailbox[message]
	openCalls atomic.Int64 // submitted and not released yet

	calls            callTable
	clientRequestIDs clientRequestIDs

	nextTimer        time.Time     // when to step even without a message; zero: no timer is set
	shutdownDeadline time.Time     // when attempts still in flight are cancelled; zero: no shutdown has begun
	lastStep         time.Duration // scheduler time of the last step
	traffic          trafficCounts

	// Buffers reused for each batch of messages.
	events         []scheduler.Event
	endpointEvents []scheduler.Event
}

// New returns a dispatcher that does nothing until Run is called. Its other methods may be called before Run.
func New(s *scheduler.Scheduler, upstream Upstream, clock Clock, options Options) *Dispatcher {
	if options.Logger == nil {
		options.Logger = slog.New(slog.DiscardHandler)
	}
	return &Dispatcher{
		scheduler:        s,
		upstream:         upstream,
		clock:            clock,
		options:          options,
		inbox:            mailbox.New[message](),
		calls:            newCallTable(),
		clientRequestIDs: newClientRequestIDs(),
	}
}

// Submit passes a call to the dispatcher. It returns false, and call.Respond is never called, if MaxOpenCalls calls are
// already open.
func (d *Dispatcher) Submit(call *Call) bool {
	open := d.openCalls.Add(1)
	if d.options.MaxOpenCalls > 0 && open > int64(d.options.MaxOpenCalls) {
		d.openCalls.Add(-1)
		return false
	}
	d.inbox.Put(callSubmitted{call})
	return true
}

// Cancel reports that the client of a submitted call has closed its connection. The dispatcher may still call call.Respond
// until it processes this message, but not afterwards.
func (d *Dispatcher) Cancel(call *Call) { d.inbox.Put(callCancelled{call}) }

// ReportResult reports the end of an attempt. The result is ignored unless it belongs to the attempt that its request has in
// flight.
func (d *Dispatcher) ReportResult(result AttemptResult) { d.inbox.Put(attemptEnded{result}) }

// UpdateEndpoints reports a new endpoint list or changes to it.
func (d *Dispatcher) UpdateEndpoints(list scheduler.EndpointList) {
	d.inbox.Put(endpointsUpdated{list})
}

// Shutdown begins a graceful shutdown. Queued calls get their responses by the deadline. Attempts still in flight at the
// deadline are cancelled, and their calls get a response once the results arrive.
func (d *Dispatcher) Shutdown(deadline time.Time) { d.inbox.Put(shutdownRequested{deadline}) }

// OpenCalls returns the number of calls that were submitted and not yet released. A call is released once it has its
// response or is cancelled, and has no attempt in flight.
func (d *Dispatcher) OpenCalls() int { return int(d.openCalls.Load()) }

// Run processes messages until the context is done. Calls that are still open then get no response. Run must be called at
// most once.
func (d *Dispatcher) Run(ctx context.Context) {
	timer := time.NewTimer(time.Hour) // reset as soon as a step sets nextTimer
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

// step applies one batch of messages, passes the resulting events to the scheduler and carries out the scheduler's actions.
func (d *Dispatcher) step(now time.Time, messages []message) {
	d.traffic.logIfDue(now, d.options.Logger)
	events := d.applyMessages(now, messages)
	if len(events) == 0 {
		return
	}
	// The scheduler requires time that never goes back, even if the platform's clock does.
	d.lastStep = max(d.lastStep, d.clock.At(now))
	for _, action := range d.scheduler.Step(d.lastStep, events) {
		d.execute(now, action)
	}
}

// setTimer makes the event loop step at the given time, unless a timer is already set for an earlier time.
func (d *Dispatcher) setTimer(at time.Time) {
	if d.nextTimer.IsZero() || at.Before(d.nextTimer) {
		d.nextTimer = at
	}
}
