package clienthttp

import "time"

const (
	// silentTimeout is how long nothing may arrive on a new connection before it is evicted ahead of idle ones. Well-behaved
	// clients send a request as soon as they are connected.
	silentTimeout = 50 * time.Millisecond
	// minIdleBeforeEviction is how long a connection must have been idle after a response to be evicted while the table has
	// at most maxOpen. It is short, so that many connections with one request each do not keep other clients out.
	minIdleBeforeEviction = 25 * time.Millisecond
	// stalledTimeout is how long nothing more must have arrived of a request that has begun to arrive, for the request to
	// count as stalled. A complete request is claimed long before, unless the process is held up.
	stalledTimeout = 200 * time.Millisecond
	// maxEvictionAttempts is how many connections are tried to make room for a new one, which waits meanwhile.
	maxEvictionAttempts = 8
)

// evictionRank orders connections by how dispensable they are; the highest is evicted first.
type evictionRank int

const (
	// rankKeep: not to be evicted, since a request is in flight or may have arrived.
	rankKeep evictionRank = iota
	// rankNew: new, and nothing has been read yet; evicted only if the table has more than maxOpen.
	rankNew
	// rankIdle: idle after a response.
	rankIdle
	// rankNoFirstRequest: new, and silent for silentTimeout, or its first request has stalled.
	rankNoFirstRequest
	// rankMalformed: its request was malformed and has its response, and none follows.
	rankMalformed
)

// makeRoomFor evicts a connection other than the new one, and reports whether one was evicted. overMaxOpen is whether the
// table has more than maxOpen connections. The table is locked.
func (t *connTable) makeRoomFor(newConn *clientConn, overMaxOpen bool) bool {
	for range maxEvictionAttempts {
		candidate, observed := t.evictionCandidate(newConn, overMaxOpen)
		if candidate == nil {
			return false
		}
		if t.closeIfStill(candidate, observed, reasonConnectionLimit) {
			return true
		}
		candidate.idleSince = time.Now() // a request is arriving on it
	}
	return false
}

// evictionCandidate returns the connection to evict and its observed state: the one of the highest rank, and among equals
// the one idle longest; nil: none may be evicted. The table is locked.
func (t *connTable) evictionCandidate(except *clientConn, overMaxOpen bool) (candidate *clientConn, observed connState) {
	now := time.Now()
	highest := rankKeep
	for c := range t.open {
		state := c.state.Load()
		rank := rankForEviction(c, state, overMaxOpen, now)
		if c == except || rank == rankKeep {
			continue
		}
		if rank > highest || rank == highest && c.idleSince.Before(candidate.idleSince) {
			candidate = c
			observed = state
			highest = rank
		}
	}
	return candidate, observed
}

// rankForEviction ranks a connection by its observed state. The table is locked.
func rankForEviction(c *clientConn, observed connState, overMaxOpen bool, now time.Time) evictionRank {
	switch observed {
	case stateMalformed:
		return rankMalformed
	case stateIdle:
		return rankIdleForEviction(c, overMaxOpen, now)
	case stateReceiving:
		if !c.hasResponded.Load() && now.Sub(c.lastReadTime()) > stalledTimeout {
			return rankNoFirstRequest
		}
	}
	return rankKeep
}

func rankIdleForEviction(c *clientConn, overMaxOpen bool, now time.Time) evictionRank {
	idleFor := now.Sub(c.idleSince)
	if c.hasResponded.Load() {
		if overMaxOpen || idleFor > minIdleBeforeEviction {
			return rankIdle
		}
		return rankKeep
	}
	if idleFor > silentTimeout {
		return rankNoFirstRequest
	}
	if overMaxOpen {
		return rankNew
	}
	return rankKeep
}

// closeIfStill closes a connection - to make room, for a timeout or at shutdown - if it is still in its observed state, which
// is idle, receiving or malformed, and reports whether it did. A connection with unread bytes is not closed, since a request
// is arriving on it, unless it is malformed. See closeIfNothingUnread for what its client gets. The table is locked.
func (t *connTable) closeIfStill(c *clientConn, observed connState, reason closeReason) bool {
	c.readMutex.Lock()
	closed := c.closeIfNothingUnread(observed)
	if closed {
		c.noteCloseReason(reason)
	}
	// Close waits for a read that has begun, and that read waits for this mutex. If it were held during Close, both would
	// wait forever, and the table with them.
	c.readMutex.Unlock()
	if !closed {
		return false
	}
	_ = c.Close()
	delete(t.open, c)
	return true
}
