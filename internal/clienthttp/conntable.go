package clienthttp

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"dapplegate/internal/socket"
)

// maxOverLimit is how many connections over the limit are accepted, each to have one request rejected.
const maxOverLimit = 24

// connTable holds the clients' connections and limits their number.
//
// A new connection over the limit is accepted all the same: the kernel has completed its handshake, and a request that is
// already on it would get no response. A connection without a request is evicted for it. Where there is none, the new
// connection's request is rejected at once, and the connection closed.
//
// Idle connections are evicted well below maxOpen. Clients count their open connections, idle ones included, against a
// limit of their own: if idle ones used that up, well-behaved clients could not even connect, and maxOpen would never be
// reached.
type connTable struct {
	// maxOpen is the number of open connections above which a new one is over the limit, unless another is evicted for it.
	maxOpen int
	// evictIdleAbove is the number of open connections, in flight or not, above which each new one evicts one that has been idle
	// long enough.
	evictIdleAbove int
	log            *slog.Logger

	mutex        sync.Mutex // guards what follows, and idleSince of each connection
	open         map[*clientConn]bool
	shuttingDown bool // connections are closed because of a graceful shutdown
}

func newConnTable(maxOpen, evictIdleAbove int, log *slog.Logger) *connTable {
	return &connTable{maxOpen: maxOpen, evictIdleAbove: min(evictIdleAbove, maxOpen), log: log, open: map[*clientConn]bool{}}
}

// add takes an accepted connection into the table, and evicts another for it if there are too many.
func (t *connTable) add(accepted net.Conn) *clientConn {
	c := newClientConn(accepted)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.open[c] = true
	if len(t.open) <= t.evictIdleAbove {
		return c
	}
	overMaxOpen := len(t.open) > t.maxOpen
	if !t.makeRoomFor(c, overMaxOpen) && overMaxOpen {
		t.markOverLimit(c)
	}
	return c
}

// markOverLimit has the connection's request rejected. If too many wait for that, it sends unservedResponse and closes the
// connection at once, whatever is unread on it. The table is locked, and nothing has been read from the connection yet.
func (t *connTable) markOverLimit(c *clientConn) {
	c.overLimit = true
	c.noteCloseReason(reasonConnectionLimit)
	if len(t.open) > t.maxOpen+maxOverLimit {
		c.state.Store(stateClosed)
		socket.TrySend(c.Conn, unservedResponse)
		_ = c.Close()
	}
}

// closeTimedOut closes the connections that have been idle for keepAlive, and those whose request has not reached its handler
// within claimTimeout of its first byte. net/http by itself would give the first four bytes of a further request as long as
// its timeout for idle connections. During shutdown no idle connection is closed here: clients cannot open others.
func (t *connTable) closeTimedOut(keepAlive, claimTimeout time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for c := range t.open {
		switch state := c.state.Load(); {
		case (state == stateReceiving || state == stateReceived) && c.receivingFor() >= claimTimeout:
			t.closeIfStill(c, state, reasonRequestReadTimeout)
		case state == stateIdle && c.hasResponded.Load() && time.Since(c.idleSince) >= keepAlive && !t.shuttingDown:
			t.closeIfStill(c, stateIdle, reasonKeepAliveTimeout)
		}
	}
}

// onConnState is net/http's state hook.
func (t *connTable) onConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.requestCount.Add(1)
	case http.StateIdle:
		t.onResponded(c)
	case http.StateClosed, http.StateHijacked:
		t.onClosed(c)
	}
}

// onResponded records that net/http has written a response and keeps the connection.
func (t *connTable) onResponded(c *clientConn) {
	t.mutex.Lock()
	c.idleSince = time.Now()
	t.mutex.Unlock()
	c.hasResponded.Store(true)
	c.openRequestID.Store(nil)
	c.beginNextRequest()
}

// onClosed removes the connection and logs why it ended.
func (t *connTable) onClosed(c *clientConn) {
	t.mutex.Lock()
	delete(t.open, c)
	shuttingDown := t.shuttingDown
	t.mutex.Unlock()
	t.log.Info("connection ended",
		slog.String("side", "client"),
		slog.String("peer", c.RemoteAddr().String()),
		slog.String("reason", string(loggedCloseReason(c, shuttingDown))),
		slog.Int64("requests", c.requestCount.Load()),
		slog.String("request", c.loggedRequestID()),
		slog.String("state", c.state.Load().String()))
}

// loggedCloseReason returns the first reason noted for the connection, or else CLOSED_BY_SERVER or SHUTDOWN. A failed read
// is taken to follow from this side's close, and not logged as the reason; a reason after it was not noted.
func loggedCloseReason(c *clientConn, shuttingDown bool) closeReason {
	if noted := c.closeReason.Load(); noted != nil && *noted != reasonReadFailed {
		return *noted
	}
	if shuttingDown {
		return reasonShutdown
	}
	return reasonClosedByServer
}
