package clienthttp

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dapplegate/internal/socket"
)

// A connection's phases. Whoever moves it on does so by a compare-and-swap, so that a connection is never closed to
// make room once a request on it has been taken.
const (
	quiet    int32 = iota // net/http waits for a request, and no byte of one has been read
	reading               // part of a request has been read, or all of it and its handler has not claimed it
	active                // a request is open
	answered              // a request has its answer, and net/http may hold bytes of the next that it read ahead
	spent                 // a request was refused, and what is left of it is read away; no other follows
	evicted               // closed to make room; nothing read from it counts any more
)

// phaseNames are the phases as logs tell them.
var phaseNames = [...]string{quiet: "QUIET", reading: "READING", active: "ACTIVE", answered: "ANSWERED", spent: "REFUSED", evicted: "EVICTED"}

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

const (
	// silentFor is how long a new connection may bring nothing before it makes room ahead of idle ones: usual
	// clients connect to ask at once.
	silentFor = 50 * time.Millisecond
	// unusedFor is how long an answered connection must have been without a request to make room while there is some.
	// At ten times that, a crowd of connections that asked once shut usual clients out.
	unusedFor = 25 * time.Millisecond
	// slack is how many connections past the cap are taken, each to have one request refused.
	slack = 24
	// stalledFor is how long a request of which part has come must have brought nothing more for its connection to be closed
	// over it. One that has come whole is claimed long before, unless the process is held up.
	stalledFor = 200 * time.Millisecond
	// mostTries is how many connections a new one looks at for room.
	mostTries = 8
)

// connTable caps clients' connections. A new one past the cap is still taken, since the machine has accepted
// it and a request on it would be lost: one without a request makes room. Where there is none, the new one's
// request is refused at once, and the connection closed.
//
// Past easy connections, the cap is for those with a request open alone. Clients hold so many and no more, those that
// asked once and stay included: where these take all, usual ones cannot even connect, and no cap here would be met.
type connTable struct {
	most int
	easy int
	log  *slog.Logger
	mu   sync.Mutex
	open map[*clientConn]bool
	left bool
}

func newConnTable(most, easy int, log *slog.Logger) *connTable {
	return &connTable{most: most, easy: min(easy, most), log: log, open: map[*clientConn]bool{}}
}

func (t *connTable) add(c net.Conn) *clientConn {
	cc := &clientConn{Conn: c, since: time.Now(), ahead: make(chan struct{})}
	if sc, ok := c.(syscall.Conn); ok {
		cc.raw, _ = sc.SyscallConn()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.open[cc] = true
	if len(t.open) <= t.easy {
		return cc
	}
	full := len(t.open) > t.most
	for range mostTries {
		o, phase := t.leastNeeded(cc, full)
		if o == nil {
			break
		}
		if t.evict(o, phase, "CAP") {
			return cc
		}
		o.since = time.Now() // it is asking just now
	}
	if full {
		cc.extra = true
		cc.end("CAP")
		if len(t.open) > t.most+slack {
			cc.phase.Store(evicted)
			cc.Conn.Close()
		}
	}
	return cc
}

// endIdle closes the connections that have been without a request for idle, and those of which part of a request has
// come and nothing more for slow: net/http gives the first bytes of a further request all the time of an idle connection.
// It closes no idle one while the program leaves: what clients have is then all they can use.
func (t *connTable) endIdle(idle, slow time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		switch phase := c.phase.Load(); {
		case phase == reading && time.Since(c.lastRead()) >= slow:
			t.evict(c, reading, "REQUEST_LATE")
		case phase == quiet && c.used.Load() && time.Since(c.since) >= idle && !t.left:
			t.evict(c, quiet, "IDLE")
		}
	}
}

// lateRefusal goes to a client over whose request its connection is closed. All of that request may be here by now: it has
// its answer then, and nothing of it was sent on.
const lateRefusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// evict closes a connection that is still in the phase, which is any but active and answered. One with bytes on their way to
// it is not closed, unless it was refused: it is asking just now. One with part of a request is refused that. The table is
// locked.
func (t *connTable) evict(c *clientConn, phase int32, reason string) bool {
	c.taking.Lock()
	free := c.endNow(phase)
	if free {
		c.end(reason)
	}
	// Not while closing: Close waits for a read that has begun, and that one waits for the lock.
	c.taking.Unlock()
	if !free {
		return false
	}
	c.Conn.Close()
	delete(t.open, c)
	return true
}

// leastNeeded is the connection to close for a new one: one that has been refused; otherwise one that has said nothing
// for a while or is slow with its first request, the oldest first; otherwise the one unused longest; otherwise, where the
// table is full, one that is new and silent. Never one with a request open. With it comes the phase it was seen in.
func (t *connTable) leastNeeded(but *clientConn, full bool) (best *clientConn, seen int32) {
	now := time.Now()
	rank := func(c *clientConn, phase int32) int {
		first := !c.used.Load()
		switch phase {
		case spent:
			return 4
		case quiet:
			switch {
			case first && now.Sub(c.since) > silentFor:
				return 3
			case !first && (full || now.Sub(c.since) > unusedFor):
				return 2
			case full && first:
				return 1
			}
		case reading:
			if first && now.Sub(c.lastRead()) > stalledFor {
				return 3
			}
		}
		return 0
	}
	most := 0
	for c := range t.open {
		phase := c.phase.Load()
		if r := rank(c, phase); c != but && r > 0 && (r > most || r == most && c.since.Before(best.since)) {
			best, seen, most = c, phase, r
		}
	}
	return best, seen
}

// state follows net/http's states, and logs one line when a connection ends.
func (t *connTable) state(c net.Conn, st http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch st {
	case http.StateActive:
		cc.asked.Add(1)
	case http.StateIdle:
		t.mu.Lock()
		cc.since = time.Now()
		t.mu.Unlock()
		cc.used.Store(true)
		cc.open.Store(nil)
		if !cc.phase.CompareAndSwap(active, answered) {
			cc.phase.CompareAndSwap(reading, answered) // net/http answered it by itself
		}
	case http.StateClosed, http.StateHijacked:
		t.mu.Lock()
		delete(t.open, cc)
		left := t.left
		t.mu.Unlock()
		reason := "CLOSED_BY_US" // after an answer that says so, or bytes that are no request
		if left {
			reason = "LEAVING"
		}
		if p := cc.reason.Load(); p != nil && *p != "CLIENT_READ_FAILED" {
			reason = *p
		}
		t.log.Info("connection ended", slog.String("side", "client"), slog.String("peer", c.RemoteAddr().String()),
			slog.String("reason", reason), slog.Int64("requests", cc.asked.Load()), slog.String("request", cc.openRequest()),
			slog.String("phase", phaseNames[cc.phase.Load()]))
	}
}

// leave marks that connections end from now on because the program does.
func (t *connTable) leave() {
	t.mu.Lock()
	t.left = true
	t.mu.Unlock()
}

// endUnasked closes what has no request open, and with all also what has part of one and stalls, which is otherwise let come
// in whole. It returns how many connections are left.
func (t *connTable) endUnasked(all bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		phase := c.phase.Load()
		stalled := phase == reading && time.Since(c.lastRead()) > stalledFor
		if phase == quiet || phase == spent || all && stalled {
			t.evict(c, phase, "LEAVING")
		}
	}
	return len(t.open)
}
