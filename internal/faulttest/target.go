package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Reply is what a target does with a request.
type Reply int

// The replies of a target.
const (
	Serve       Reply = iota
	FailIt            // 500: it may have run
	TurnAway          // 503, never run
	ResetIt           // the connection is reset
	Noise             // bytes that are no answer
	StopMidway        // half an answer, and silence
	NoLength          // a whole answer that ends with the connection
	CutNoLength       // half of such an answer, and a reset
	Hang              // silence
)

// Behaviour is how a target treats one request.
type Behaviour struct {
	Reply       Reply
	Delay       time.Duration // before the answer
	SecondAfter time.Duration // its answer comes again so much later, if nothing else waits on the connection; 0: it does not
	Closes      bool          // the connection is closed after the answer, without having said so
	IdleFor     time.Duration // or once it has been idle for so long; 0: it is kept
}

// hangFor bounds how long a target keeps silent: longer than any client waits.
const hangFor = 4 * time.Second

// Target is a stand-in for a storage node.
type Target struct {
	ID     string
	ledger *Ledger
	draw   func(*rand.Rand) Behaviour
	net.Listener
	mu    sync.Mutex
	rng   *rand.Rand
	conns map[net.Conn]bool
	done  sync.WaitGroup
}

// NewTarget starts a target that treats each request as draw says.
func NewTarget(id string, seed uint64, ledger *Ledger, draw func(*rand.Rand) Behaviour) (*Target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &Target{ID: id, ledger: ledger, draw: draw, Listener: l, rng: rand.New(rand.NewPCG(seed, seed)), conns: map[net.Conn]bool{}}
	t.done.Go(t.accept)
	return t, nil
}

func (t *Target) accept() {
	for {
		c, err := t.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		t.done.Go(func() {
			t.serve(c)
			c.Close()
			t.mu.Lock()
			delete(t.conns, c)
			t.mu.Unlock()
		})
	}
}

// Stop ends the target and resets its connections.
func (t *Target) Stop() {
	t.Close()
	t.mu.Lock()
	for c := range t.conns {
		reset(c)
	}
	t.mu.Unlock()
	t.done.Wait()
}

// reset closes a connection so that the other side sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (t *Target) behaviour() Behaviour {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draw(t.rng)
}

func (t *Target) serve(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		first := time.Now()
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		b := t.behaviour()
		ms, _ := strconv.Atoi(req.Header.Get("Request-Timeout-Ms"))
		id := req.Header.Get("Request-Id")
		t.ledger.edit(id, func(r *record) {
			r.attempts = append(r.attempts, attempt{target: t.ID, conn: c.RemoteAddr().String(), first: first,
				told: time.Duration(ms) * time.Millisecond, ran: b.Reply != TurnAway})
		})
		if !t.reply(c, in, b, id) {
			return
		}
	}
}

// reply carries out a behaviour; false when the connection is over.
func (t *Target) reply(c net.Conn, in *bufio.Reader, b Behaviour, id string) bool {
	time.Sleep(b.Delay)
	body := answerFor(id) + strings.Repeat("x", 100)
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	var says string
	switch b.Reply {
	case Serve:
		says = whole
	case FailIt:
		says = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case TurnAway:
		says = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
	case ResetIt:
		reset(c)
		return false
	case Noise:
		says = "\x00\xff\x16noise\r\n\r\n"
	case StopMidway:
		says = whole[:len(whole)/2]
	case NoLength:
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body)
		return false
	case CutNoLength:
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body[:len(body)/2])
		time.Sleep(5 * time.Millisecond) // a reset right behind it would take it away
		reset(c)
		return false
	case Hang:
		c.SetReadDeadline(time.Now().Add(hangFor))
		in.Peek(1)
		return false
	}
	answering := time.Now()
	if _, err := io.WriteString(c, says); err != nil || b.Closes {
		return false
	}
	if b.IdleFor > 0 {
		c.SetReadDeadline(time.Now().Add(b.IdleFor))
		_, err := in.Peek(1)
		c.SetReadDeadline(time.Time{})
		return err == nil
	}
	if b.SecondAfter > 0 && !t.repeat(c, in, answering, b.SecondAfter, says) {
		return false
	}
	return true
}

// mostRepeatDelay is the longest that a second answer may follow the first by: a few milliseconds.
const mostRepeatDelay = 9500 * time.Microsecond

// repeat sends an answer a second time, unless another request comes first. Where this process itself was late with it, it
// says so: no initiator need be ready for that.
func (t *Target) repeat(c net.Conn, in *bufio.Reader, answering time.Time, after time.Duration, says string) bool {
	c.SetReadDeadline(time.Now().Add(after))
	_, err := in.Peek(1)
	c.SetReadDeadline(time.Time{})
	if err == nil {
		return true
	}
	if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
		return false
	}
	_, err = io.WriteString(c, says)
	if time.Since(answering) > mostRepeatDelay {
		t.ledger.repeatedLate(c.RemoteAddr().String())
	}
	return err == nil
}
