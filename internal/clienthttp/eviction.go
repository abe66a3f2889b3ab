package clienthttp

import (
	"slices"
	"time"

	"dapplegate/internal/socket"
)

const (
	// silentTimeout is how long a new connection may receive nothing before it is evicted ahead of idle ones.
	// Well-behaved clients send a request as soon as they are connected.
	silentTimeout = 50 * time.Millisecond
	// minIdleBeforeEviction is how long a connection must have been idle after a response before it may be evicted while
	// the table has at most maxConns connections. It is short, so that many connections with one request each do not keep
	// other clients out.
	minIdleBeforeEviction = 25 * time.Millisecond
	// stalledTimeout is how long nothing more of a partly received request must have arrived for the request to count as
	// stalled. A complete request that has been read ahead is passed to net/http long before that, unless the process is
	// delayed.
	stalledTimeout = 200 * time.Millisecond
	// maxEvictionAttempts is how many connections are tried to make room for a new one, which has to wait meanwhile.
	maxEvictionAttempts = 8
)

// evictionRank orders connections for eviction; the one with the highest rank is evicted first.
type evictionRank int

const (
	// rankKeep: not evicted, because a request is in flight or may have arrived.
	rankKeep evictionRank = iota
	// rankNew: new, and nothing has been read yet; evicted only if the table has more than maxConns connections.
	rankNew
	// rankIdle: idle after a response.
	rankIdle
	// rankNoFirstRequest: new, and nothing has arrived for silentTimeout or the first request has stalled.
	rankNoFirstRequest
	// rankMalformed: the response to a malformed request has been sent, and no further request is served.
	rankMalformed
)

// evictionCandidate is a connection that may be evicted.
type evictionCandidate struct {
	conn     *clientConn
	observed connState // when the connection was ranked
	rank     evictionRank
}

// isBefore reports whether the candidate is evicted before the other one: it has the higher rank, or the same and has been idle
// for longer.
func (e evictionCandidate) isBefore(other evictionCandidate) bool {
	if e.rank != other.rank {
		return e.rank > other.rank
	}
	return e.conn.idleSince.Before(other.conn.idleSince)
}

// makeRoomFor evicts a connection other than newConn, and reports whether it did. overMaxConns is whether the table has
// more than maxConns connections. The caller holds t.mu.
func (t *connTable) makeRoomFor(newConn *clientConn, overMaxConns bool) bool {
	for _, candidate := range t.evictionCandidates(newConn, overMaxConns) {
		if t.closeIfUnchanged(candidate.conn, candidate.observed, reasonConnectionLimit) {
			return true
		}
		candidate.conn.idleSince = time.Now() // a request is arriving on it
	}
	return false
}

// evictionCandidates returns the connections that may be evicted, in the order in which they are, but no more than
// maxEvictionAttempts. It visits each connection once, since clients that connect again and again make it run that often. The
// caller holds t.mu.
func (t *connTable) evictionCandidates(except *clientConn, overMaxConns bool) []evictionCandidate {
	now := time.Now()
	candidates := make([]evictionCandidate, 0, maxEvictionAttempts+1)
	for _, c := range t.open {
		observed := c.state.Load()
		candidate := evictionCandidate{c, observed, rankForEviction(c, observed, overMaxConns, now)}
		if c == except || candidate.rank == rankKeep {
			continue
		}
		at := len(candidates)
		for at > 0 && candidate.isBefore(candidates[at-1]) {
			at--
		}
		if at < maxEvictionAttempts {
			candidates = slices.Insert(candidates, at, candidate)
			candidates = candidates[:min(len(candidates), maxEvictionAttempts)]
		}
	}
	return candidates
}

// rankForEviction ranks a connection in the observed state. The caller holds t.mu.
func rankForEviction(c *clientConn, observed connState, overMaxConns bool, now time.Time) evictionRank {
	switch observed {
	case stateMalformed:
		return rankMalformed
	case stateIdle:
		return rankIdleForEviction(c, overMaxConns, now)
	case stateReceiving:
		if !c.hasResponded.Load() && now.Sub(c.lastReadTime()) > stalledTimeout {
			return rankNoFirstRequest
		}
	}
	return rankKeep
}

func rankIdleForEviction(c *clientConn, overMaxConns bool, now time.Time) evictionRank {
	idleFor := now.Sub(c.idleSince)
	if c.hasResponded.Load() {
		if overMaxConns || idleFor > minIdleBeforeEviction {
			return rankIdle
		}
		return rankKeep
	}
	if idleFor > silentTimeout {
		return rankNoFirstRequest
	}
	if overMaxConns {
		return rankNew
	}
	return rankKeep
}

// closeIfUnchanged closes a connection for an eviction, a timeout or a shutdown, if it is still in the observed state:
// idle, receiving, received or malformed. It reports whether it did. A connection with unread bytes is not closed,
// because a request is arriving on it, unless it is malformed. closeIfNothingUnread documents what the client gets. The
// caller holds t.mu.
func (t *connTable) closeIfUnchanged(c *clientConn, observed connState, reason closeReason) bool {
	c.readMu.Lock()
	closed := c.closeIfNothingUnread(observed)
	if closed {
		c.recordCloseReason(reason)
	}
	// Close waits for a read that has begun, and that read waits for readMu. If the mutex were held during Close, both
	// would wait forever, and so would everything that needs the table.
	c.readMu.Unlock()
	if !closed {
		return false
	}
	c.unreadAtClose.Store(int64(socket.UnreadBytes(c.Conn)))
	_ = c.Close()
	t.remove(c)
	return true
}
