package upstream

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/mailbox"
	"dapplegate/scheduler"
)

const (
	// prunesPerIdleTimeout is how many times idle connections are pruned during one Options.IdleTimeout.
	prunesPerIdleTimeout = 8
	// minPruneInterval is the shortest interval between prunes, for a short Options.IdleTimeout.
	minPruneInterval = 50 * time.Millisecond
)

// target is the actor of one target. Its goroutine, which executes run, handles one message at a time. Each attempt runs on
// a goroutine of its own, which sends the actor a message when the attempt ends.
//
// The goroutine runs only while the target has an attempt, a dial or a connection. In a large fleet most targets have none, and
// would take memory for a stack each.
type target struct {
	id           string
	options      Options
	reportResult func(dispatcher.AttemptResult)
	log          connLog
	mailbox      *mailbox.Mailbox[message]
	quarantine   *quarantine // of the connections to all targets

	// The registry writes state and addr. The state is read when an attempt starts and right before its first byte, the
	// address when a connection is dialed, and both when idle connections are pruned.
	state atomic.Int32 // a scheduler.TargetState
	addr  atomic.Pointer[string]

	// backgroundDialActive limits background dials to one at a time. An attempt sets it when it leaves its dial running; the
	// actor clears it when that dial ends.
	backgroundDialActive atomic.Bool

	// onStopped is called each time the actor's goroutine ends.
	onStopped func()
	// runMu guards running, which is whether the actor's goroutine runs or is about to.
	runMu   sync.Mutex
	running bool

	// Only the actor's goroutine uses the following fields.
	pool     connPool
	inFlight map[string]*inFlightAttempt // by request ID
}

// newTarget returns an actor, whose goroutine starts with the first attempt. totalOpenConns counts the connections to all targets,
// and rest is their quarantine.
func newTarget(id string, options Options, totalOpenConns *atomic.Int64, rest *quarantine,
	reportResult func(dispatcher.AttemptResult)) *target {
	log := connLog{logger: options.Logger, targetID: id}
	return &target{
		id:           id,
		options:      options,
		reportResult: reportResult,
		log:          log,
		mailbox:      mailbox.New[message](),
		quarantine:   rest,
		pool:         connPool{options: options, log: log, quarantine: rest, totalOpenConns: totalOpenConns},
		inFlight:     map[string]*inFlightAttempt{},
		onStopped:    func() {},
	}
}

// update sets the state, and also the address unless it is empty. Attempts that are about to write see the new state at
// once; the actor prunes its pool when it handles the message.
func (t *target) update(address string, state scheduler.TargetState) {
	if address != "" {
		t.addr.Store(&address)
	}
	if before := scheduler.TargetState(t.state.Swap(int32(state))); before != state {
		t.options.Logger.LogAttrs(context.Background(), slog.LevelDebug, "target state changed",
			slog.String("target", t.id), slog.String("from", before.String()), slog.String("to", state.String()))
	}
	t.notify(endpointChanged{})
}

// isServing reports whether a new attempt may go to the target.
func (t *target) isServing() bool { return t.currentState() == scheduler.Serving }

func (t *target) currentState() scheduler.TargetState { return scheduler.TargetState(t.state.Load()) }

// address returns the host:port address of the target, or "" if it is not known.
func (t *target) address() string {
	if address := t.addr.Load(); address != nil {
		return *address
	}
	return ""
}

// send passes a message to the actor, and starts its goroutine if it does not run.
func (t *target) send(m message) {
	t.runMu.Lock()
	defer t.runMu.Unlock()
	t.mailbox.Put(m)
	if !t.running {
		t.running = true
		go t.run()
	}
}

// notify passes a message to the actor that needs it only if its goroutine runs. It reports whether it does.
func (t *target) notify(m message) (running bool) {
	t.runMu.Lock()
	defer t.runMu.Unlock()
	if t.running {
		t.mailbox.Put(m)
	}
	return t.running
}

// isRunning reports whether the actor's goroutine runs.
func (t *target) isRunning() bool {
	t.runMu.Lock()
	defer t.runMu.Unlock()
	return t.running
}

// stopIfIdle records that the actor's goroutine ends, if the target has no connection, attempt or dial and there is no message.
func (t *target) stopIfIdle() (stopped bool) {
	if len(t.inFlight) > 0 || t.backgroundDialActive.Load() || len(t.pool.idle) > 0 {
		return false
	}
	t.runMu.Lock()
	defer t.runMu.Unlock()
	t.running = !t.mailbox.IsEmpty()
	return !t.running
}

// run handles messages until the target has no connection, attempt or dial.
func (t *target) run() {
	defer t.onStopped()
	var spare []message
	ticker := time.NewTicker(max(t.options.IdleTimeout/prunesPerIdleTimeout, minPruneInterval))
	defer ticker.Stop()
	for {
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
		if t.stopIfIdle() {
			return
		}
	}
}

func (t *target) handle(m message) {
	switch m := m.(type) {
	case startAttempt:
		t.start(m.attempt)
	case cancelAttempt:
		if attempt := t.inFlight[m.requestID]; attempt != nil {
			attempt.cancel()
		}
	case attemptEnded:
		t.finish(m)
	case backgroundDialEnded:
		t.backgroundDialActive.Store(false)
		t.returnConn(m.conn)
	case endpointChanged:
		t.prune()
	}
}

// start starts a goroutine that runs the attempt on an idle connection or on a new one. If the target is not serving, or the
// limits on connections allow no new one, the attempt is reported as NotSent at once.
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
	ctx, cancelContext := context.WithDeadline(context.Background(), a.Deadline)
	attempt := &inFlightAttempt{Attempt: a, cancelContext: cancelContext}
	t.inFlight[a.RequestID] = attempt
	go t.runAttempt(ctx, attempt, conn)
}

func (t *target) reportNotSent(a dispatcher.Attempt) {
	t.reportResult(dispatcher.AttemptResult{RequestID: a.RequestID, Number: a.Number, Target: t.id, Status: scheduler.NotSent})
}

// finish releases the resources of an attempt that has ended.
func (t *target) finish(m attemptEnded) {
	m.attempt.cancelContext()
	// If a later attempt of the same request has already started at this target, the entry belongs to that attempt.
	if t.inFlight[m.attempt.RequestID] == m.attempt {
		delete(t.inFlight, m.attempt.RequestID)
	}
	// A background dial keeps its slot in the pool until backgroundDialEnded arrives.
	if !m.attempt.leftBackgroundDial {
		t.returnConn(m.conn)
	}
}

// returnConn puts a connection back into the pool. A nil connection was closed or never established: its slot is released.
func (t *target) returnConn(c *pooledConn) {
	if c == nil {
		t.pool.releaseSlot()
		return
	}
	t.pool.put(c)
	t.prune()
}

func (t *target) prune() { t.pool.prune(t.isServing(), t.address()) }
