package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// request is a request of a client.
type request struct {
	id      string
	class   string
	plan    string
	key     uint64
	volume  uint64
	units   int
	shard   int
	hosts   int
	timeout time.Duration
	body    string // not empty: a write
}

// encode returns the request as it is sent.
func (r request) encode() string {
	method := http.MethodGet
	length := ""
	if r.body != "" {
		method = http.MethodPut
		length = fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\nTier: %s\r\nRequest-Timeout-Ms: %d\r\n%s"+
		"IO-Info: volume=%016x,units=%d,shard=%d,hosts=%d\r\n\r\n%s", method, r.class, r.key, r.id, r.plan,
		r.timeout.Milliseconds(), length, r.volume, r.units, r.shard, r.hosts, r.body)
}

// read returns the n-th request of a case: a read of a class, of a shard.
func read(n int, class class, shard int) request {
	const firstID = 0x1b1f03aa7c5e0000
	return request{id: fmt.Sprintf("%016x", firstID+n), class: class.name, plan: "express", key: uint64(n), volume: uint64(n % 8),
		units: 1, shard: shard, hosts: 1, timeout: class.deadline}
}

// outcome is what a client got for a request.
type outcome struct {
	status int // 0: no whole answer
	body   string
	err    error
	sentAt time.Time // when the last byte was written; zero if it was not
	took   time.Duration
	partly bool // the connection ended within the answer
}

// taken reports whether the initiator has taken the request: its last byte was written to an open connection.
func (o outcome) taken() bool { return !o.sentAt.IsZero() }

// overdue reports whether the initiator has taken the request, left its connection open, and given no whole answer by half a
// second after the client's time.
func (o outcome) overdue(r request) bool {
	return o.taken() && (errors.Is(o.err, os.ErrDeadlineExceeded) || o.status != 0 && o.took > r.timeout+answerSlack)
}

// String describes the outcome.
func (o outcome) String() string {
	switch {
	case !o.taken():
		return fmt.Sprintf("no connection: %v", o.err)
	case o.status == 0:
		return fmt.Sprintf("no answer after %v: %v", o.took.Round(time.Millisecond), o.err)
	}
	return fmt.Sprintf("status %d and %d bytes after %v", o.status, len(o.body), o.took.Round(time.Millisecond))
}

// load sends requests and collects what broke the rule.
type load struct {
	b       *bench
	client  *client
	running sync.WaitGroup
	mu      sync.Mutex
	served  int
	breaks  []string
}

// send sends a request in the background. check returns how its outcome broke the rule, or "".
func (l *load) send(r request, check func(request, outcome) string) {
	l.running.Go(func() {
		l.b.note("client: sends %s, %s of shard %d, timeout %v", r.id, r.class, r.shard, r.timeout)
		o := l.client.do(r)
		l.b.note("client: %s got %v", r.id, o)
		l.mu.Lock()
		defer l.mu.Unlock()
		if o.status == http.StatusOK {
			l.served++
		}
		if text := check(r, o); text != "" {
			l.breaks = append(l.breaks, r.id+" "+text)
		}
	})
}

// checkOverdue is a check for send: the final answer comes by half a second after the client's time.
func checkOverdue(r request, o outcome) string {
	if !o.overdue(r) {
		return ""
	}
	return fmt.Sprintf("got %v; its time was %v", o, r.timeout)
}

// wait waits for all outcomes and returns what broke the rule.
func (l *load) wait() ([]string, error) {
	l.running.Wait()
	if l.served == 0 {
		return nil, errors.New("no request was served")
	}
	return l.breaks, nil
}

// client keeps connections to one initiator, as the usual clients do.
type client struct {
	addr string
	mu   sync.Mutex
	idle []net.Conn
}

// do sends a request on a resting connection, or on a new one, and waits for the answer until half a second after its time.
// If a resting connection was closed before its request could be read, the request is sent once more on a new connection.
func (c *client) do(r request) outcome {
	if conn := c.take(); conn != nil {
		o, keep := exchange(conn, r)
		if o.err == nil || o.partly || o.took > crossing {
			c.put(conn, keep)
			return o
		}
		_ = conn.Close()
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	o, keep := exchange(conn, r)
	c.put(conn, keep)
	return o
}

// crossing is how soon after a request its connection may end because the close had crossed the request.
const crossing = 5 * time.Millisecond

// answerSlack is how long after a client's time a final answer may come.
const answerSlack = 500 * time.Millisecond

// readMargin is how much longer a client of this bench waits, to tell a late answer from none.
const readMargin = 300 * time.Millisecond

func (c *client) take() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	conn := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return conn
}

func (c *client) put(conn net.Conn, keep bool) {
	if !keep {
		_ = conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = append(c.idle, conn)
}

// exchange sends a request on a connection and reads the answer. It reports whether the connection can be used again.
func exchange(conn net.Conn, r request) (o outcome, keep bool) {
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return outcome{err: err}, false
	}
	o.sentAt = time.Now()
	_ = conn.SetReadDeadline(o.sentAt.Add(r.timeout + answerSlack + readMargin))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
		o.partly = err != nil
	}
	o.took = time.Since(o.sentAt)
	if err != nil {
		o.err = err
		return o, false
	}
	_ = conn.SetReadDeadline(time.Time{})
	o.status = response.StatusCode
	o.body = string(body)
	return o, !response.Close
}
