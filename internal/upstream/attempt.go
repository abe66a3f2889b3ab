package upstream

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// lateDials is how many times as long as an attempt waits for it a connection may take to come up at all.
const lateDials = 8

// try is one attempt under way.
type try struct {
	dispatcher.Attempt
	ctx    context.Context
	stop   context.CancelFunc
	mu     sync.Mutex
	conn   Conn
	called bool // called off
	slow   bool // its dial goes on without it
}

// attempt carries one attempt through connect and exchange and reports its outcome. Where it ends early, the
// connection is closed first: one attempt out at a time.
func (t *target) attempt(y *try, c *conn) {
	r := dispatcher.AttemptResult{Status: scheduler.ConnectFailed}
	var again *conn
	reason, used := ReasonConnectFailed, 0
	if c != nil {
		c = t.awaitRest(y, c)
	}
	if c == nil {
		c = t.dial(y)
	}
	if c != nil {
		used = c.used + 1
		if again, reason = t.exchange(y, c, &r); again == nil {
			c.Close()
		}
	}
	if again == nil {
		t.logEnd(used, reason, y.ClientRequestID)
	}
	if r.Status == scheduler.ConnectFailed && y.calledOff() {
		r.Status = scheduler.NotSent // its client left: that tells nothing of the target
	}
	r.RequestID, r.Number, r.Target = y.RequestID, y.Number, t.id
	// The pool hears first, so that a send decided on this outcome finds the connection.
	t.box.Put(done{y, again})
	t.report(r)
}

// awaitRest waits until the connection has rested; nil: the target closed it meanwhile, or spoke unasked.
func (t *target) awaitRest(y *try, c *conn) *conn {
	left := c.restLeft()
	if left <= 0 {
		return c
	}
	wait := time.NewTimer(left)
	defer wait.Stop()
	select {
	case <-y.ctx.Done():
		return c
	case <-wait.C:
	}
	if c.IsIdle() {
		return c
	}
	c.Close()
	t.logEnd(c.used, ReasonClosedWhileIdle, "")
	return nil
}

// dial opens a connection for the attempt. One that takes longer than the attempt waits goes on, and the next attempt
// finds it in the pool: its handshake is paid for, and a new one may take as long.
func (t *target) dial(y *try) *conn {
	ctx, stop := context.WithTimeout(context.Background(), lateDials*t.opt.DialTimeout)
	came := make(chan *conn, 1)
	go func() {
		addr := t.address()
		s, err := t.opt.Dialer.Dial(ctx, addr)
		if err != nil {
			came <- nil
			return
		}
		came <- &conn{Conn: s, addr: addr}
	}()
	wait := time.NewTimer(t.opt.DialTimeout)
	defer wait.Stop()
	select {
	case c := <-came:
		stop()
		return c
	case <-wait.C:
	case <-y.ctx.Done():
	}
	if y.slow = t.slow.CompareAndSwap(false, true); !y.slow {
		stop()
		if c := <-came; c != nil {
			c.Close()
		}
		return nil
	}
	go func() {
		defer stop()
		t.box.Put(late{<-came})
	}()
	return nil
}

// exchange has the attempt carried out on c, and returns c if it can be used again.
func (t *target) exchange(y *try, c *conn, r *dispatcher.AttemptResult) (*conn, CloseReason) {
	if !y.hold(c.Conn) || y.clientGone() {
		r.Status = scheduler.NotSent
		return c, ""
	}
	c.used++
	t.opt.Logger.LogAttrs(y.ctx, slog.LevelDebug, "attempt begins", slog.String("request", y.ClientRequestID), slog.Int("attempt", y.Number),
		slog.String("peer", t.id), slog.Int("requests", c.used), slog.Duration("rested", c.rested()))
	result := c.RoundTrip(y.Attempt, func() bool { return t.mayBegin(y, c) })
	*r = result.AttemptResult
	if y.calledOff() {
		switch r.Status {
		case scheduler.Succeeded, scheduler.NotSent, scheduler.ConnectFailed:
			if result.Reusable() {
				return nil, ReasonClosed
			}
		default:
			r.Status, result.CloseReason = scheduler.Cancelled, ReasonCancelled
		}
		return nil, result.CloseReason
	}
	if !result.Reusable() {
		return nil, result.CloseReason
	}
	return c, ""
}

// mayBegin is the last look before the first byte of an attempt. What has come on its connection by then is not its answer.
func (t *target) mayBegin(y *try, c *conn) bool {
	if !c.IsIdle() || !open(&t.state) || !y.StartBy.IsZero() && !time.Now().Before(y.StartBy) {
		return false
	}
	return !y.clientGone()
}

// clientGone asks the client's socket: the news of its departure may still be on its way to callOff.
func (y *try) clientGone() bool { return y.ClientGone != nil && y.ClientGone() }

// callOff ends an attempt from outside: whatever it waits for fails at once.
func (y *try) callOff() {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.called = true
	y.stop()
	if y.conn != nil {
		y.conn.Close()
	}
}

// hold notes the connection for callOff; false when it came too late.
func (y *try) hold(c Conn) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.conn = c
	return !y.called
}

func (y *try) calledOff() bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	return y.called
}
