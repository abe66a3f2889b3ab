package upstream

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// quarantineTime is how long a connection is not used again after a response. Targets send some responses
	// twice, a few milliseconds apart. A second copy that crossed the next request on its way would pass for
	// the response to it; one that arrives during the quarantine is seen by IsIdle, and the connection is
	// closed.
	quarantineTime = 10 * time.Millisecond
	// maxConnsForQuarantine is how many connections a target may have opened to it because all others are in
	// quarantine. From there on, an attempt waits for one of them.
	maxConnsForQuarantine = 4
)

// pooledConn is a connection with the state that its pool keeps.
type pooledConn struct {
	Conn
	address    string // the one that was dialed
	uses       int    // attempts carried
	returnedAt time.Time
}

// quarantineLeft is for how long the connection must not be used yet.
func (c *pooledConn) quarantineLeft() time.Duration {
	if c.uses == 0 {
		return 0
	}
	return quarantineTime - c.idleTime()
}

// idleTime is for how long the connection has been unused; 0 if it was never in the pool.
func (c *pooledConn) idleTime() time.Duration {
	if c.returnedAt.IsZero() {
		return 0
	}
	return time.Since(c.returnedAt)
}

// abandon closes the connection. An error of Close is ignored, since the connection is not used again.
func (c *pooledConn) abandon() { _ = c.Close() }

// connPool keeps the connections to one target and counts them. It belongs to the target's actor: it is not
// safe for concurrent use.
type connPool struct {
	options   Options
	log       connLog
	idle      []*pooledConn // in the order of their return
	open      int           // idle, in use or being dialed
	totalOpen *atomic.Int64 // open of all targets' pools together
}

// acquire returns an idle connection for an attempt, or nil if the attempt is to dial one, which is counted
// as open already. In order of preference: an idle one out of quarantine, a new one while there are few, the
// one whose quarantine ends first, for the attempt to wait for, and a new one. It returns false if there is
// no connection, nor capacity for a new one.
func (p *connPool) acquire() (*pooledConn, bool) {
	if c := p.takeOutOfQuarantine(); c != nil {
		return c, true
	}
	if p.open < maxConnsForQuarantine && p.reserve() {
		return nil, true
	}
	if c := p.takeNextOutOfQuarantine(); c != nil {
		return c, true
	}
	return nil, p.reserve()
}

// takeOutOfQuarantine takes the connection used last of those out of quarantine; nil if there is none.
func (p *connPool) takeOutOfQuarantine() *pooledConn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].quarantineLeft() > 0 {
			continue
		}
		if c := p.takeAt(i); c != nil {
			return c
		}
	}
	return nil
}

// takeNextOutOfQuarantine takes the connection whose quarantine ends first, which is the one returned first; nil if none is
// idle. The caller waits for the end of its quarantine.
func (p *connPool) takeNextOutOfQuarantine() *pooledConn {
	for len(p.idle) > 0 {
		if c := p.takeAt(0); c != nil {
			return c
		}
	}
	return nil
}

// takeAt takes an idle connection. It returns nil, and closes the connection, if the target has closed it or
// has sent something unrequested. Nothing of the attempt was sent on it, so another connection can carry the attempt.
func (p *connPool) takeAt(i int) *pooledConn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	if c.IsIdle() {
		return c
	}
	p.drop(c, ReasonClosedWhileIdle)
	return nil
}

// put returns a connection to the pool.
func (p *connPool) put(c *pooledConn) {
	c.returnedAt = time.Now()
	p.idle = append(p.idle, c)
}

// prune closes the idle connections that no attempt will use: those to a target that is not serving, to a former address,
// and those idle for Options.IdleTimeout.
func (p *connPool) prune(serving bool, address string) {
	now := time.Now()
	isTooOld := func(c *pooledConn) bool { return now.Sub(c.returnedAt) >= p.options.IdleTimeout }
	p.closeIdle(ReasonTargetNotServing, func(*pooledConn) bool { return !serving })
	p.closeIdle(ReasonAddressChanged, func(c *pooledConn) bool { return c.address != address })
	p.closeIdle(ReasonPoolIdleTimeout, isTooOld)
}

// closeAll closes all idle connections.
func (p *connPool) closeAll(reason CloseReason) {
	p.closeIdle(reason, func(*pooledConn) bool { return true })
}

func (p *connPool) closeIdle(reason CloseReason, matches func(*pooledConn) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(c *pooledConn) bool {
		if !matches(c) {
			return false
		}
		p.drop(c, reason)
		return true
	})
}

// drop closes a connection that no attempt is on.
func (p *connPool) drop(c *pooledConn, reason CloseReason) {
	c.abandon()
	p.unreserve()
	p.log.closed(c.uses, reason, "")
}

// reserve counts one more open connection, unless this target or all together have too many. The bounds keep
// the process within its file descriptors, whatever the number of targets.
func (p *connPool) reserve() bool {
	if p.open >= p.options.MaxConnsPerTarget {
		return false
	}
	if p.totalOpen.Add(1) > int64(p.options.MaxConns) {
		p.totalOpen.Add(-1)
		return false
	}
	p.open++
	return true
}

// unreserve counts one open connection less.
func (p *connPool) unreserve() {
	p.totalOpen.Add(-1)
	p.open--
}
