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

// Messages of a target's actor, beside core.Attempt.
type (
	cancel struct{ request string }
	moved  struct{}
	retire struct{}
	done   struct {
		try  *try
		conn *conn // to be used again; nil: closed, or not up yet
	}
	// late ends a dial that its attempt did not wait for.
	late struct {
		conn *conn // nil: it never came up
	}
)

// target is the actor of one target. Only its goroutine touches idle, busy and conns; state and addr are
// written by the list and read by every attempt at its first byte.
type target struct {
	id     string
	opt    Options
	report func(dispatcher.AttemptResult)
	box    *mailbox.Box[any]
	state  atomic.Int32
	addr   atomic.Pointer[string]

	idle  []*conn
	busy  map[string]*try
	conns int
	all   *atomic.Int64 // conns of all targets
	slow  atomic.Bool   // a dial goes on that its attempt did not wait for; one at a time
}

func newTarget(id string, opt Options, all *atomic.Int64, report func(dispatcher.AttemptResult)) *target {
	return &target{id: id, opt: opt, all: all, report: report, box: mailbox.New[any](), busy: map[string]*try{}}
}

// set takes over what the list says; at once for attempts about to write, in turn for the pool.
func (t *target) set(addr string, state scheduler.TargetState) {
	if addr != "" {
		t.addr.Store(&addr)
	}
	if before := scheduler.TargetState(t.state.Swap(int32(state))); before != state {
		t.opt.Logger.LogAttrs(context.Background(), slog.LevelDebug, "target changed", slog.String("peer", t.id),
			slog.String("from", before.String()), slog.String("to", state.String()))
	}
	t.box.Put(moved{})
}

func (t *target) run() {
	var spare []any
	tick := time.NewTicker(max(t.opt.IdleTimeout/8, 50*time.Millisecond))
	defer tick.Stop()
	retired := false
	for !retired || len(t.busy) > 0 || t.slow.Load() {
		select {
		case <-t.box.Wake():
		case <-tick.C:
			t.prune()
			continue
		}
		msgs := t.box.Take(spare)
		for _, m := range msgs {
			switch m := m.(type) {
			case dispatcher.Attempt:
				t.start(m)
			case cancel:
				if a := t.busy[m.request]; a != nil {
					a.callOff()
				}
			case done:
				t.finish(m)
			case late:
				t.slow.Store(false)
				t.pool(m.conn)
			case moved:
				t.prune()
			case retire:
				retired = true // a move came before it
			}
		}
		spare = msgs
	}
	t.closeIdle(ReasonTargetRemoved, func(*conn) bool { return true })
}

// start gives the attempt a connection, an idle one that is still whole or a new one.
func (t *target) start(a dispatcher.Attempt) {
	r := dispatcher.AttemptResult{RequestID: a.RequestID, Number: a.Number, Target: t.id}
	if !open(&t.state) {
		r.Status = scheduler.NotSent
		t.report(r)
		return
	}
	c, found := t.choose()
	if !found {
		r.Status = scheduler.ConnectFailed
		t.report(r)
		return
	}
	ctx, stop := context.WithDeadline(context.Background(), a.Deadline)
	y := &try{Attempt: a, ctx: ctx, stop: stop}
	t.busy[a.RequestID] = y
	go t.attempt(y, c)
}

func (t *target) finish(m done) {
	m.try.stop()
	// A later attempt of the same request may have begun here since; its entry is not this one's.
	if t.busy[m.try.RequestID] == m.try {
		delete(t.busy, m.try.RequestID)
	}
	if !m.try.slow {
		t.pool(m.conn)
	}
}

func (t *target) address() string {
	if p := t.addr.Load(); p != nil {
		return *p
	}
	return ""
}

// logEnd logs why a connection ended, and the request that was on it; empty: none was.
func (t *target) logEnd(used int, reason CloseReason, request string) {
	t.opt.Logger.Info("connection ended", slog.String("side", "target"), slog.String("peer", t.id),
		slog.String("reason", string(reason)), slog.Int("requests", used), slog.String("request", request))
}
