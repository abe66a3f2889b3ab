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

// Reply is what a target does with a request.
type Reply int

// The replies of a target.
const (
	Serve                Reply = iota
	RespondError               // 500: it may have executed
	RespondRejected            // 503, never executed
	ResetConnection            // with no response
	RespondGarbage             // bytes that are no response
	StopMidResponse            // half a response, and silence
	RespondWithoutLength       // a complete response that ends with the connection
	CutWithoutLength           // half of such a response, and a reset
	Hang                       // silence
)

// Behaviour is how a target treats one request.
type Behaviour struct {
	Reply          Reply
	Delay          time.Duration // before the response
	RepeatAfter    time.Duration // the response is sent again so much later, if no request has come by then; 0: it is not
	CloseAfter     bool          // the connection is closed after the response, which does not say so
	CloseIdleAfter time.Duration // or once it has been idle for so long; 0: it is kept
}

const (
	// hangTimeout bounds how long a target keeps silent: longer than any client waits.
	hangTimeout = 4 * time.Second
	// maxRepeatDelay is the longest that a repeated response may follow the first by: a few milliseconds.
	maxRepeatDelay = 9500 * time.Microsecond
	// resetDelay lets the client read what came before a reset, which would discard it.
	resetDelay = 5 * time.Millisecond
)

// Target is a stand-in for a storage target.
type Target struct {
	ID            string
	ledger        *Ledger
	drawBehaviour func(*rand.Rand) Behaviour
	net.Listener
	mu    sync.Mutex
	rng   *rand.Rand
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// NewTarget starts a target whose behaviour is drawn anew for each request.
func NewTarget(id string, seed uint64, ledger *Ledger, drawBehaviour func(*rand.Rand) Behaviour) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{ID: id, ledger: ledger, drawBehaviour: drawBehaviour, Listener: l,
		rng: rand.New(rand.NewPCG(seed, seed)), conns: map[net.Conn]bool{}}
	t.done.Go(t.acceptAll)
	return t, nil
}

func (t *Target) acceptAll() {
	for {
		conn, err := t.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[conn] = true
		t.mu.Unlock()
		t.done.Go(func() {
			t.serve(conn)
			_ = conn.Close() // it may be reset already
			t.mu.Lock()
			delete(t.conns, conn)
			t.mu.Unlock()
		})
	}
}

// Stop ends the target and resets its connections.
func (t *Target) Stop() {
	_ = t.Close() // it may be closed already
	t.mu.Lock()
	for conn := range t.conns {
		reset(conn)
	}
	t.mu.Unlock()
	t.done.Wait()
}

// reset closes a connection so that the other side sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection may have ended
	}
	_ = conn.Close()
}

func (t *Target) nextBehaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drawBehaviour(t.rng)
}

// serve reads requests from a connection and treats each as its behaviour says, until the connection ends.
func (t *Target) serve(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		firstByteAt := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		b := t.nextBehaviour()
		id := req.Header.Get("Request-Id")
		t.recordAttempt(id, attempt{target: t.ID, conn: conn.RemoteAddr().String(), firstByteAt: firstByteAt,
			statedTimeout: statedTimeout(req), executed: b.Reply != RespondRejected})
		if !t.reply(conn, in, b, id) {
			return
		}
	}
}

// statedTimeout returns the time that an attempt says the initiator will wait; 0 where it says none that can be read.
func statedTimeout(req *http.Request) time.Duration {
	ms, err := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func (t *Target) recordAttempt(id string, a attempt) {
	t.ledger.update(id, func(r *record) { r.attempts = append(r.attempts, a) })
}

// reply carries out a behaviour. It returns whether the connection goes on.
func (t *Target) reply(conn net.Conn, in *bufio.Reader, b Behaviour, id string) bool {
	time.Sleep(b.Delay)
	body := responseFor(id) + strings.Repeat("x", 100)
	complete := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	const headWithoutLength = "HTTP/1.1 200 OK\r\n\r\n"
	var response string
	switch b.Reply {
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
	case StopMidResponse:
		response = complete[:len(complete)/2]
	case RespondWithoutLength:
		_, _ = io.WriteString(conn, headWithoutLength+body) // the connection ends either way
		return false
	case CutWithoutLength:
		_, _ = io.WriteString(conn, headWithoutLength+body[:len(body)/2]) // the connection ends either way
		time.Sleep(resetDelay)
		reset(conn)
		return false
	case Hang:
		_, _ = peekWithin(conn, in, hangTimeout) // the connection ends either way
		return false
	}
	return t.respond(conn, in, b, response)
}

// respond writes a response and does what the behaviour wants after it. It returns whether the connection goes on.
func (t *Target) respond(conn net.Conn, in *bufio.Reader, b Behaviour, response string) bool {
	begun := time.Now()
	if _, err := io.WriteString(conn, response); err != nil || b.CloseAfter {
		return false
	}
	if b.CloseIdleAfter > 0 {
		came, err := peekWithin(conn, in, b.CloseIdleAfter)
		return err == nil && came
	}
	if b.RepeatAfter > 0 {
		return t.repeat(conn, in, begun, b.RepeatAfter, response)
	}
	return true
}

// repeat sends a response a second time, unless another request comes first. Where this process itself was late with it, the
// ledger is told: no initiator need be ready for that.
func (t *Target) repeat(conn net.Conn, in *bufio.Reader, begun time.Time, after time.Duration, response string) bool {
	came, err := peekWithin(conn, in, after)
	if err != nil || came {
		return err == nil
	}
	_, err = io.WriteString(conn, response)
	if time.Since(begun) > maxRepeatDelay {
		t.ledger.recordLateRepeat(conn.RemoteAddr().String())
	}
	return err == nil
}

// peekWithin waits for a byte for so long. It returns whether one came; an error is the connection's.
func peekWithin(conn net.Conn, in *bufio.Reader, timeout time.Duration) (came bool, err error) {
	if err := conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return false, err
	}
	_, err = in.Peek(1)
	if resetErr := conn.SetReadDeadline(time.Time{}); resetErr != nil {
		return false, resetErr
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false, nil
	}
	return err == nil, err
}
