package clienthttp

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"dapplegate/internal/httpmsg"
	"dapplegate/internal/socket"
)

const (
	// readAheadSize is the size, in bytes, of a read of further requests. Each connection has memory for as much; more is taken
	// from the memory for requests.
	readAheadSize = 4 << 10
	// maxReadAhead limits the bytes of further requests that are read ahead on a connection: two of the largest size.
	maxReadAhead = 2 * httpmsg.MaxRequestBody
	// backgroundReadTimeout is how long a handler waits for a background read that has bytes to read, on a busy machine, and
	// backgroundReadPollInterval how often it checks.
	backgroundReadTimeout      = 100 * time.Millisecond
	backgroundReadPollInterval = 100 * time.Microsecond
)

// readAhead holds bytes of further requests that have been read and not yet passed to net/http, and when they arrived.
type readAhead struct {
	bytes    []byte
	segments []readSegment
	memory   requestMemory
}

// readSegment is a number of bytes that were read together.
type readSegment struct {
	length  int
	arrived arrivalTimes
}

// makeRoom takes memory for further bytes. It returns false if there is none, or if maxReadAhead would be exceeded.
func (r *readAhead) makeRoom(further int) bool {
	size := len(r.bytes) + further
	if size > maxReadAhead {
		return false
	}
	missing := int64(max(size-readAheadSize, 0)) - r.memory.acquired
	return missing <= 0 || r.memory.acquire(missing) == nil
}

// add adds bytes that were read together.
func (r *readAhead) add(data []byte, arrived arrivalTimes) {
	if len(data) == 0 {
		return
	}
	r.bytes = append(r.bytes, data...)
	r.segments = append(r.segments, readSegment{len(data), arrived})
}

// drop removes the first bytes. The memory is released when none are left.
func (r *readAhead) drop(length int) {
	r.bytes = r.bytes[length:]
	for length > 0 && r.segments[0].length <= length {
		length -= r.segments[0].length
		r.segments = r.segments[1:]
	}
	if len(r.bytes) == 0 {
		r.memory.release()
		*r = readAhead{memory: r.memory}
		return
	}
	r.segments[0].length -= length
}

// arrivalOf returns when a request arrived that consists of the first bytes of the segments: the earliest possible time, where
// the exact time is not known.
func arrivalOf(segments []readSegment, length int) time.Time {
	for _, segment := range segments {
		if length < segment.length {
			return segment.arrived.firstByteNotBefore
		}
		if length == segment.length {
			return segment.arrived.lastByte
		}
		length -= segment.length
	}
	return time.Now()
}

// readAllAvailable reads all bytes that are available, after a background read has received the first byte of a further request.
// It returns them and a time at which nothing was left unread, or the zero time if there may be more.
//
// Reading ahead has two purposes. The arrival time of bytes is known only until further bytes follow them: a request that waits
// behind another would count as received later than it arrived. And the client's close arrives behind all that the client has
// sent: if so much is unread that the kernel accepts no more, the close cannot be detected. closeHidden is set then.
func (c *clientConn) readAllAvailable() (data []byte, drainedAt time.Time) {
	if c.rawConn == nil {
		return nil, time.Time{}
	}
	for {
		if !c.readAhead.makeRoom(len(data) + readAheadSize) {
			c.closeHidden.Store(true)
			return data, time.Time{}
		}
		length := len(data)
		data = slices.Grow(data, readAheadSize)[:length+readAheadSize]
		n, err := c.readUntilFull(data[length:])
		data = data[:length+n]
		if err != nil {
			c.closeHidden.Store(false)
			if errors.Is(err, syscall.EAGAIN) {
				drainedAt = c.readStartedAt
			}
			return data, drainedAt // the next read returns any other error again
		}
	}
}

// readUntilFull reads available bytes until the buffer is full, or until an error, which is EAGAIN if no more are available.
func (c *clientConn) readUntilFull(buffer []byte) (length int, err error) {
	controlError := c.rawConn.Control(func(fd uintptr) {
		for n := 0; err == nil && length < len(buffer); length += n {
			n, err = c.readAvailable(int(fd), buffer[length:])
		}
	})
	if controlError != nil {
		return length, controlError
	}
	return length, err
}

// readFurtherAhead reads what has arrived since the background read of the current request has ended. Before that it does
// nothing, since only one goroutine may read. Only the goroutine that serves the connection may call it.
func (c *clientConn) readFurtherAhead() {
	if !c.backgroundReadEnded.Load() {
		return
	}
	data, drainedAt := c.readAllAvailable()
	if len(data) > 0 {
		c.readAhead.add(data, c.estimateArrival(false))
	}
	c.unreadSince = latest(c.unreadSince, drainedAt)
}

// clientPresence is whether the client of a request still waits for the response.
type clientPresence int

const (
	clientPresent clientPresence = iota
	clientGone
	// clientUnknown: so much is unread on the connection that the client's close could not be detected.
	clientUnknown
)

// checkPresence determines whether the client still waits, right before a request is submitted. Only the goroutine that serves the
// connection may call it.
func (c *clientConn) checkPresence() clientPresence {
	if c.Conn == nil {
		return clientPresent
	}
	switch {
	case c.backgroundReadEnded.Load():
	case socket.UnreadBytes(c.Conn) > 0:
		c.awaitBackgroundRead()
	default:
		c.closeHidden.Store(false) // nothing is unread, and the background read detects a close
	}
	c.readFurtherAhead()
	switch {
	case c.clientClosed():
		return clientGone
	case c.closeHidden.Load():
		return clientUnknown
	}
	return clientPresent
}

// awaitBackgroundRead waits for the background read of the current request, for which there are bytes.
func (c *clientConn) awaitBackgroundRead() {
	for giveUpAt := time.Now().Add(backgroundReadTimeout); !c.backgroundReadEnded.Load() && time.Now().Before(giveUpAt); {
		time.Sleep(backgroundReadPollInterval)
	}
}

// mayHaveClosed reports whether the client has closed the connection, or whether that cannot be detected. Any goroutine may call
// it.
func (c *clientConn) mayHaveClosed() bool { return c.closeHidden.Load() || c.clientClosed() }
