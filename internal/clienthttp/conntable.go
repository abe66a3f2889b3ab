package clienthttp

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"dapplegate/internal/memorybudget"
	"dapplegate/internal/runqueue"
	"dapplegate/internal/socket"
)

// notInTable is the tableIndex of a connection that is not in a table.
const notInTable = -1

// maxConnsOverLimit is how many connections over the limit are accepted, each to have one request rejected.
const maxConnsOverLimit = 24

// connTable holds the open client connections and limits their number.
//
// A new connection over the limit is accepted all the same: the kernel has completed its handshake, and a request that
// has already arrived on it would otherwise get no response. The table evicts a connection without a request to make room
// for it. If there is none, the request of the new connection is rejected at once and the connection is closed.
//
// Idle connections are evicted well below maxConns. Clients have a limit of their own, against which they count all their
// open connections, idle ones included. If idle connections used up that limit, well-behaved clients could not even
// connect, and maxConns would never be reached.
type connTable struct {
	// maxConns is the number of open connections above which a new one is over the limit, unless another is evicted.
	maxConns int
	// evictIdleAbove is the number of open connections, with or without a request in flight, above which each new one
	// evicts one that has been idle long enough: see rankForEviction.
	evictIdleAbove  int
	runQueue        *runqueue.Queue      // in which each connection waits with what it has read; nil: none waits
	readAheadBudget *memorybudget.Budget // for what all connections read ahead; nil: no limit
	log             *slog.Logger

	mu           sync.Mutex // guards the fields below, and idleSince of each connection
	open         []*clientConn
	shuttingDown bool // whether connections are closed because of a graceful shutdown
}

func newConnTable(maxConns, evictIdleAbove int, log *slog.Logger) *connTable {
	return &connTable{maxConns: maxConns, evictIdleAbove: min(evictIdleAbove, maxConns), log: log}
}

// add adds an accepted connection to the table, and evicts another if there are too many. It returns nil if it has refused
// the connection.
func (t *connTable) add(accepted net.Conn) *clientConn {
	c := newClientConn(accepted)
	c.readAhead.memory.budget = t.readAheadBudget
	if t.runQueue != nil {
		c.turn = t.runQueue.NewWaiter()
	}
	t.mu.Lock()
	admitted := t.admit(c)
	shuttingDown := t.shuttingDown
	t.mu.Unlock()
	if !admitted {
		refuse(c)
		t.logEnd(c, shuttingDown)
		return nil
	}
	return c
}

// admit adds a connection to the table, and evicts another if there are too many. It returns false if the connection is to be
// refused. The caller holds t.mu.
func (t *connTable) admit(c *clientConn) (admitted bool) {
	c.tableIndex = len(t.open)
	t.open = append(t.open, c)
	if len(t.open) <= t.evictIdleAbove {
		return true
	}
	overMaxConns := len(t.open) > t.maxConns
	if t.makeRoomFor(c, overMaxConns) || !overMaxConns {
		return true
	}
	c.overLimit = true
	c.recordCloseReason(reasonConnectionLimit)
	if len(t.open) > t.maxConns+maxConnsOverLimit {
		t.remove(c)
		return false
	}
	return true
}

// remove removes a connection from the table, unless it has been removed already. The caller holds t.mu.
func (t *connTable) remove(c *clientConn) {
	if c.tableIndex == notInTable {
		return
	}
	last := len(t.open) - 1
	t.open[c.tableIndex] = t.open[last]
	t.open[c.tableIndex].tableIndex = c.tableIndex
	t.open[last] = nil
	t.open = t.open[:last]
	c.tableIndex = notInTable
}

// refuse sends response503 on a connection from which nothing has been read, and closes it at once, even if bytes are unread
// on it.
//
// net/http never sees the connection. With a goroutine for each refused connection, clients that connect again at once would
// make goroutines faster than these end.
func refuse(c *clientConn) {
	c.state.Store(stateClosed)
	socket.TrySend(c.Conn, response503)
	_ = c.Close()
}

// closeTimedOut closes the connections that have been idle for keepAlive, and those whose request has not been claimed by
// its handler within claimTimeout of its first byte. Without the latter, net/http would wait for the first four bytes of
// a further request as long as its idle timeout. During shutdown it closes no idle connection, because clients cannot
// open others.
func (t *connTable) closeTimedOut(keepAlive, claimTimeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range slices.Clone(t.open) { // closing a connection changes the table
		switch state := c.state.Load(); {
		case (state == stateReceiving || state == stateReceived) && c.receivingFor() >= claimTimeout:
			t.closeIfUnchanged(c, state, reasonRequestReadTimeout)
		case state == stateIdle && c.hasResponded.Load() && time.Since(c.idleSince) >= keepAlive && !t.shuttingDown:
			t.closeIfUnchanged(c, stateIdle, reasonKeepAliveTimeout)
		}
	}
}

// onConnState is the ConnState hook of the http.Server.
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
	case http.StateClosed:
		t.onClosed(c)
	case http.StateHijacked: // the connection stays in the table until the lingerer has closed it
	}
}

// onResponded records that net/http has written a response and keeps the connection open.
func (t *connTable) onResponded(c *clientConn) {
	t.mu.Lock()
	c.idleSince = time.Now()
	t.mu.Unlock()
	c.hasResponded.Store(true)
	c.inFlightRequestID.Store(nil)
	c.beginNextRequest()
}

// onClosed removes a connection from the table and logs why it ended.
func (t *connTable) onClosed(c *clientConn) {
	t.mu.Lock()
	t.remove(c)
	c.readAhead.memory.release()
	shuttingDown := t.shuttingDown
	t.mu.Unlock()
	t.logEnd(c, shuttingDown)
}

// logEnd logs why a connection ended.
func (t *connTable) logEnd(c *clientConn, shuttingDown bool) {
	attrs := []slog.Attr{
		slog.String("side", "client"),
		slog.String("peer", c.RemoteAddr().String()),
		slog.String("reason", string(loggedCloseReason(c, shuttingDown))),
		slog.Int64("requests", c.requestCount.Load()),
		slog.String("request", c.loggedRequestID()),
		slog.String("state", c.state.Load().String()),
	}
	if readError := c.readError.Load(); readError != nil {
		attrs = append(attrs, slog.Any("error", *readError))
	}
	if unread := c.unreadAtClose.Load(); unread > 0 {
		attrs = append(attrs, slog.Int64("unread", unread))
	}
	t.log.LogAttrs(context.Background(), slog.LevelInfo, "connection ended", attrs...)
}

// loggedCloseReason returns the first reason recorded for the connection, or else SHUTDOWN or CLOSED_BY_SERVER. A failed
// read is not logged as the reason, because it is assumed to be a consequence of the server's own close. Any reason after
// it was not recorded.
func loggedCloseReason(c *clientConn, shuttingDown bool) closeReason {
	if recorded := c.closeReason.Load(); recorded != nil && *recorded != reasonReadFailed {
		return *recorded
	}
	if shuttingDown {
		return reasonShutdown
	}
	return reasonClosedByServer
}
