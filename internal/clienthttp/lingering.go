package clienthttp

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"dapplegate/internal/mailbox"
	"dapplegate/internal/socket"
)

const (
	// lingerTimeout and maxLingerBytes limit how long and how much is read from a connection after its last response.
	lingerTimeout  = 3 * time.Second
	maxLingerBytes = 64 << 20
	// lingerInterval is the time between two passes over the lingering connections. Each pass reads at most lingerPassBytes from all
	// of them together, so that they take a bounded part of the processor, and at most lingerReadBytes from each.
	lingerInterval  = 5 * time.Millisecond
	lingerPassBytes = 1 << 20
	lingerReadBytes = 256 << 10
	// lingerBufferSize is the size, in bytes, of the buffer through which all bytes are discarded.
	lingerBufferSize = 64 << 10
)

// lingerer closes connections after the response to a malformed request. If bytes were unread when a connection closes, the client
// would get a reset, and a client that is still sending might not be able to read its response. So the server closes its own side
// first, reads and discards for a while what the client sends, and then closes the connection.
//
// One goroutine with one buffer does this for all connections, and gives up the rest of net/http's resources before. Hundreds
// of clients that send refused bodies at full speed thus take little memory and a bounded part of the processor.
type lingerer struct {
	table    *connTable
	incoming *mailbox.Mailbox[*clientConn]
	conns    []*lingeringConn
	next     int // index of the connection at which the next pass begins
	buffer   []byte
}

// lingeringConn is a connection from which bytes are discarded.
type lingeringConn struct {
	*clientConn
	closeAt   time.Time
	discarded int
}

func newLingerer(table *connTable) *lingerer {
	return &lingerer{table: table, incoming: mailbox.New[*clientConn](), buffer: make([]byte, lingerBufferSize)}
}

// run discards bytes until stopped is closed, and then closes all connections.
func (l *lingerer) run(stopped <-chan struct{}) {
	ticker := time.NewTicker(lingerInterval)
	defer ticker.Stop()
	for {
		tick := ticker.C
		if len(l.conns) == 0 {
			tick = nil
		}
		select {
		case <-stopped:
			l.add()
			l.closeIf(func(*lingeringConn) bool { return true })
			return
		case <-l.incoming.Wake():
			l.add()
		case <-tick:
			l.pass()
		}
	}
}

// add takes over the connections that were handed over.
func (l *lingerer) add() {
	closeAt := time.Now().Add(lingerTimeout)
	for _, c := range l.incoming.Take(nil) {
		l.conns = append(l.conns, &lingeringConn{clientConn: c, closeAt: closeAt})
	}
}

// pass discards bytes of each connection, beginning with the one that the last pass did not reach.
func (l *lingerer) pass() {
	left := lingerPassBytes
	ended := map[*lingeringConn]bool{}
	for range l.conns {
		if left <= 0 {
			break
		}
		c := l.conns[l.next%len(l.conns)]
		l.next++
		n, isOpen := l.discard(c)
		left -= n
		if !isOpen {
			ended[c] = true
		}
	}
	now := time.Now()
	l.closeIf(func(c *lingeringConn) bool {
		return ended[c] || c.discarded >= maxLingerBytes || now.After(c.closeAt) || c.state.Load() == stateClosed
	})
}

// discard discards available bytes of a connection. It returns how many, and whether the client's side is still open.
func (l *lingerer) discard(c *lingeringConn) (discarded int, isOpen bool) {
	for discarded < lingerReadBytes {
		n, err := c.readUntilFull(l.buffer)
		discarded += n
		c.discarded += n
		if err != nil {
			return discarded, errors.Is(err, syscall.EAGAIN)
		}
	}
	return discarded, true
}

// closeIf closes the connections for which matches returns true. The table may have closed them already.
func (l *lingerer) closeIf(matches func(*lingeringConn) bool) {
	l.conns = slices.DeleteFunc(l.conns, func(c *lingeringConn) bool {
		if !matches(c) {
			return false
		}
		c.state.CompareAndSwap(stateMalformed, stateClosed)
		_ = c.Close()
		l.table.onClosed(c.clientConn)
		return true
	})
}

// respondMalformed responds to a request that cannot be accepted, without waiting for the rest of its body, and hands its connection
// over to the lingerer. The status is never 429 or 503, because a retry would have the same result.
func (s *Server) respondMalformed(w http.ResponseWriter, conn *clientConn, malformed *requestError) {
	conn.claimRequest()
	if !takeOver(w, conn) {
		w.Header().Set("Connection", "close")
		http.Error(w, malformed.Message, malformed.Status)
		return
	}
	conn.readAhead.drop(len(conn.readAhead.bytes))
	socket.TrySend(conn.Conn, malformed.response())
	conn.recordCloseReason(reasonClosedByServer)
	conn.state.CompareAndSwap(stateInFlight, stateMalformed)
	_ = conn.CloseWrite() // fails if the client has reset the connection
	s.lingerer.incoming.Put(conn)
}

// takeOver takes the connection over from net/http. It returns false if the request has no socket, as in a test.
func takeOver(w http.ResponseWriter, conn *clientConn) bool {
	if conn.rawConn == nil {
		return false
	}
	_, _, err := http.NewResponseController(w).Hijack()
	return err == nil
}

// response returns the HTTP response to the malformed request, which announces the close.
func (e *requestError) response() string {
	body := e.Message + "\n"
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		e.Status, http.StatusText(e.Status), len(body), body)
}
