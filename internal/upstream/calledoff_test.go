package upstream

import (
	"log/slog"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

// TestCalledOffBeforeItBegan
//
// Symptom: after some clients had left, requests to a healthy target waited 0.6 s.
// Sequence: clients leave while the connections for their attempts come up. Each attempt was reported as one that got no
// connection; after three of them the target counted as failing, and was spared for a while.
// Cause: an attempt that was called off before its first byte was reported with how far it had got, not as not sent.
// Settled by the log: "attempt ended" reason=CONNECT_FAILED latency=0.4ms, right behind "request ended" reason=CLIENT_CLOSED.
func TestCalledOffBeforeItBegan(t *testing.T) {
	w := &lateWire{up: make(chan bool)}
	results := make(chan dispatcher.AttemptResult, 1)
	g := NewRegistry(Options{Dialer: w, DialTimeout: 20 * time.Second, IdleTimeout: time.Minute, MaxConnsPerTarget: 4, MaxConns: 6,
		Logger: slog.New(slog.DiscardHandler)}, func(r dispatcher.AttemptResult) { results <- r })
	g.Apply([]Endpoint{{ID: "n", Addr: "a:1"}}, true)
	g.Send(dispatcher.Attempt{RequestID: "r", Target: "n", Deadline: time.Now().Add(time.Minute), Payload: &httpmsg.Request{}})
	for w.asked.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	g.Cancel("n", "r")
	select {
	case r := <-results:
		if r.Status != scheduler.NotSent {
			t.Errorf("code %v, want it not sent", r.Status)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no result")
	}
}
