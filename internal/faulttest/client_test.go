package faulttest

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// crossingWindow is the time after a request's last byte within which the initiator may close the connection because the
	// request has not arrived yet. A later close means that it closed the connection although the request had arrived.
	crossingWindow = 5 * time.Millisecond
	// readDeadlineMargin is how much longer than its timeout plus responseSlack a client waits for a response.
	readDeadlineMargin = 200 * time.Millisecond
	// maxSends is the maximum number of times that a client sends a request. It sends a request again if the connection ends
	// before the initiator has read the request.
	maxSends = 3
	// dialTimeout limits how long connecting to an initiator may take.
	dialTimeout = time.Second
)

// errNoConnection is the error for a request when no connection is idle and the client must not open a new one.
var errNoConnection = errors.New("no connection is idle, and new connections are not allowed")

// Client simulates the well-behaved clients of one initiator. They keep their connections open, and open new ones when all
// are busy.
type Client struct {
	Addr string
	// MayCloseUnread allows the initiator to close new connections without reading from them, because there are too many.
	MayCloseUnread bool

	history   *History
	killed    atomic.Bool
	reuseOnly atomic.Bool // do not open new connections
	mu        sync.Mutex
	idle      []net.Conn
}

// NewClient returns a client of the initiator at addr.
func NewClient(addr string, history *History) *Client { return &Client{Addr: addr, history: history} }

// MarkKilled records that the initiator is about to be killed without a preceding SIGTERM. Requests that get no response
// after that are not checked for one.
func (c *Client) MarkKilled() { c.killed.Store(true) }

// StopConnecting stops the client from opening new connections. It continues to use the ones that it has.
func (c *Client) StopConnecting() { c.reuseOnly.Store(true) }

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close() // no request is in flight on it
	}
	c.idle = nil
}

// acquireConn returns an idle connection, or a new one if none is idle.
func (c *Client) acquireConn() (conn net.Conn, reused bool, err error) {
	if conn = c.takeIdle(); conn != nil {
		return conn, true, nil
	}
	if c.reuseOnly.Load() {
		return nil, false, errNoConnection
	}
	conn, err = net.DialTimeout("tcp", c.Addr, dialTimeout)
	return conn, false, err
}

// takeIdle returns the idle connection that was used last, or nil if none is idle.
func (c *Client) takeIdle() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	last := len(c.idle) - 1
	if last < 0 {
		return nil
	}
	conn := c.idle[last]
	c.idle = c.idle[:last]
	return conn
}

// Do sends a request and records its outcome. If the connection ends before the initiator reads the request, Do sends the
// request again on another connection, up to maxSends times in all.
func (c *Client) Do(req Request) Outcome {
	for sends := 1; ; sends++ {
		o, connected := c.sendOnce(req)
		if !o.Unread || !connected || sends == maxSends || req.Disconnects {
			c.history.recordOutcome(req.ID, o)
			return o
		}
	}
}

// sendOnce sends a request once, and keeps the connection if it can be used again. It reports whether there was a
// connection to send the request on.
func (c *Client) sendOnce(req Request) (o Outcome, connected bool) {
	conn, reused, err := c.acquireConn()
	if err != nil {
		return Outcome{Text: err.Error(), Unread: true}, false
	}
	o, keep := c.exchange(conn, reused, req)
	if !keep {
		_ = conn.Close() // the outcome is already known
		return o, true
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return o, true
}

// exchange writes a request and reads its response, or disconnects if the request says so. It reports whether the connection
// can be used again.
func (c *Client) exchange(conn net.Conn, reused bool, req Request) (o Outcome, keep bool) {
	if err := req.writeTo(conn); err != nil {
		return Outcome{Text: err.Error(), Unread: true}, false
	}
	sentAt := time.Now()
	c.recordSent(req, sentAt)
	if req.Disconnects {
		return c.disconnect(conn, req), false
	}
	if err := conn.SetReadDeadline(sentAt.Add(req.Timeout + responseSlack + readDeadlineMargin)); err != nil {
		return Outcome{Text: err.Error(), err: err}, false
	}
	o = c.classify(readResponse(bufio.NewReader(conn), sentAt), reused, sentAt)
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return o, false
	}
	return o, o.err == nil && !o.closesConnection
}

func (c *Client) recordSent(req Request, at time.Time) {
	c.history.update(req.ID, func(r *requestRecord) {
		r.sentAt = at
		r.timeout = req.Timeout
		r.nonIdempotent = req.Class.NonIdempotent
	})
}

// disconnect waits for the request's DisconnectAfter and records that the client disconnects without waiting for the
// response. It resets the connection if the request says so; otherwise the caller closes it.
func (c *Client) disconnect(conn net.Conn, req Request) Outcome {
	time.Sleep(req.DisconnectAfter)
	c.history.update(req.ID, func(r *requestRecord) { r.disconnectedAt = time.Now() })
	if req.ResetOnDisconnect {
		reset(conn)
	}
	return Outcome{Text: "disconnected", EndedAt: time.Now()}
}

// classify sets Killed and Unread in the outcome of a request without a response: whether the initiator was killed, and
// whether the connection ended before the initiator read the request.
func (c *Client) classify(o Outcome, reused bool, sentAt time.Time) Outcome {
	if o.err == nil {
		return o
	}
	o.Killed = c.killed.Load()
	wasReset := errors.Is(o.err, syscall.ECONNRESET)
	wasClosed := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF)
	crossed := o.Elapsed < crossingWindow+c.history.delays.Longest(sentAt, o.EndedAt)
	resetNew := wasReset && !reused && c.MayCloseUnread
	o.Unread = !o.partial && (resetNew || (wasReset || wasClosed) && reused && crossed)
	return o
}

// Pipeline sends several requests at once on a connection that no other request uses in the meantime, and reads their
// responses in order.
func (c *Client) Pipeline(requests []Request) {
	conn, reused, err := c.acquireConn()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // the outcomes are already known
	encoded := ""
	for _, req := range requests {
		encoded += req.encode()
	}
	if _, err := io.WriteString(conn, encoded); err != nil {
		return
	}
	sentAt := time.Now()
	reader := bufio.NewReader(conn)
	connEnded := false
	for _, req := range requests {
		c.recordSent(req, sentAt)
		o := Outcome{Unread: connEnded}
		if !connEnded {
			o = c.readPipelined(conn, reader, reused, req, sentAt)
			// Only the first request without a response is checked. Those after it are recorded as unread.
			connEnded = o.closesConnection || o.Status == 0
		}
		c.history.recordOutcome(req.ID, o)
	}
}

// readPipelined reads the response to one of several pipelined requests.
func (c *Client) readPipelined(conn net.Conn, reader *bufio.Reader, reused bool, req Request, sentAt time.Time) Outcome {
	if err := conn.SetReadDeadline(sentAt.Add(req.Timeout + responseSlack + readDeadlineMargin)); err != nil {
		return Outcome{Text: err.Error(), err: err}
	}
	return c.classify(readResponse(reader, sentAt), reused, sentAt)
}

// readResponse reads the response to a request whose last byte was written at sentAt.
func readResponse(reader *bufio.Reader, sentAt time.Time) Outcome {
	o := Outcome{}
	resp, err := http.ReadResponse(reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	o.EndedAt = time.Now()
	o.Elapsed = o.EndedAt.Sub(sentAt)
	if err != nil {
		o.Text = err.Error()
		o.err = err
		o.partial = resp != nil
		return o
	}
	o.Status = resp.StatusCode
	o.Text = string(body)
	o.closesConnection = resp.Close
	return o
}
