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
	// crossingWindow is how long after a request's last byte the end of its connection may come that was under way before.
	// Later, the initiator had the request and ended the connection over it.
	crossingWindow = 5 * time.Millisecond
	// giveUpAfter is how long past its timeout, and the slack that is judged, a client waits for a response.
	giveUpAfter = 200 * time.Millisecond
	// maxSends is how often a client writes a request whose connection ended unread.
	maxSends = 3
	// dialTimeout is how long a connection to an initiator may take to come up.
	dialTimeout = time.Second
)

// errNoConnection says that there is no connection left to ask on.
var errNoConnection = errors.New("no connection is left")

// Client is a stand-in for the usual clients of one initiator: they keep their connections, and open more when all are
// busy.
type Client struct {
	Addr string
	// MayCloseUnread says that the initiator may close new connections unread, since there are too many.
	MayCloseUnread bool

	ledger    *Ledger
	killed    atomic.Bool
	reuseOnly atomic.Bool // no new connections are opened
	mu        sync.Mutex
	idle      []net.Conn
}

// NewClient returns clients of the initiator at addr.
func NewClient(addr string, ledger *Ledger) *Client { return &Client{Addr: addr, ledger: ledger} }

// Killed notes that the initiator is about to be killed without notice: what is open then is not held against it.
func (c *Client) Killed(yes bool) { c.killed.Store(yes) }

// StopConnecting keeps the clients from opening connections: they go on with those that they have.
func (c *Client) StopConnecting() { c.reuseOnly.Store(true) }

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.idle {
		_ = conn.Close() // nothing is open on it
	}
	c.idle = nil
}

// connect returns an idle connection, or a new one.
func (c *Client) connect() (conn net.Conn, reused bool, err error) {
	if conn = c.takeIdle(); conn != nil {
		return conn, true, nil
	}
	if c.reuseOnly.Load() {
		return nil, false, errNoConnection
	}
	conn, err = net.DialTimeout("tcp", c.Addr, dialTimeout)
	return conn, false, err
}

// takeIdle returns the connection that was used last; nil: none is idle.
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

// Do sends a request, and notes how it ended. It sends it again on a new connection where the first ended unread.
func (c *Client) Do(q Request) Outcome {
	for sends := 1; ; sends++ {
		o, connected := c.sendOnce(q)
		if !o.Unread || !connected || sends == maxSends || q.Disconnects {
			c.ledger.addOutcome(q.ID, o)
			return o
		}
	}
}

// sendOnce sends a request once, and keeps the connection if it can be used again. It tells whether there was a connection at
// all.
func (c *Client) sendOnce(q Request) (o Outcome, connected bool) {
	conn, reused, err := c.connect()
	if err != nil {
		return Outcome{Text: err.Error(), Unread: true}, false
	}
	o, keep := c.exchange(conn, reused, q)
	if !keep {
		_ = conn.Close() // the outcome is known
		return o, true
	}
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return o, true
}

// exchange writes a request and reads its response.
func (c *Client) exchange(conn net.Conn, reused bool, q Request) (o Outcome, keep bool) {
	if err := q.writeTo(conn); err != nil {
		return Outcome{Text: err.Error(), Unread: true}, false
	}
	sentAt := time.Now()
	c.recordSent(q, sentAt)
	if q.Disconnects {
		return c.disconnect(conn, q), false
	}
	if err := conn.SetReadDeadline(sentAt.Add(q.Timeout + answerSlack + giveUpAfter)); err != nil {
		return Outcome{Text: err.Error(), err: err}, false
	}
	o = c.classify(readResponse(bufio.NewReader(conn), sentAt), reused, sentAt)
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return o, false
	}
	return o, o.err == nil && !o.closesConnection
}

func (c *Client) recordSent(q Request, at time.Time) {
	c.ledger.update(q.ID, func(r *record) {
		r.sentAt = at
		r.timeout = q.Timeout
		r.nonIdempotent = q.Class.NonIdempotent
	})
}

// disconnect has the client go without waiting for the response. Its caller closes the connection.
func (c *Client) disconnect(conn net.Conn, q Request) Outcome {
	time.Sleep(q.DisconnectAfter)
	c.ledger.update(q.ID, func(r *record) { r.disconnectedAt = time.Now() })
	if q.ByReset {
		reset(conn)
	}
	return Outcome{Text: "disconnected", At: time.Now()}
}

// classify notes why there is no response: whether the initiator was killed, or ended the connection without having read the
// request.
func (c *Client) classify(o Outcome, reused bool, sentAt time.Time) Outcome {
	if o.err == nil {
		return o
	}
	o.Killed = c.killed.Load()
	wasReset := errors.Is(o.err, syscall.ECONNRESET)
	wasClosed := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF)
	crossed := o.Elapsed < crossingWindow+c.ledger.delays.Max(sentAt, o.At)
	closedNew := wasReset && !reused && c.MayCloseUnread
	o.Unread = !o.partial && (closedNew || (wasReset || wasClosed) && reused && crossed)
	return o
}

// Pipeline sends several requests at once on a connection of their own, and reads their responses in turn.
func (c *Client) Pipeline(requests []Request) {
	conn, reused, err := c.connect()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }() // all outcomes are known
	all := ""
	for _, q := range requests {
		all += q.encode()
	}
	if _, err := io.WriteString(conn, all); err != nil {
		return
	}
	sentAt := time.Now()
	in := bufio.NewReader(conn)
	ended := false
	for _, q := range requests {
		c.recordSent(q, sentAt)
		o := Outcome{Unread: ended}
		if !ended {
			o = c.readPipelined(conn, in, reused, q, sentAt)
			// The first that has no response is the one to judge.
			ended = o.closesConnection || o.Status == 0
		}
		c.ledger.addOutcome(q.ID, o)
	}
}

// readPipelined reads the response to one of several requests that were sent at once.
func (c *Client) readPipelined(conn net.Conn, in *bufio.Reader, reused bool, q Request, sentAt time.Time) Outcome {
	if err := conn.SetReadDeadline(sentAt.Add(q.Timeout + answerSlack + giveUpAfter)); err != nil {
		return Outcome{Text: err.Error(), err: err}
	}
	return c.classify(readResponse(in, sentAt), reused, sentAt)
}

// readResponse reads one response to a request whose last byte was sent at that time.
func readResponse(in *bufio.Reader, sentAt time.Time) Outcome {
	o := Outcome{}
	resp, err := http.ReadResponse(in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	o.At = time.Now()
	o.Elapsed = o.At.Sub(sentAt)
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
