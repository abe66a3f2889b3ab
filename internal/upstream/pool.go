package upstream

import (
	"slices"
	"time"
)

const (
	// restFor is how long a connection rests after an answer: targets send some a second time, some milliseconds later, and
	// what crosses the next request on its way would pass for its answer.
	restFor = 10 * time.Millisecond
	// enoughConns is how many connections to one target are not added to for the sake of rest: an attempt waits for one.
	enoughConns = 4
)

// conn is one connection of the pool.
type conn struct {
	Conn
	addr   string
	used   int
	idleAt time.Time
}

// restLeft is how long the connection must still rest.
func (c *conn) restLeft() time.Duration {
	if c.used == 0 {
		return 0
	}
	return restFor - c.rested()
}

// rested is how long ago the connection brought its last answer; 0: it is new.
func (c *conn) rested() time.Duration {
	if c.idleAt.IsZero() {
		return 0
	}
	return time.Since(c.idleAt)
}

// choose returns the connection for an attempt: one that has rested; nil for a new one while there are few; otherwise the
// one that has rested longest, for the attempt to wait for. It returns false where there is none, nor room for one.
func (t *target) choose() (*conn, bool) {
	if c := t.takeRested(); c != nil {
		return c, true
	}
	if t.conns < enoughConns && t.mayOpen() {
		return nil, true
	}
	if c := t.takeLongestRested(); c != nil {
		return c, true
	}
	return nil, t.mayOpen()
}

// mayOpen counts a new connection, unless there are too many. Both bounds keep the process within its descriptors,
// whatever the number of targets.
func (t *target) mayOpen() bool { return t.conns < t.opt.MaxConnsPerTarget && t.count(1) }

// takeRested returns the connection used last of those that have rested and are still whole; nil: none.
func (t *target) takeRested() *conn {
	for i := len(t.idle) - 1; i >= 0; i-- {
		if t.idle[i].restLeft() > 0 {
			continue
		}
		if c := t.takeAt(i); c != nil {
			return c
		}
	}
	return nil
}

// takeLongestRested returns the idle connection that has rested longest, if not for long enough; nil: none is idle.
func (t *target) takeLongestRested() *conn {
	for len(t.idle) > 0 {
		if c := t.takeAt(0); c != nil {
			return c
		}
	}
	return nil
}

// takeAt takes an idle connection out; nil: it is not whole, and closed.
func (t *target) takeAt(i int) *conn {
	c := t.idle[i]
	t.idle = slices.Delete(t.idle, i, i+1)
	if c.IsIdle() {
		return c
	}
	// Closed by the target while idle, or it speaks unasked: no byte of the attempt has been near it.
	t.drop(c, ReasonClosedWhileIdle)
	return nil
}

// pool keeps a connection for the next attempt, or notes that it came to nothing.
func (t *target) pool(c *conn) {
	if c == nil {
		t.count(-1)
		return
	}
	c.idleAt = time.Now()
	t.idle = append(t.idle, c)
	t.prune()
}

// prune closes idle connections that nothing will use: too old, of an old address, of a target that leaves.
func (t *target) prune() {
	now, addr := time.Now(), t.address()
	t.closeIdle(ReasonTargetDraining, func(*conn) bool { return !open(&t.state) })
	t.closeIdle(ReasonAddressChanged, func(c *conn) bool { return c.addr != addr })
	t.closeIdle(ReasonIdleTimeout, func(c *conn) bool { return now.Sub(c.idleAt) >= t.opt.IdleTimeout })
}

func (t *target) closeIdle(reason CloseReason, which func(*conn) bool) {
	kept := t.idle[:0]
	for _, c := range t.idle {
		if which(c) {
			t.drop(c, reason)
		} else {
			kept = append(kept, c)
		}
	}
	clear(t.idle[len(kept):])
	t.idle = kept
}

// count notes a connection more, unless all targets' connections are too many, or one less.
func (t *target) count(n int) bool {
	if t.all.Add(int64(n)) > int64(t.opt.MaxConns) && n > 0 {
		t.all.Add(int64(-n))
		return false
	}
	t.conns += n
	return true
}

// drop closes a connection that no attempt is on.
func (t *target) drop(c *conn, reason CloseReason) {
	c.Close()
	t.count(-1)
	t.logEnd(c.used, reason, "")
}
