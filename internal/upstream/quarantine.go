package upstream

import (
	"sync/atomic"
	"time"
)

// Targets send some responses twice. If the next request were sent on the connection before the second copy arrives, the copy
// would be taken for the response to that request. A connection is therefore not reused for some time after a response. A copy
// that arrives within that time is detected by IsIdle, and the connection is closed.
const (
	// quarantineTime is how long a connection is not reused after a response, as long as no target sends late data.
	quarantineTime = 10 * time.Millisecond

	// maxCopyDelay is how much later than the response its second copy may leave the target.
	maxCopyDelay = 10 * time.Millisecond
	// maxNetworkSpread is how much longer the network may take for the copy than for the response: a message takes 2 to 34 ms.
	maxNetworkSpread = 32 * time.Millisecond
	// quarantineMargin covers delays of this process.
	quarantineMargin = 3 * time.Millisecond
	// longQuarantineTime is how long a connection is not reused once a target has sent late data.
	longQuarantineTime = maxCopyDelay + maxNetworkSpread + quarantineMargin

	// lateDataMemory is for how long late data makes the quarantine longer.
	lateDataMemory = time.Minute
)

// quarantine determines how long the connections to all targets are not reused after a response. Its zero value is ready to
// use. It is safe for concurrent use.
type quarantine struct {
	longUntil atomic.Pointer[time.Time] // nil if no late data has arrived
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
	if until := q.longUntil.Load(); until != nil && now.Before(*until) {
		return longQuarantineTime
	}
	return quarantineTime
}

// recordLateData makes the quarantine longer, after data that nobody had requested arrived on an idle connection. A network
// and targets that delay one copy may delay others, on connections to any target.
func (q *quarantine) recordLateData(now time.Time) {
	until := now.Add(lateDataMemory)
	q.longUntil.Store(&until)
}

// notIdleReason returns why a connection that should be idle and is not must be closed. Data that nobody has requested is
// logged and recorded.
func (q *quarantine) notIdleReason(c *pooledConn, log connLog) CloseReason {
	delay, ok := c.lateDataDelay()
	if !ok {
		return ReasonClosedWhileIdle
	}
	q.recordLateData(time.Now())
	log.unrequestedData(delay)
	return ReasonUnrequestedData
}
