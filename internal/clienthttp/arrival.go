package clienthttp

import (
	"time"

	"dapplegate/internal/socket"
)

// arrivalTimes tells when bytes that were read together arrived at this machine.
type arrivalTimes struct {
	lastByte           time.Time // when the last byte arrived
	firstByteNotBefore time.Time // the earliest time at which the first byte can have arrived
}

// estimateArrival returns when the bytes that were just read arrived. waited is whether nothing was available when the read
// began.
//
// A request may have waited in the accept queue, behind another request or for the process to run. Its client's timeout was
// running meanwhile, so the request must not count as received only when it was read. The kernel tells how long ago the last
// bytes arrived. Where it does not, bytes that were available at once count as received at the earliest time at which they
// can have arrived.
//
// A read that finds nothing proves that nothing was unread when it began. A read that returns fewer bytes than it may
// proves nothing. All times are read before the call that they belong to: if the process is held up in between, a request
// counts as received too early by that time at the most, and never too late.
func (c *clientConn) estimateArrival(waited bool) arrivalTimes {
	mayHaveWaited := !waited && !c.unreadSince.IsZero()
	askedAt := time.Now()
	arrived := arrivalTimes{lastByte: askedAt}
	if sinceLastData, known := c.sinceLastData(); known {
		arrived.lastByte = latest(c.unreadSince, askedAt.Add(-sinceLastData))
	} else if mayHaveWaited {
		arrived.lastByte = c.unreadSince
	}
	arrived.firstByteNotBefore = arrived.lastByte
	if mayHaveWaited {
		arrived.firstByteNotBefore = c.unreadSince
	} else {
		c.unreadSince = earliest(c.readStartedAt, arrived.lastByte)
	}
	return arrived
}

// sinceLastData returns how long ago the last bytes arrived at this machine. known is false if the kernel does not tell.
func (c *clientConn) sinceLastData() (elapsed time.Duration, known bool) {
	if c.rawConn == nil {
		return 0, false
	}
	return socket.SinceLastData(c.rawConn)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
