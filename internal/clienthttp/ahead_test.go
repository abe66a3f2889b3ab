package clienthttp

import (
	"io"
	"net"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
)

// TestRequestSentAheadHasArrived
//
// Symptom: a request had its answer long after its client's time was over, or none, and its target was told more time than
// the client had left.
// Sequence: a client sends several requests at once. A target hangs, and the first is answered when its time is over; the
// second is read then, and gets all of its time anew, as does the third.
// Cause: a request's time was counted from when its last byte was read. Behind another request it may have been here, unread,
// since that one came.
// Settled by the log: "request accepted" with age=10µs for a request that was sent seconds before.
func TestRequestSentAheadHasArrived(t *testing.T) {
	const openFor = 300 * time.Millisecond
	for name, gap := range map[string]time.Duration{"in one step": 0, "a little later": 20 * time.Millisecond, "while one is open": openFor / 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, b, addr := newFront(t, 64)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			var sent []time.Time
			for range 3 {
				sent = append(sent, time.Now())
				io.WriteString(c, goodRead)
				time.Sleep(gap)
			}
			for i := range sent {
				j := <-b.jobs
				if late := j.ReceivedAt.Sub(sent[i]); late > openFor/10 {
					t.Errorf("request %d came %v after it was sent", i, late)
				}
				time.Sleep(openFor)
				j.Respond(dispatcher.Response{Payload: []byte("x")})
			}
		})
	}
}
