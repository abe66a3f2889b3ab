package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The time limits of the protocol. They are defined here independently of the initiator's constants, so that the tests
// detect a wrong constant there.
const (
	// responseSlack is how long after the client's timeout a final response may arrive. After that, the request counts as
	// lost.
	responseSlack = 500 * time.Millisecond
	// disconnectSlack is how long after the client has disconnected an attempt may still begin.
	disconnectSlack = 100 * time.Millisecond
	// attemptTimeoutSlack is by how much an attempt's timeout may exceed the remaining time of its client.
	attemptTimeoutSlack = 150 * time.Millisecond
	// drainGrace is how long an initiator may still send requests to a target after the notification that the target is
	// draining: 1 s, plus a tolerance of 50 ms because the tests use real sockets.
	drainGrace = 1050 * time.Millisecond
)

// Rule identifies a rule of the protocol that an initiator can violate.
type Rule string

// The rules that History.Violations checks.
const (
	Lost           Rule = "lost"            // the final response is missing, late or wrong, or an attempt follows a disconnect
	Duplicate      Rule = "duplicate"       // a request that is not idempotent is executed more than once
	Drain          Rule = "drain"           // a draining target receives a request after drainGrace
	AttemptTimeout Rule = "attempt timeout" // an attempt's timeout exceeds the remaining time of its client
)

// Violation describes one violation of a rule.
type Violation struct {
	Rule    Rule
	Request string // the request's ID
	Text    string // what happened, with the measured values
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Rule, v.Request, v.Text)
}

// attempt is one request as a target received it.
type attempt struct {
	target           string
	conn             string // identifies the connection by its address on the initiator's side
	firstByteAt      time.Time
	lastByteAt       time.Time     // the target can begin only now
	announcedTimeout time.Duration // from the Request-Timeout-Ms header
	executed         bool
}

// Outcome is the result of a request as its client saw it.
type Outcome struct {
	Status           int           // 0 if there was no complete response
	Text             string        // the response body, or the reason why there is none
	EndedAt          time.Time     // when the last byte was read or the connection ended
	Elapsed          time.Duration // from the request's last byte to EndedAt
	Unread           bool          // there was no connection, or it ended before the initiator read the request
	Killed           bool          // the initiator was killed without a preceding SIGTERM
	err              error         // the error that prevented a complete response
	partial          bool          // the client read part of a response
	closesConnection bool          // the response announces that the connection closes
}

// requestRecord holds what clients and targets recorded about one request.
type requestRecord struct {
	id             string
	nonIdempotent  bool
	sentAt         time.Time // when the last byte was written; zero if the request was not sent completely
	timeout        time.Duration
	disconnectedAt time.Time // zero if the client waited for the response
	outcomes       []Outcome
	attempts       []attempt
}

// History records what clients, targets and discovery observed about every request. All of them use one clock.
type History struct {
	delays          *DelayMonitor
	mu              sync.Mutex
	records         map[string]*requestRecord
	drainNotifiedAt map[string]time.Time // by target: when an initiator was first notified of its drain
	lateRepeatConns map[string]bool      // connections on which a fake target repeated a response too late
}

// NewHistory returns an empty history. Its checks extend the time limits by the delays of the test process that the monitor
// measured.
func NewHistory(delays *DelayMonitor) *History {
	return &History{delays: delays, records: map[string]*requestRecord{}, drainNotifiedAt: map[string]time.Time{},
		lateRepeatConns: map[string]bool{}}
}

// update calls change with the record of a request. It creates the record if there is none.
func (h *History) update(id string, change func(*requestRecord)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.records[id]
	if r == nil {
		r = &requestRecord{id: id}
		h.records[id] = r
	}
	change(r)
}

// recordOutcome adds an outcome to the record of a request.
func (h *History) recordOutcome(id string, o Outcome) {
	h.update(id, func(r *requestRecord) { r.outcomes = append(r.outcomes, o) })
}

// RecordDrain records when an initiator was notified that a target is draining. Only the first call for a target counts.
func (h *History) RecordDrain(target string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, seen := h.drainNotifiedAt[target]; !seen {
		h.drainNotifiedAt[target] = at
	}
}

// recordLateRepeat records that a fake target repeated a response on the connection too late, because the test process was
// delayed.
func (h *History) recordLateRepeat(conn string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lateRepeatConns[conn] = true
}

// usedLateRepeatConn reports whether an attempt of the request used a connection on which a response was repeated too late.
func (h *History) usedLateRepeatConn(r *requestRecord) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return h.lateRepeatConns[a.conn] })
}
