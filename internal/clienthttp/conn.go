package clienthttp

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dapplegate/internal/socket"
)

// clientConn notes when a client's bytes came and why its connection ended.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn           // nil where the system has none
	taking  sync.Mutex                // held while bytes are taken, and while it is decided to close the connection
	at      atomic.Pointer[time.Time] // of the last read that brought bytes
	queued  atomic.Pointer[time.Time] // since when the next request may wait unread behind an open one; nil: none did
	emptied bool                      // nothing more waited when net/http looked last; under its reader's lock
	asked   atomic.Int64              // requests of which a head has come
	used    atomic.Bool               // a request has been answered on it
	reason  atomic.Pointer[string]
	open    atomic.Pointer[string] // the id of the request that is open; nil: none is
	phase   atomic.Int32
	ahead   chan struct{} // closed once more than one request has come at a time; nil: not watched
	once    sync.Once
	since   time.Time // when it became quiet; under the table's lock
	extra   bool      // past the cap, with none to make room
}

func (c *clientConn) Read(b []byte) (n int, err error) {
	// net/http reads on after an answer only once it has used up what it read ahead: up to then a whole request may wait
	// there, which a connection that counted as quiet would be closed over.
	c.phase.CompareAndSwap(answered, quiet)
	if c.raw == nil {
		n, err = c.Conn.Read(b)
		c.took(n)
	} else {
		n, err = c.readRaw(b)
	}
	if err != nil {
		c.end(c.readCause(err))
	}
	return n, err
}

// readRaw reads from the socket, and notes since when a request may have waited there behind an open one.
func (c *clientConn) readRaw(b []byte) (n int, err error) {
	before := c.at.Load()
	blocked := false
	ended := c.raw.Read(func(fd uintptr) bool {
		n, err = c.take(int(fd), b)
		blocked = blocked || err == syscall.EAGAIN
		return err != syscall.EAGAIN
	})
	switch {
	case errors.Is(ended, os.ErrDeadlineExceeded) && len(b) > lookoutSize:
		n, err = c.readOrEnd(b, ended)
	case ended != nil:
		n, err = 0, ended
	}
	if len(b) == lookoutSize {
		c.noteBehind(before, blocked, n == 1)
	} else if c.emptied || blocked {
		c.queued.Store(nil) // what net/http reads now came after the request before
		c.emptied = false
	}
	return n, err
}

// readOrEnd reads what has come by the time at which a read was to end; if nothing has, it ends a connection that rests in
// the same step. The process may have been held up past that time with a request here.
func (c *clientConn) readOrEnd(b []byte, ended error) (n int, err error) {
	if c.phase.Load() == quiet {
		reason := c.readCause(ended)
		c.taking.Lock()
		over := c.endNow(quiet)
		c.taking.Unlock()
		if over {
			c.end(reason)
			return 0, ended
		}
	}
	if failed := c.raw.Control(func(fd uintptr) { n, err = c.take(int(fd), b) }); failed != nil {
		return 0, failed
	}
	if err == syscall.EAGAIN {
		return 0, ended
	}
	return n, err
}

// noteBehind notes what net/http's look-out for the client's departure found: whether nothing waited at first, and whether
// the first byte of a further request came. One that waited may have come along with the request that is open.
func (c *clientConn) noteBehind(openSince *time.Time, blocked, came bool) {
	c.emptied = blocked && !came
	if !came || c.queued.Load() != nil {
		return
	}
	if blocked {
		openSince = c.at.Load()
	}
	c.queued.Store(openSince)
}

// lookoutSize is the size of the reads by which net/http looks out for the client's departure while a request is open. No
// other read of its is as small.
const lookoutSize = 1

// take reads what is there, and notes in the same step that it did: a connection that still looked quiet with a request
// just read would be closed over it.
func (c *clientConn) take(fd int, b []byte) (int, error) {
	c.taking.Lock()
	defer c.taking.Unlock()
	if c.phase.Load() == evicted {
		return 0, net.ErrClosed
	}
	n, err := syscall.Read(fd, b)
	for err == syscall.EINTR {
		n, err = syscall.Read(fd, b)
	}
	switch {
	case err == syscall.EAGAIN:
		return 0, err
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0 && len(b) > 0:
		return 0, io.EOF
	}
	c.took(n)
	if n == 1 && len(b) == lookoutSize && c.ahead != nil {
		// With a byte in hand net/http looks out no more.
		c.once.Do(func() { close(c.ahead) })
	}
	return n, nil
}

// gone tells whether the client has ended the connection, also where bytes of it are still unread.
func (c *clientConn) gone() bool {
	return c.Conn != nil && socket.IsPeerClosed(c.Conn)
}

// took notes that bytes came.
func (c *clientConn) took(n int) {
	if n > 0 {
		now := time.Now()
		c.at.Store(&now)
		c.phase.CompareAndSwap(quiet, reading)
	}
}

func (c *clientConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.end("CLIENT_WRITE_FAILED")
	}
	return n, err
}

// endNow ends a connection that is still in the phase, unless bytes are on their way to it. What is refused already is let
// go whatever comes.
func (c *clientConn) endNow(phase int32) bool {
	claim := func() bool { return c.phase.CompareAndSwap(phase, evicted) }
	switch phase {
	case spent:
		return claim()
	case reading:
		return socket.ShutdownIfQuiet(c.Conn, lateRefusal, claim)
	}
	return socket.ShutdownIfQuiet(c.Conn, "", claim)
}

// CloseWrite lets net/http half-close, so that an answer is not lost to a reset by bytes it never read.
func (c *clientConn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return nil
}

// claim takes the request that has been read. It ends the handler where the connection was refused and closed meanwhile.
func (c *clientConn) claim() {
	if !c.phase.CompareAndSwap(reading, active) &&
		!c.phase.CompareAndSwap(answered, active) && // all of it was read ahead, with the one before
		!c.phase.CompareAndSwap(quiet, active) { // its last bytes were
		panic(http.ErrAbortHandler)
	}
}

// openRequest is the id of the request that is open, for logs; empty: none is.
func (c *clientConn) openRequest() string {
	if id := c.open.Load(); id != nil {
		return *id
	}
	return ""
}

// end notes the first reason that is one.
func (c *clientConn) end(reason string) {
	if reason != "" {
		c.reason.CompareAndSwap(nil, &reason)
	}
}

func (c *clientConn) readCause(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return "CLIENT_CLOSED"
	case errors.Is(err, syscall.ECONNRESET):
		return "CLIENT_RESET"
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return "CLIENT_READ_FAILED"
	}
	switch phase := c.phase.Load(); {
	case phase == reading:
		return "REQUEST_LATE"
	case phase == quiet && !c.used.Load():
		return "SILENT"
	}
	// net/http ends its own background read by a deadline in the past, which is no one's end; and only while the
	// program leaves is a connection kept so long that it ends an idle one.
	return ""
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connOf is the connection that a request came on; a blank one in tests that have none.
func connOf(ctx context.Context) *clientConn {
	if c, ok := ctx.Value(connKey{}).(*clientConn); ok {
		return c
	}
	return &clientConn{}
}

// arrival is from when the client's time runs: when the last byte of the request so far was read, which may be well before
// a busy process gets to run its handler. Of one that was sent behind another, it is the earliest that it may have come.
func (c *clientConn) arrival() time.Time {
	if queued := c.queued.Load(); queued != nil {
		return *queued
	}
	return c.lastRead()
}

// lastRead is when bytes came last.
func (c *clientConn) lastRead() time.Time {
	if at := c.at.Load(); at != nil {
		return *at
	}
	return time.Now()
}
