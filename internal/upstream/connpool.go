package upstream

import (
	"slices"
	"sync/atomic"
	"time"
)

const (
	// maxConnsForQuarantine is how many connections to a target may be opened only because all idle ones are in quarantine.
	// With that many open, an attempt waits for the end of a quarantine instead.
	maxConnsForQuarantine = 4
)

// pooledConn is a connection with the bookkeeping of its pool.
type pooledConn struct {
	Conn
	address    string // the address that was dialed
	uses       int    // number of attempts carried
	returnedAt time.Time
}

// idleTime returns how long the connection has been idle, or 0 if it was never in the pool.
func (c *pooledConn) idleTime() time.Duration {
	if c.returnedAt.IsZero() {
		return 0
	}
	return time.Since(c.returnedAt)
}

// closeIgnoringError closes the connection. It ignores an error of Close, since the connection is not used again.
func (c *pooledConn) closeIgnoringError() { _ = c.Close() }

// connPool holds the idle connections to one target and counts all open ones. It is not safe for concurrent use: only the
// target's actor uses it.
type connPool struct {
	options        Options
	log            connLog
	quarantine     *quarantine
	idle           []*pooledConn // in the order in which they were returned
	openConns      int           // idle, in use or being dialed
	totalOpenConns *atomic.Int64 // sum of openConns over the pools of all targets
}

// acquire returns a connection for an attempt, or nil if the attempt must dial one; a slot is reserved for it then. It
// returns false if no connection is idle and the limits allow no new one. The order of preference is:
//
//   - an idle connection that is not in quarantine
//   - a new connection, if fewer than maxConnsForQuarantine are open
//   - the idle connection whose quarantine ends first; the attempt has to wait for that
//   - a new connection
func (p *connPool) acquire() (*pooledConn, bool) {
	if c := p.takeReady(); c != nil {
		return c, true
	}
	if p.openConns < maxConnsForQuarantine && p.reserveSlot() {
		return nil, true
	}
	if c := p.takeSoonestReady(); c != nil {
		return c, true
	}
	return nil, p.reserveSlot()
}

// takeReady takes the most recently used idle connection that is not in quarantine. It returns nil if there is none.
func (p *connPool) takeReady() *pooledConn {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.quarantine.remaining(p.idle[i]) > 0 {
			continue
		}
		if c := p.takeIfIdle(i); c != nil {
			return c
		}
	}
	return nil
}

// takeSoonestReady takes the idle connection whose quarantine ends first, which is the one that was returned first. The
// caller must wait for the end of the quarantine. It returns nil if no connection is idle.
func (p *connPool) takeSoonestReady() *pooledConn {
	for len(p.idle) > 0 {
		if c := p.takeIfIdle(0); c != nil {
			return c
		}
	}
	return nil
}

// takeIfIdle removes the connection at index i from the pool and returns it. If the target has closed the connection or sent
// unrequested data on it, takeIfIdle closes it and returns nil. Nothing of the attempt was sent by then, so it can use
// another connection.
func (p *connPool) takeIfIdle(i int) *pooledConn {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	if c.IsIdle() {
		return c
	}
	p.discard(c, p.quarantine.notIdleReason(c, p.log))
	return nil
}

// put returns a connection to the pool.
func (p *connPool) put(c *pooledConn) {
	c.returnedAt = time.Now()
	p.idle = append(p.idle, c)
}

// prune closes the idle connections that no attempt will use: all of them if the target is not serving, those to a former
// address, and those that have been idle for Options.IdleTimeout.
func (p *connPool) prune(serving bool, address string) {
	now := time.Now()
	isTooOld := func(c *pooledConn) bool { return now.Sub(c.returnedAt) >= p.options.IdleTimeout }
	p.closeIdle(ReasonTargetNotServing, func(*pooledConn) bool { return !serving })
	p.closeIdle(ReasonAddressChanged, func(c *pooledConn) bool { return c.address != address })
	p.closeIdle(ReasonPoolIdleTimeout, isTooOld)
}

func (p *connPool) closeIdle(reason CloseReason, matches func(*pooledConn) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(c *pooledConn) bool {
		if !matches(c) {
			return false
		}
		p.discard(c, reason)
		return true
	})
}

// discard closes a connection that carries no attempt, and releases its slot.
func (p *connPool) discard(c *pooledConn, reason CloseReason) {
	c.closeIgnoringError()
	p.releaseSlot()
	p.log.closed(c.uses, reason, "")
}

// reserveSlot counts one more connection as open. It returns false if that would exceed a limit, for this target or for all
// together. The limits keep the process within its limit on file descriptors, whatever the number of targets.
func (p *connPool) reserveSlot() bool {
	if p.openConns >= p.options.MaxConnsPerTarget {
		return false
	}
	if p.totalOpenConns.Add(1) > int64(p.options.MaxConns) {
		p.totalOpenConns.Add(-1)
		return false
	}
	p.openConns++
	return true
}

// releaseSlot counts one connection less as open.
func (p *connPool) releaseSlot() {
	p.totalOpenConns.Add(-1)
	p.openConns--
}
