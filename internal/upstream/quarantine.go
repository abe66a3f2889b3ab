package upstream

import (
	"sync/atomic"
	"time"
)

// Targets send some responses twice. If the next request were sent on the connection before the second copy arrives, the copy
// would be taken for the response to that request. A connection is therefore not reused for some time after a response. A copy
// that arrives within that time is detected by IsIdle, and the connection is closed.
const (
	// maxCopyDelay is how much later than the response its second copy may leave the target.
	maxCopyDelay = 10 * time.Millisecond
	// maxNetworkSpread is how much longer the network may take for the copy than for the response: a message takes 2 to 34 ms.
	maxNetworkSpread = 32 * time.Millisecond
	// quarantineMargin covers delays of this process.
	quarantineMargin = 3 * time.Millisecond
	// quarantineTime is how long a connection is not reused after a response, as long as no copy has come later than expected.
	quarantineTime = maxCopyDelay + maxNetworkSpread + quarantineMargin

	// maxQuarantineTime is the longest quarantine.
	maxQuarantineTime = 200 * time.Millisecond
	// lateDataMemory is for how long late data makes the quarantine longer.
	lateDataMemory = time.Minute
)

// quarantine determines how long the connections to all targets are not reused after a response. Its zero value is ready to
// use. It is safe for concurrent use.
type quarantine struct {
	extended atomic.Pointer[extendedQuarantine] // nil if no late data has arrived
}

// extendedQuarantine is a quarantine that is longer than quarantineTime for some time.
type extendedQuarantine struct {
	duration time.Duration
	until    time.Time
}

// remaining returns how long the quarantine of an idle connection still lasts. The result is not positive if the connection
// is usable now.
func (q *quarantine) remaining(c *pooledConn) time.Duration {
	if c.uses == 0 {
		return 0
	}
	return q.duration(time.Now()) - c.idleTime()
}

// duration returns how long a connection is not reused, at the given time.
func (q *quarantine) duration(now time.Time) time.Duration {
	if extended := q.extended.Load(); extended != nil && now.Before(extended.until) {
		return extended.duration
	}
	return quarantineTime
}

// recordLateData makes the quarantine longer for a while, after data that nobody had requested arrived on an idle connection so
// late that another copy, for which the network takes longer, could come after the quarantine. A network and targets that delay one
// copy may delay others, on connections to any target. Data that is later than maxQuarantineTime is not taken for a copy.
func (q *quarantine) recordLateData(now time.Time, delay time.Duration) {
	duration := max(delay+quarantineMargin, q.duration(now))
	if duration > quarantineTime && duration <= maxQuarantineTime {
		q.extended.Store(&extendedQuarantine{duration: duration, until: now.Add(lateDataMemory)})
	}
}

// notIdleReason returns why a connection that should be idle and is not must be closed. Data that nobody has requested is
// logged and recorded.
func (q *quarantine) notIdleReason(c *pooledConn, log connLog) CloseReason {
	delay, ok := c.lateDataDelay()
	if !ok {
		return ReasonClosedWhileIdle
	}
	q.recordLateData(time.Now(), delay)
	log.unrequestedData(delay)
	return ReasonUnrequestedData
}
