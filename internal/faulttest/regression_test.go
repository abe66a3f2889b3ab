package faulttest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"
)

// program is the initiator under test.
var program string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "faulttest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if program, err = Build(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

var read = Class{Name: "read", Deadline: 1700 * time.Millisecond}

// world is one initiator with a target and a discovery that lists it.
type world struct {
	ledger    *Ledger
	delays    *DelayMonitor
	process   *Process
	discovery *Discovery
	client    *Client
}

// newWorld starts an initiator whose only target treats each request as draw says.
func newWorld(t *testing.T, draw func(*rand.Rand) Behaviour) *world {
	t.Helper()
	w := &world{delays: NewDelayMonitor()}
	t.Cleanup(w.delays.Stop)
	w.ledger = NewLedger(w.delays)
	target, err := NewTarget("s-1", 1, w.ledger, draw)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Stop)
	w.discovery = NewDiscovery(w.ledger)
	t.Cleanup(w.discovery.Stop)
	w.discovery.Set(Entry{ID: "s-1", Addr: target.Addr().String(), State: Serving})
	asked, err := w.discovery.Listen()
	if err != nil {
		t.Fatal(err)
	}
	listen, err := FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	w.process, err = Start(program, t.TempDir(), Setup{Listen: listen, Discovery: asked, Classes: []Class{read}, Cores: 1, Sockets: 512})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.process.Kill)
	w.client = NewClient(listen, w.ledger)
	t.Cleanup(w.client.Close)
	return w
}

// judge fails the test for each breach, with what the initiator logged of the request.
func (w *world) judge(t *testing.T) {
	t.Helper()
	for _, b := range w.ledger.Breaches() {
		t.Errorf("%v\n%s", b, w.process.Log("request="+b.Request+"\n"))
	}
	if ended, err := w.process.Ended(); ended {
		t.Errorf("the initiator ended: %v", err)
	}
}

func serveAtOnce(*rand.Rand) Behaviour { return Behaviour{} }

// TestNoAttemptOnceTheClientHasLeft
//
// Symptom: a request was forwarded after it had ended.
// Sequence: while the initiator is held up for 0.14 s, a client sends a request and closes or resets its connection at once.
// The initiator goes on, reads the request, and its attempt reaches the target 0.14 s after the client left, where 0.1 s
// are allowed.
// Cause: the departure is noticed by one goroutine and the attempt is written by another; nothing looked at the client's
// connection before the first byte, so that the order in which the two came to run decided.
// Settled by the log of such a request: "attempt begins", and then "request ended" with reason=CLIENT_LEFT.
func TestNoAttemptOnceTheClientHasLeft(t *testing.T) {
	w := newWorld(t, serveAtOnce)
	for i := range 12 {
		w.client.Do(Request{ID: fmt.Sprintf("warm%d", i), Class: read, Patience: read.Deadline})
		w.process.HoldUp(140*time.Millisecond, func() {
			var clients sync.WaitGroup
			for j := range 6 {
				clients.Go(func() {
					w.client.Do(Request{ID: fmt.Sprintf("r%d-%d", i, j), Class: read, Patience: read.Deadline, Leaves: true, ByReset: j%3 == 2})
				})
			}
			clients.Wait()
		})
		time.Sleep(20 * time.Millisecond)
	}
	w.judge(t)
}
