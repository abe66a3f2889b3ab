package upstream

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/mailbox"
	"dapplegate/scheduler"
)

const (
	// prunesPerIdleTimeout is how often idle connections are pruned within Options.IdleTimeout.
	prunesPerIdleTimeout = 8
	// minPruneInterval bounds how often the idle connections are pruned where Options.IdleTimeout is short.
	minPruneInterval = 50 * time.Millisecond
)

// target is the actor of one target: its goroutine, in run, handles one message at a time. Each attempt runs
// on a goroutine of its own and comes back with a message.
type target struct {
	id      string
	options Options
	report  func(dispatcher.AttemptResult)
	log     connLog
	mailbox *mailbox.Mailbox[message]

	// The registry writes these. The state is read right before the first byte of an attempt, the address when a connection is
	// dialed, and both when idle connections are pruned.
	state atomic.Int32 // a scheduler.TargetState
	addr  atomic.Pointer[string]

	// backgroundDialActive bounds the dials in the background to one at a time. An attempt sets it for a dial that outlasts it;
	// the actor clears it.
	backgroundDialActive atomic.Bool

	// Only the actor's goroutine uses these.
	pool     connPool
	inFlight map[string]*inFlightAttempt // by request ID
	retired  bool
}

// newTarget returns an actor that is yet to be run. totalOpen counts the connections to all targets.
func newTarget(id string, options Options, totalOpen *atomic.Int64,
	report func(dispatcher.AttemptResult)) *target {
	log := connLog{logger: options.Logger, targetID: id}
	return &target{
		id:       id,
		options:  options,
		report:   report,
		log:      log,
		mailbox:  mailbox.New[message](),
		pool:     connPool{options: options, log: log, totalOpen: totalOpen},
		inFlight: map[string]*inFlightAttempt{},
	}
}

// update sets the state, and the address unless it is empty. Attempts that are about to write see the state at once; the
// actor prunes its pool with its next messages.
func (t *target) update(address string, state scheduler.TargetState) {
	if address != "" {
		t.addr.Store(&address)
	}
	if before := scheduler.TargetState(t.state.Swap(int32(state))); before != state {
		t.options.Logger.LogAttrs(context.Background(), slog.LevelDebug, "target changed",
			slog.String("target", t.id), slog.String("from", before.String()), slog.String("to", state.String()))
	}
	t.mailbox.Put(endpointChanged{})
}

// isServing reports whether a new attempt may go to the target.
func (t *target) isServing() bool { return t.currentState() == scheduler.Serving }

func (t *target) currentState() scheduler.TargetState { return scheduler.TargetState(t.state.Load()) }

// address is where the target listens; empty if that is not known.
func (t *target) address() string {
	if address := t.addr.Load(); address != nil {
		return *address
	}
	return ""
}

// run handles messages until the actor is retired and nothing of it is in flight.
func (t *target) run() {
	var spare []message
	ticker := time.NewTicker(max(t.options.IdleTimeout/prunesPerIdleTimeout, minPruneInterval))
	defer ticker.Stop()
	for !t.hasEnded() {
		select {
		case <-ticker.C:
			t.prune()
		case <-t.mailbox.Wake():
			messages := t.mailbox.Take(spare)
			for _, m := range messages {
				t.handle(m)
			}
			spare = messages
		}
	}
	t.pool.closeAll(ReasonTargetNotServing)
}

func (t *target) hasEnded() bool {
	return t.retired && len(t.inFlight) == 0 && !t.backgroundDialActive.Load()
}

func (t *target) handle(m message) {
	switch m := m.(type) {
	case startAttempt:
		t.start(m.attempt)
	case cancelAttempt:
		if attempt := t.inFlight[m.requestID]; attempt != nil {
			attempt.cancel()
		}
	case attemptReleased:
		t.finish(m)
	case backgroundDialEnded:
		t.backgroundDialActive.Store(false)
		t.returnConn(m.conn)
	case endpointChanged:
		t.prune()
	case retire:
		t.retired = true
	}
}

// start runs an attempt on an idle connection or on a new one. An attempt that cannot start, because the target is not serving
// or this process has no connection to spare, is reported as NotSent at once.
func (t *target) start(a dispatcher.Attempt) {
	if !t.isServing() {
		t.reportNotSent(a)
		return
	}
	conn, ok := t.pool.acquire()
	if !ok {
		t.reportNotSent(a)
		return
	}
	ctx, stop := context.WithDeadline(context.Background(), a.Deadline)
	attempt := &inFlightAttempt{Attempt: a, stop: stop}
	t.inFlight[a.RequestID] = attempt
	go t.runAttempt(ctx, attempt, conn)
}

func (t *target) reportNotSent(a dispatcher.Attempt) {
	t.report(dispatcher.AttemptResult{RequestID: a.RequestID, Number: a.Number, Target: t.id, Status: scheduler.NotSent})
}

func (t *target) finish(m attemptReleased) {
	m.attempt.stop()
	// A later attempt of the same request may have started here since: the entry is its own then.
	if t.inFlight[m.attempt.RequestID] == m.attempt {
		delete(t.inFlight, m.attempt.RequestID)
	}
	// A dial in the background still counts as open; backgroundDialEnded follows.
	if !m.attempt.leftBackgroundDial {
		t.returnConn(m.conn)
	}
}

// returnConn puts a connection back into the pool; nil stands for one that was closed or never came up.
func (t *target) returnConn(c *pooledConn) {
	if c == nil {
		t.pool.unreserve()
		return
	}
	t.pool.put(c)
	t.prune()
}

func (t *target) prune() { t.pool.prune(t.isServing(), t.address()) }
