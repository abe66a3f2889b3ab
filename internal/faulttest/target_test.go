package faulttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Reply is the kind of response that a target gives to a request.
type Reply int

// The kinds of responses.
const (
	Serve                Reply = iota
	RespondError               // status 500; the request may have been executed
	RespondRejected            // status 503 with Not-Started; the request was not executed
	ResetConnection            // no response, and the connection is reset
	RespondGarbage             // bytes that are not an HTTP response
	StallMidResponse           // half a response, and nothing after it
	RespondWithoutLength       // a complete response without Content-Length, ended by closing the connection
	ResetWithoutLength         // half of such a response, ended by a reset
	Hang                       // no response
)

// Behaviour defines how a target handles one request.
type Behaviour struct {
	Reply              Reply
	Delay              time.Duration // time before the response
	RepeatAfter        time.Duration // the response is sent again after this time unless another request arrives; 0: never
	CloseAfterResponse bool          // the target closes the connection after the response, without announcing it
	CloseIdleAfter     time.Duration // the target closes the connection once it has been idle for this time; 0: never
}

const (
	// hangTimeout is how long a target with the reply Hang keeps the connection open without a response. It is longer than
	// most clients wait, but shorter than the longest deadline in these tests, 5 s.
	hangTimeout = 4 * time.Second
	// maxRepeatDelay is the longest time between a response and its copy that an initiator must handle: a few milliseconds.
	maxRepeatDelay = 9500 * time.Microsecond
	// resetDelay gives the initiator time to read the bytes sent before a reset. A reset discards unread bytes.
	resetDelay = 5 * time.Millisecond
)

// Target is a fake storage target.
type Target struct {
	ID            string
	history       *History
	drawBehaviour func(*rand.Rand) Behaviour
	net.Listener
	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[net.Conn]bool
	running sync.WaitGroup
}

// NewTarget starts a target. It calls drawBehaviour for each request.
func NewTarget(id string, seed uint64, history *History, drawBehaviour func(*rand.Rand) Behaviour) (*Target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{ID: id, history: history, drawBehaviour: drawBehaviour, Listener: listener,
		rng: rand.New(rand.NewPCG(seed, seed)), conns: map[net.Conn]bool{}}
	t.running.Go(t.acceptLoop)
	return t, nil
}

func (t *Target) acceptLoop() {
	for {
		conn, err := t.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		t.running.Go(func() {
			t.serve(conn)
			_ = conn.Close() // the connection may have been reset already
			t.mu.Lock()
			delete(t.conns, conn)
			t.mu.Unlock()
		})
	}
}

// Stop stops the target and resets its connections.
func (t *Target) Stop() {
	_ = t.Close() // the listener may have been closed already
	t.mu.Lock()
	for conn := range t.conns {
		reset(conn)
	}
	t.mu.Unlock()
	t.running.Wait()
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may have ended already
	}
	_ = conn.Close()
}

func (t *Target) nextBehaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drawBehaviour(t.rng)
}

// serve reads requests from a connection and handles each with a newly drawn behaviour, until the connection ends.
func (t *Target) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		behaviour := t.nextBehaviour()
		id := req.Header.Get("Request-Id")
		t.recordAttempt(id, attempt{target: t.ID, conn: conn.RemoteAddr().String(), firstByteAt: firstByteAt, lastByteAt: time.Now(),
			announcedTimeout: announcedTimeout(req), executed: behaviour.Reply != RespondRejected})
		if !t.reply(conn, reader, behaviour, id) {
			return
		}
	}
}

// announcedTimeout returns the timeout that the initiator announces in the request, or 0 if there is no valid one.
func announcedTimeout(req *http.Request) time.Duration {
	ms, err := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (t *Target) recordAttempt(id string, a attempt) {
	t.history.update(id, func(r *requestRecord) { r.attempts = append(r.attempts, a) })
}

// reply responds to a request as the behaviour defines. It reports whether the connection stays open.
func (t *Target) reply(conn net.Conn, reader *bufio.Reader, behaviour Behaviour, id string) bool {
	time.Sleep(behaviour.Delay)
	body := responsePrefix(id) + strings.Repeat("x", 100)
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	const headWithoutLength = "HTTP/1.1 200 OK\r\n\r\n"
	var response string
	switch behaviour.Reply {
	case Serve:
		response = complete
	case RespondError:
		response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case RespondRejected:
		response = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	case ResetConnection:
		reset(conn)
		return false
	case RespondGarbage:
		response = "\x00\xff\x16noise\r\n\r\n"
	case StallMidResponse:
		response = complete[:len(complete)/2]
	case RespondWithoutLength:
		_, _ = io.WriteString(conn, headWithoutLength+body) // the connection is closed either way
		return false
	case ResetWithoutLength:
		_, _ = io.WriteString(conn, headWithoutLength+body[:len(body)/2]) // the connection is closed either way
		time.Sleep(resetDelay)
		reset(conn)
		return false
	case Hang:
		_, _ = waitReadable(conn, reader, hangTimeout) // the connection is closed either way
		return false
	}
	return t.respond(conn, reader, behaviour, response)
}

// respond writes a response and then, as the behaviour defines, repeats it or closes the connection. It reports whether the
// connection stays open.
func (t *Target) respond(conn net.Conn, reader *bufio.Reader, behaviour Behaviour, response string) bool {
	start := time.Now()
	if _, err := io.WriteString(conn, response); err != nil || behaviour.CloseAfterResponse {
		return false
	}
	if behaviour.CloseIdleAfter > 0 {
		readable, err := waitReadable(conn, reader, behaviour.CloseIdleAfter)
		return err == nil && readable
	}
	if behaviour.RepeatAfter > 0 {
		return t.repeatResponse(conn, reader, start, behaviour.RepeatAfter, response)
	}
	return true
}

// repeatResponse sends a response a second time, unless another request arrives first. If the copy is late because the test
// process was delayed, repeatResponse records that in the history, since initiators need not handle copies that late.
func (t *Target) repeatResponse(conn net.Conn, reader *bufio.Reader, start time.Time, after time.Duration,
	response string) bool {
	readable, err := waitReadable(conn, reader, after)
	if err != nil || readable {
		return err == nil
	}
	_, err = io.WriteString(conn, response)
	if time.Since(start) > maxRepeatDelay {
		t.history.recordLateRepeat(conn.RemoteAddr().String())
	}
	return err == nil
}

// waitReadable waits for a byte to read and returns false if none arrives within the timeout. It returns an error if the
// connection fails or ends.
func waitReadable(conn net.Conn, reader *bufio.Reader, timeout time.Duration) (readable bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return false, err
	}
	_, err = reader.Peek(1)
	if resetErr := conn.SetReadDeadline(time.Time{}); resetErr != nil {
		return false, resetErr
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}
