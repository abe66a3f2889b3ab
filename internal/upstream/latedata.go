package upstream

import (
	"syscall"
	"time"

	"dapplegate/internal/socket"
)

// lateDataReporter is a connection that can tell how old its unread bytes are.
type lateDataReporter interface {
	// unreadFor returns how long ago unread bytes arrived, or 0 if that is not known. ok is false if there are none.
	unreadFor() (elapsed time.Duration, ok bool)
}

var _ lateDataReporter = (*httpConn)(nil)

// unreadFor implements lateDataReporter.
func (c *httpConn) unreadFor() (elapsed time.Duration, ok bool) {
	if socket.UnreadBytes(c.Conn) == 0 {
		return 0, false
	}
	syscallConn, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return 0, true
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, true
	}
	elapsed, _ = socket.SinceLastData(rawConn)
	return elapsed, true
}

// lateDataDelay returns how long after the connection's last response bytes arrived that nobody had requested, at the most. ok
// is false if there are none.
func (c *pooledConn) lateDataDelay() (delay time.Duration, ok bool) {
	reporter, canTell := c.Conn.(lateDataReporter)
	if !canTell || c.returnedAt.IsZero() {
		return 0, false
	}
	elapsed, ok := reporter.unreadFor()
	return max(0, c.idleTime()-elapsed), ok
}
