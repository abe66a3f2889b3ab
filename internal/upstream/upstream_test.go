package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/internal/seeded"
	"dapplegate/scheduler"
)

func TestMain(m *testing.M) { seeded.Main(m) }

// standIn is a target that answers with what serve writes; accepted counts its connections.
type standIn struct {
	net.Listener
	accepted atomic.Int32
	asked    atomic.Int32
}

func newStandIn(t *testing.T, serve func(n int32, req *http.Request, c net.Conn) bool) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{Listener: l}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.accepted.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					if !serve(s.asked.Add(1), req, c) {
						return
					}
				}
			}()
		}
	}()
	return s
}

// bench is a registry with one target "n" and its results.
type bench struct {
	*Registry
	results chan dispatcher.AttemptResult
	tries   int
}

func newBench(addr string) *bench {
	b := &bench{results: make(chan dispatcher.AttemptResult, 64)}
	b.Registry = NewRegistry(Options{Dialer: NewHTTPDialer(0), DialTimeout: 20 * time.Second, IdleTimeout: time.Minute, MaxConnsPerTarget: 4, MaxConns: 6,
		Logger: slog.New(slog.DiscardHandler)}, func(r dispatcher.AttemptResult) { b.results <- r })
	b.Apply([]Endpoint{{ID: "n", Addr: addr}}, true)
	return b
}

func (b *bench) send(wait time.Duration) {
	b.tries++
	now := time.Now()
	b.Send(dispatcher.Attempt{RequestID: fmt.Sprint(b.tries), Target: "n", Deadline: now.Add(wait),
		Payload: &httpmsg.Request{Method: "PUT", URI: "/w/1", ID: "id", Body: []byte("body")}})
}

func (b *bench) result(t *testing.T) dispatcher.AttemptResult {
	t.Helper()
	select {
	case r := <-b.results:
		return r
	case <-time.After(20 * time.Second):
		t.Fatal("no result")
		return dispatcher.AttemptResult{}
	}
}

func say(c net.Conn, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	return err == nil
}

// deadlineConn remembers the deadline set last.
type deadlineConn struct {
	net.Conn
	at time.Time
}

func (c *deadlineConn) SetDeadline(t time.Time) error {
	c.at = t
	return c.Conn.SetDeadline(t)
}

// TestConnectionOutlivesAttempt guards the pool against an attempt's deadline: left on the connection, it made
// the look at the idle connection fail, and nearly every request paid for a handshake.
func TestConnectionOutlivesAttempt(t *testing.T) {
	tg := newTarget("n", Options{Logger: slog.New(slog.DiscardHandler)}, nil, func(dispatcher.AttemptResult) {})
	tg.update("a:1", scheduler.Serving)
	near, far := net.Pipe()
	go func() {
		http.ReadRequest(bufio.NewReader(far))
		say(far, "200 OK", "x")
	}()
	c := &deadlineConn{Conn: near}
	y := &inFlightAttempt{Attempt: dispatcher.Attempt{Deadline: time.Now().Add(time.Minute), Payload: &httpmsg.Request{Method: "GET", URI: "/"}}}
	if r := tg.exchange(t.Context(), y, &pooledConn{Conn: newTestHTTPConn(c)}); !r.Reusable() || !c.at.IsZero() {
		t.Errorf("kept %v (%s), deadline left %v; want it kept with none", r.Reusable(), r.CloseReason, c.at)
	}
}

// TestOutcomes checks what each ending is taken for; above all, that Not-Started counts only with 503 and 504
// and that what ends after the last byte may have run.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name, head string
		want       scheduler.AttemptStatus
	}{
		{"served", "200 OK", scheduler.Succeeded},
		{"error", "500 Internal Server Error", scheduler.Errored},
		{"error that claims not to have run", "500 Internal Server Error\r\nNot-Started: 1", scheduler.Errored},
		{"turned away", "503 Service Unavailable\r\nNot-Started: 1", scheduler.Rejected},
		{"over already", "504 Gateway Timeout\r\nNot-Started: 1", scheduler.Rejected},
		{"unavailable, no word", "503 Service Unavailable", scheduler.Errored},
		{"broken off", "", scheduler.ConnectionReset},
	} {
		s := newStandIn(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
			return c.head != "" && say(conn, c.head, "")
		})
		b := newBench(s.Addr().String())
		b.send(10 * time.Second)
		if r := b.result(t); r.Status != c.want {
			t.Errorf("%s: code %v, want %v", c.name, r.Status, c.want)
		}
	}
}

// TestSpoiltAnswers has targets answer what cannot be used: it may have run, nothing of it is served, the connection is
// not used again, and what stops midway is not waited for. What is only more than was due costs the connection alone.
func TestSpoiltAnswers(t *testing.T) {
	const ok, spoilt = scheduler.Succeeded, scheduler.ConnectionReset
	good := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"
	for _, c := range []struct {
		name, says string
		want       scheduler.AttemptStatus
		conns      int32 // for two attempts
	}{
		{"whole", good, ok, 1},
		{"noise", "\x00\xffnoise\r\n\r\n", spoilt, 2},
		{"no length", "HTTP/1.1 200 OK\r\n\r\nx", spoilt, 2},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy", spoilt, 2},
		{"length below none", "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx", spoilt, 2},
		{"stops in its head", "HTTP/1.1 200 OK\r\nConte", spoilt, 2},
		{"stops in its body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx", spoilt, 2},
		{"head without end", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 5<<20), spoilt, 2},
		{"claims 3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx", spoilt, 2},
		{"1xx in front", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInformational) + good, ok, 1},
		{"1xx without end", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", maxInformational+1) + good, spoilt, 2},
		{"a second copy", good + good, ok, 2},
		{"reports that cannot be read", strings.Replace(good, "Cont", "Server-Load: inflight=x,queue=1e99\r\nVolume-Load: -7\r\nCont", 1), ok, 1},
	} {
		var said atomic.Int64
		s := newStandIn(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
			conn.(*net.TCPConn).SetWriteBuffer(4 << 10)
			for part := range slices.Chunk([]byte(c.says), 4<<10) {
				n, _ := conn.Write(part)
				said.Add(int64(n))
			}
			return true
		})
		b := newBench(s.Addr().String())
		for range 2 {
			begun := time.Now()
			b.send(10 * time.Second)
			r := b.result(t)
			if r.Status != c.want || r.Status == ok && string(r.Payload.([]byte)) != "x" || r.LoadReport != nil || r.VolumeUsage != 0 {
				t.Errorf("%s: %+v, want code %v", c.name, r, c.want)
			}
			if took := time.Since(begun); took > 5*time.Second {
				t.Errorf("%s: waited for %v", c.name, took)
			}
			time.Sleep(quarantineTime + 5*time.Millisecond) // for what comes after the answer
		}
		if n := said.Load(); n > 20<<20 {
			t.Errorf("%s: %d bytes were taken for two attempts", c.name, n)
		}
		if got := s.accepted.Load(); got != c.conns {
			t.Errorf("%s: %d connections for two attempts, want %d", c.name, got, c.conns)
		}
	}
}

// TestAnswerWithoutLength has targets tell no length: such an answer is whole where the target ends the connection, and
// cut where a reset or a stall does.
func TestAnswerWithoutLength(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   func(*net.TCPConn) bool // whether the connection goes on
		want  scheduler.AttemptStatus
		close string
	}{
		{"ended", func(c *net.TCPConn) bool { return false }, scheduler.Succeeded, ""},
		{"ended as announced", func(c *net.TCPConn) bool { return false }, scheduler.Succeeded, "Connection: close\r\n"},
		{"half closed", func(c *net.TCPConn) bool { c.CloseWrite(); return true }, scheduler.Succeeded, ""},
		{"reset", func(c *net.TCPConn) bool { c.SetLinger(0); return false }, scheduler.ConnectionReset, ""},
		{"stalled", func(c *net.TCPConn) bool { return true }, scheduler.ConnectionReset, ""},
	} {
		s := newStandIn(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.close+"\r\nwhole")
			return c.end(conn.(*net.TCPConn))
		})
		b := newBench(s.Addr().String())
		for range 2 {
			b.send(10 * time.Second)
			r := b.result(t)
			if body, _ := r.Payload.([]byte); r.Status != c.want || r.Status == scheduler.Succeeded && string(body) != "whole" {
				t.Errorf("%s: code %v, body %q, want code %v", c.name, r.Status, body, c.want)
			}
		}
		if n := s.accepted.Load(); n != 2 {
			t.Errorf("%s: %d connections for two attempts, want 2", c.name, n)
		}
	}
}

// TestLargeAnswers guards against taking an answer for spoilt that is only larger than a request may be, or comes in
// pieces; and against holding more of them at a time than there is memory for.
func TestLargeAnswers(t *testing.T) {
	body := strings.Repeat("x", 400<<10)
	s := newStandIn(t, func(_ int32, _ *http.Request, conn net.Conn) bool {
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		for part := range slices.Chunk([]byte(whole), 100<<10) {
			conn.Write(part)
			time.Sleep(stallTimeout / 3)
		}
		return true
	})
	b := newBench(s.Addr().String())
	wire := NewHTTPDialer(0)
	wire.budget.free.Store(500 << 10)
	b.options.Dialer = wire
	b.Apply([]Endpoint{{ID: "n"}}, false)
	b.Apply([]Endpoint{{ID: "m", Addr: s.Addr().String()}}, true)
	send := func(request string) {
		b.Send(dispatcher.Attempt{RequestID: request, Target: "m", Deadline: time.Now().Add(20 * time.Second),
			Payload: &httpmsg.Request{Method: "GET", URI: "/r/1", ID: "id"}})
	}
	send("1")
	if r := b.result(t); r.Status != scheduler.Succeeded || string(r.Payload.([]byte)) != body {
		t.Errorf("a large answer in pieces: code %v", r.Status)
	}
	send("2")
	send("3")
	if one, two := b.result(t), b.result(t); one.Status != scheduler.ConnectionReset || two.Status != scheduler.Succeeded {
		t.Errorf("two at a time, with room for one: codes %v and %v", one.Status, two.Status)
	}
	if left := wire.budget.free.Load(); left != 500<<10 {
		t.Errorf("%d bytes of room are left afterwards", left)
	}
}

// TestStaleConnection checks that a connection which the target closed while idle is not written to.
func TestStaleConnection(t *testing.T) {
	closed := make(chan bool)
	s := newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
		say(c, "200 OK", "")
		if n == 1 {
			go func() { time.Sleep(20 * time.Millisecond); c.Close(); close(closed) }()
		}
		return true
	})
	b := newBench(s.Addr().String())
	b.send(10 * time.Second)
	b.result(t)
	<-closed
	time.Sleep(20 * time.Millisecond)
	b.send(10 * time.Second)
	if r := b.result(t); r.Status != scheduler.Succeeded || s.asked.Load() != 2 {
		t.Errorf("code %v after %d requests, want it served by the second", r.Status, s.asked.Load())
	}
}

// TestTimeOutClosesFirst checks that the target sees the connection end before the outcome is told.
func TestTimeOutClosesFirst(t *testing.T) {
	for _, way := range []string{"time-out", "cancel", "cancel off the list", "cancel at a namesake"} {
		ended, asked := make(chan bool, 1), make(chan bool, 1)
		s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool {
			asked <- true
			c.Read(make([]byte, 1))
			ended <- true
			return false
		})
		b := newBench(s.Addr().String())
		want := scheduler.DeadlineExceeded
		if way != "time-out" {
			want = scheduler.Cancelled
			b.send(time.Minute)
			<-asked
			if way != "cancel" {
				b.Apply(nil, true)
			}
			if way == "cancel at a namesake" {
				b.Apply([]Endpoint{{ID: "n", Addr: s.Addr().String()}}, true)
			}
			b.Cancel("n", "1")
		} else {
			b.send(2 * time.Second)
		}
		r := b.result(t)
		if r.Status != want {
			t.Errorf("%s: code %v, want %v", way, r.Status, want)
		}
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Errorf("%s: the connection stayed open", way)
		}
		b.Apply(nil, true)
		for left := true; left; time.Sleep(time.Millisecond) { // until the actors have ended
			b.mu.Lock()
			left = len(b.retired) > 0
			b.mu.Unlock()
		}
	}
}

// TestDrainingGetsNoFirstByte guards the moment of the first byte: a send decided before the news came, and
// one that waits for its connection while it comes, must not start at a target that leaves.
func TestDrainingGetsNoFirstByte(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "") })
	b := newBench(s.Addr().String())
	b.send(10 * time.Second)
	b.result(t)
	b.Apply([]Endpoint{{ID: "n", Addr: s.Addr().String(), State: scheduler.Draining}}, false)
	b.send(10 * time.Second)
	if r := b.result(t); r.Status != scheduler.NotSent || s.asked.Load() != 1 {
		t.Errorf("draining: code %v, %d requests reached the target; want none after the first", r.Status, s.asked.Load())
	}
	// The same at the last look, with the connection in hand.
	tg := newTarget("n", b.options, &b.openConns, b.report)
	tg.update(s.Addr().String(), scheduler.Draining)
	near, far := net.Pipe()
	defer far.Close()
	y := &inFlightAttempt{Attempt: dispatcher.Attempt{Deadline: time.Now().Add(time.Minute), Payload: &httpmsg.Request{Method: "GET", URI: "/"}}}
	if r := tg.exchange(t.Context(), y, &pooledConn{Conn: newTestHTTPConn(near)}); r.Reusable() || r.Status != scheduler.NotSent {
		t.Errorf("first byte: code %v, want it not sent", r.Status)
	}
}

// TestSecondAnswerCrosses has a target answer a request twice, the second time when the next request is on its way already:
// that one must not be served with it. Past enough connections rest is no reason for another.
func TestSecondAnswerCrosses(t *testing.T) {
	next := make(chan bool)
	s := newStandIn(t, func(n int32, _ *http.Request, c net.Conn) bool {
		if n > 1 {
			next <- true // the copy comes before this answer
			<-next
			return say(c, "200 OK", "second")
		}
		go func() {
			<-next
			say(c, "200 OK", "first")
			next <- true
		}()
		return say(c, "200 OK", "first")
	})
	b := newBench(s.Addr().String())
	for _, want := range []string{"first", "second"} {
		b.send(10 * time.Second)
		if r := b.result(t); r.Status != scheduler.Succeeded || string(r.Payload.([]byte)) != want {
			t.Errorf("code %v, answer %q, want %q", r.Status, r.Payload, want)
		}
	}
	plain := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "") })
	b = newBench(plain.Addr().String())
	for range 20 {
		b.send(10 * time.Second)
		b.result(t)
	}
	if n := plain.accepted.Load(); n > maxConnsForQuarantine {
		t.Errorf("%d connections for requests one after another, want %d at most", n, maxConnsForQuarantine)
	}
}

// TestRepeatTooLate has an attempt's connection come up when it may not begin any more: nothing of it is sent.
func TestRepeatTooLate(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "") })
	b := newBench(s.Addr().String())
	send := func(begin time.Time) dispatcher.AttemptResult {
		b.Send(dispatcher.Attempt{RequestID: "r", Target: "n", StartBy: begin, Deadline: time.Now().Add(time.Minute),
			Payload: &httpmsg.Request{Method: "GET", URI: "/r/1", ID: "id"}})
		return b.result(t)
	}
	if r := send(time.Now()); r.Status != scheduler.NotSent || s.asked.Load() != 0 {
		t.Errorf("too late: code %v, %d requests reached the target", r.Status, s.asked.Load())
	}
	if r := send(time.Now().Add(time.Minute)); r.Status != scheduler.Succeeded {
		t.Errorf("in time: code %v", r.Status)
	}
}

// lateWire opens connections that come up when the test says so.
type lateWire struct {
	asked, gone atomic.Int32
	up          chan bool
}

func (w *lateWire) Dial(ctx context.Context, _ string) (Conn, error) {
	w.asked.Add(1)
	select {
	case <-w.up:
		return served{}, nil
	case <-ctx.Done():
		w.gone.Add(1)
		return nil, ctx.Err()
	}
}

// served is a connection on which every attempt is.
type served struct{}

func (served) RoundTrip(dispatcher.Attempt, func() bool) RoundTripResult {
	return RoundTripResult{AttemptResult: dispatcher.AttemptResult{Status: scheduler.Succeeded}}
}
func (served) IsIdle() bool { return true }
func (served) Close() error { return nil }

// TestLateConnectionIsKept has connections come up later than their attempts wait: the first goes on, one at a time, and
// carries the next attempt; a target that is gone ends with it, and nothing stays counted.
func TestLateConnectionIsKept(t *testing.T) {
	w := &lateWire{up: make(chan bool)}
	b := &bench{results: make(chan dispatcher.AttemptResult, 64)}
	b.Registry = NewRegistry(Options{Dialer: w, DialTimeout: 250 * time.Millisecond, IdleTimeout: time.Minute, MaxConnsPerTarget: 4, MaxConns: 6,
		Logger: slog.New(slog.DiscardHandler)}, func(r dispatcher.AttemptResult) { b.results <- r })
	b.Apply([]Endpoint{{ID: "n", Addr: "a:1"}}, true)
	for i := range 2 {
		b.send(10 * time.Second)
		if r := b.result(t); r.Status != scheduler.ConnectFailed {
			t.Fatalf("attempt %d: code %v, want no connection", i, r.Status)
		}
	}
	if asked, gone := w.asked.Load(), w.gone.Load(); asked != 2 || gone != 1 {
		t.Errorf("%d dials, %d given up; want the second given up beside the first", asked, gone)
	}
	b.mu.Lock()
	n := b.targets["n"]
	b.mu.Unlock()
	w.up <- true
	for n.dialsInBackground.Load() {
		time.Sleep(time.Millisecond)
	}
	b.send(10 * time.Second)
	if r := b.result(t); r.Status != scheduler.Succeeded || w.asked.Load() != 2 {
		t.Errorf("on the connection that came late: code %v, %d dials", r.Status, w.asked.Load())
	}
	b.Apply([]Endpoint{{ID: "m", Addr: "a:2"}}, true)
	b.Send(dispatcher.Attempt{RequestID: "x", Target: "m", Deadline: time.Now().Add(time.Minute)})
	b.result(t)
	b.Apply(nil, true) // with a dial of its under way
	for b.openConns.Load() > 0 {
		time.Sleep(time.Millisecond) // until that has had its time
	}
}

// TestGoneWhileConnecting has the client go while its attempt's connection comes up: nothing of it is sent, on that
// connection or on another, and the next attempt has the connection.
func TestGoneWhileConnecting(t *testing.T) {
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { return say(c, "200 OK", "") })
	w := &heldWire{HTTPDialer: NewHTTPDialer(0), came: make(chan bool), held: make(chan bool)}
	b := &bench{results: make(chan dispatcher.AttemptResult, 64)}
	b.Registry = NewRegistry(Options{Dialer: w, DialTimeout: 20 * time.Second, IdleTimeout: time.Minute, MaxConnsPerTarget: 4, MaxConns: 6,
		Logger: slog.New(slog.DiscardHandler)}, func(r dispatcher.AttemptResult) { b.results <- r })
	b.Apply([]Endpoint{{ID: "n", Addr: s.Addr().String()}}, true)
	b.send(time.Minute)
	<-w.came
	b.Cancel("n", "1")
	if r := b.result(t); r.Status != scheduler.NotSent || r.RequestID != "1" {
		t.Errorf("code %v of request %s, want it not sent", r.Status, r.RequestID)
	}
	close(w.held)
	b.mu.Lock()
	n := b.targets["n"]
	b.mu.Unlock()
	for n.dialsInBackground.Load() {
		time.Sleep(time.Millisecond)
	}
	b.send(time.Minute)
	if r := b.result(t); r.Status != scheduler.Succeeded || s.asked.Load() != 1 || s.accepted.Load() != 1 {
		t.Errorf("afterwards: code %v, %d requests on %d connections, want one on one", r.Status, s.asked.Load(), s.accepted.Load())
	}
}

// heldWire connects at once, and hands the connection over when the test says so.
type heldWire struct {
	HTTPDialer
	came, held chan bool
}

func (w *heldWire) Dial(ctx context.Context, addr string) (Conn, error) {
	s, err := w.HTTPDialer.Dial(ctx, addr)
	w.came <- true
	<-w.held
	return s, err
}

// TestConnectionsAreBounded checks both bounds: connections to one target, and to all of them together.
func TestConnectionsAreBounded(t *testing.T) {
	wait := make(chan bool)
	s := newStandIn(t, func(_ int32, _ *http.Request, c net.Conn) bool { <-wait; return say(c, "200 OK", "") })
	b := newBench(s.Addr().String())
	b.Apply([]Endpoint{{ID: "m", Addr: s.Addr().String()}}, false)
	for i := range 10 {
		now := time.Now()
		b.Send(dispatcher.Attempt{RequestID: fmt.Sprint("r", i), Target: []string{"n", "m"}[i/5], Deadline: now.Add(time.Minute),
			Payload: &httpmsg.Request{Method: "GET", URI: "/r/1", ID: "id"}})
	}
	for range 4 { // the fifth at n, and all past two at m
		if r := b.result(t); r.Status != scheduler.ConnectFailed {
			t.Errorf("past the bounds: code %v, want no connection", r.Status)
		}
	}
	close(wait)
	for range 6 {
		if r := b.result(t); r.Status != scheduler.Succeeded {
			t.Errorf("within the bounds: code %v, want it served", r.Status)
		}
	}
}

// TestPartWritten checks that an attempt which ends short of its last byte cannot have run.
func TestPartWritten(t *testing.T) {
	tg := newTarget("n", Options{Logger: slog.New(slog.DiscardHandler)}, nil, func(dispatcher.AttemptResult) {})
	tg.update("a:1", scheduler.Serving)
	near, far := net.Pipe()
	go func() { io.ReadFull(far, make([]byte, 20)); far.Close() }()
	y := &inFlightAttempt{Attempt: dispatcher.Attempt{Deadline: time.Now().Add(time.Minute), Payload: &httpmsg.Request{Method: "PUT", URI: "/",
		Body: make([]byte, 1000)}}}
	if r := tg.exchange(t.Context(), y, &pooledConn{Conn: newTestHTTPConn(near)}); r.Reusable() || r.Status != scheduler.ConnectFailed {
		t.Errorf("code %v, want no connection", r.Status)
	}
}

// neverLate is a connection without deadlines.
type neverLate struct{ io.Reader }

func (neverLate) SetReadDeadline(time.Time) error { return nil }

// readResponse reads a response to a GET from what a target sent before it closed the connection.
func readResponse(sent string) (*response, error) {
	in := neverLate{strings.NewReader(sent)}
	return newResponseReader(in, time.Now().Add(time.Minute), newMemoryBudget(2*maxBodyBytes)).read("GET")
}

func newTestHTTPConn(c net.Conn) *httpConn {
	return &httpConn{Conn: c, budget: newMemoryBudget(2 * maxBodyBytes)}
}

// TestAnswerCuts cuts valid answers anywhere and feeds garbage: no cut of an answer with a length passes for
// a whole one, and nothing makes the parser fail otherwise than by an error.
func TestAnswerCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		body := rapid.StringN(0, 200, 300).Draw(t, "body")
		whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Load: inflight=3\r\nVolume-Load: 85\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)
		a, err := readResponse(whole)
		if err != nil || string(a.body) != body || a.volumeUsage != 86 || a.loadReport.InFlight != 3 {
			t.Fatalf("whole answer: %+v, %v", a, err)
		}
		cut := rapid.IntRange(0, len(whole)-1).Draw(t, "cut")
		if a, err := readResponse(whole[:cut]); err == nil {
			t.Fatalf("cut at %d passed for whole: %+v", cut, a)
		}
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		readResponse(string(garbage))
		parseLoadReport(string(garbage))
	})
}
