package faulttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Request is what a client asks, and how it goes about it.
type Request struct {
	ID       string
	Class    Class
	Shard    int
	Patience time.Duration
	Body     string        // of a write; empty: a read
	Pieces   int           // it is written in so many pieces; 0: at once
	PieceGap time.Duration // with so much time between them
	Leaves   bool          // the client goes without waiting for the answer
	LeaveAt  time.Duration // so long after the request's last byte
	ByReset  bool          // and resets the connection then, in place of closing it
}

// wire is the request as bytes.
func (q Request) wire() string {
	method := "GET"
	if q.Body != "" {
		method = "PUT"
	}
	head := fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: std\r\nRequest-Timeout-Ms: %d\r\n"+
		"IO-Info: volume=%016x,units=1,shard=%d,hosts=1\r\n", method, q.Class.Name, 7, q.ID, q.Patience.Milliseconds(), 3, q.Shard)
	if q.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	return head + "\r\n" + q.Body
}

// crossing is how long after a request's last byte the end of its connection may come that was on its way before:
// later, the initiator had the request and ended the connection over it.
const crossing = 5 * time.Millisecond

// giveUp is how long past its time, and the slack that is judged, a client waits for an answer.
const giveUp = 200 * time.Millisecond

// mostSends is how often a client writes a request whose connection ended unread.
const mostSends = 3

// Client is a stand-in for the usual clients of one initiator: they keep their connections, and open more when all are
// busy.
type Client struct {
	Addr   string
	ledger *Ledger
	// MayShut says that new connections may be shut unread, since there are too many.
	MayShut bool
	killed  atomic.Bool
	kept    atomic.Bool // only the connections there are, are used
	mu      sync.Mutex
	idle    []net.Conn
}

// NewClient returns clients of the initiator at addr.
func NewClient(addr string, ledger *Ledger) *Client { return &Client{Addr: addr, ledger: ledger} }

// Killed notes that the initiator is about to be killed without notice: what is open then is not held against it.
func (c *Client) Killed(yes bool) { c.killed.Store(yes) }

// StopConnecting keeps the clients from opening connections: they go on with those that they have.
func (c *Client) StopConnecting() { c.kept.Store(true) }

// errKept says that there is no connection left to ask on.
var errKept = errors.New("no connection is left")

// Close closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.idle {
		n.Close()
	}
	c.idle = nil
}

// connect returns an idle connection, or a new one.
func (c *Client) connect() (n net.Conn, reused bool, err error) {
	c.mu.Lock()
	if last := len(c.idle) - 1; last >= 0 {
		n = c.idle[last]
		c.idle = c.idle[:last]
	}
	c.mu.Unlock()
	if n != nil {
		return n, true, nil
	}
	if c.kept.Load() {
		return nil, false, errKept
	}
	n, err = net.DialTimeout("tcp", c.Addr, time.Second)
	return n, false, err
}

// Do asks, and notes how the request ended. It asks again on a new connection where the first ended unread.
func (c *Client) Do(q Request) Outcome {
	for sends := 1; ; sends++ {
		o, connected := c.send(q)
		if !o.Unread || !connected || sends == mostSends || q.Leaves {
			c.ledger.edit(q.ID, func(r *record) { r.outcomes = append(r.outcomes, o) })
			return o
		}
	}
}

// send asks once, and keeps the connection if it can be used again. It tells whether there was a connection at all.
func (c *Client) send(q Request) (o Outcome, connected bool) {
	n, reused, err := c.connect()
	if err != nil {
		return Outcome{Text: err.Error(), Unread: true}, false
	}
	o, keep := c.exchange(n, reused, q)
	if !keep {
		n.Close()
		return o, true
	}
	c.mu.Lock()
	c.idle = append(c.idle, n)
	c.mu.Unlock()
	return o, true
}

// exchange writes a request and reads its answer.
func (c *Client) exchange(n net.Conn, reused bool, q Request) (o Outcome, keep bool) {
	if err := writePieces(n, q); err != nil {
		return Outcome{Text: err.Error(), Unread: true}, false
	}
	taken := time.Now()
	c.ledger.edit(q.ID, func(r *record) {
		r.taken, r.patience, r.unsafe = taken, q.Patience, q.Class.Unsafe
	})
	if q.Leaves {
		time.Sleep(q.LeaveAt)
		c.ledger.edit(q.ID, func(r *record) { r.left = time.Now() })
		if q.ByReset {
			reset(n)
		}
		return Outcome{Text: "left", At: time.Now()}, false
	}
	n.SetReadDeadline(taken.Add(q.Patience + answerSlack + giveUp))
	defer n.SetReadDeadline(time.Time{})
	o = c.judged(readAnswer(bufio.NewReader(n), taken), reused, taken)
	return o, o.err == nil && !o.closes
}

// judged notes why there is no answer: whether the initiator was killed, or ended the connection without having read the
// request.
func (c *Client) judged(o Outcome, reused bool, taken time.Time) Outcome {
	if o.err == nil {
		return o
	}
	o.Killed = c.killed.Load()
	wasReset := errors.Is(o.err, syscall.ECONNRESET)
	ended := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF)
	crossed := o.After < crossing+c.ledger.delays.Most(taken, o.At)
	shut := wasReset && !reused && c.MayShut
	o.Unread = !o.begun && (shut || (wasReset || ended) && reused && crossed)
	return o
}

// Pipeline asks several requests at once on a connection of their own, and reads their answers in turn.
func (c *Client) Pipeline(requests []Request) {
	n, reused, err := c.connect()
	if err != nil {
		return
	}
	defer n.Close()
	whole := ""
	for _, q := range requests {
		whole += q.wire()
	}
	if _, err := io.WriteString(n, whole); err != nil {
		return
	}
	taken := time.Now()
	in := bufio.NewReader(n)
	closed := false
	for _, q := range requests {
		c.ledger.edit(q.ID, func(r *record) { r.taken, r.patience, r.unsafe = taken, q.Patience, q.Class.Unsafe })
		n.SetReadDeadline(taken.Add(q.Patience + answerSlack + giveUp))
		o := Outcome{Unread: closed}
		if !closed {
			o = c.judged(readAnswer(in, taken), reused, taken)
			closed = o.closes
		}
		c.ledger.edit(q.ID, func(r *record) { r.outcomes = append(r.outcomes, o) })
		if o.Status == 0 && !closed {
			closed = true // the first that has no answer is the one to judge
		}
	}
}

// readAnswer reads one answer to a request that was written whole at that time.
func readAnswer(in *bufio.Reader, taken time.Time) Outcome {
	o := Outcome{}
	resp, err := http.ReadResponse(in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	o.At = time.Now()
	o.After = o.At.Sub(taken)
	if err != nil {
		o.Text, o.err, o.begun = err.Error(), err, resp != nil
		return o
	}
	o.Status, o.Text, o.closes = resp.StatusCode, string(body), resp.Close
	return o
}

// writePieces writes a request, in pieces where it says so.
func writePieces(n net.Conn, q Request) error {
	whole := q.wire()
	size := len(whole)/max(q.Pieces, 1) + 1
	for len(whole) > 0 {
		piece := whole[:min(size, len(whole))]
		if _, err := io.WriteString(n, piece); err != nil {
			return err
		}
		if whole = whole[len(piece):]; whole != "" {
			time.Sleep(q.PieceGap)
		}
	}
	return nil
}

// Misbehaviour is what a bad client sends.
type Misbehaviour string

// Misbehaviours are what bad clients send; each is owed an error or an end.
var Misbehaviours = []Misbehaviour{
	"\x16\x03\x01noise\r\n\r\n",
	"GET / HTTP/1.1\r\nA: " + Misbehaviour(strings.Repeat("b", 40<<10)),
	"PUT /read/0000000000000007 HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\nbody",
	"PUT /read/0000000000000007 HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\nbody",
	"PUT /read/0000000000000007 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /nothing/0000000000000007 HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /read/0000000000000007 HTTP/1.1\r\nHo",
	"G",
}

// Misbehave sends what a bad client sends, and tells whether it had an error or an end within the time it is owed one.
func Misbehave(addr string, m Misbehaviour) error {
	n, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil // no longer listening is an end
	}
	defer n.Close()
	begun := time.Now()
	go io.WriteString(n, string(m))
	n.SetReadDeadline(begun.Add(badClientWithin))
	resp, err := http.ReadResponse(bufio.NewReader(n), nil)
	switch {
	case err == nil && resp.StatusCode >= 400:
		return nil
	case err == nil:
		return fmt.Errorf("%.30q was answered with status %d", m, resp.StatusCode)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%.30q had neither an error nor an end within %v", m, badClientWithin)
	}
	return nil
}

// badClientWithin is how soon a bad client is owed an error or an end.
const badClientWithin = 3 * time.Second
