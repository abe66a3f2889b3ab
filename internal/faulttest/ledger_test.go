package faulttest

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The time limits of the protocol that a Ledger judges by.
const (
	// answerSlack is how late a final response may come before its request is lost.
	answerSlack = 500 * time.Millisecond
	// disconnectSlack is how long after its client has disconnected an attempt may still begin.
	disconnectSlack = 100 * time.Millisecond
	// statedTimeoutSlack is by how much an attempt may overstate the time that its client has left.
	statedTimeoutSlack = 150 * time.Millisecond
	// drainGrace is how long after it was notified of a drain an initiator may still send: 1 s, and 50 ms more on sockets.
	drainGrace = 1050 * time.Millisecond
)

// Rule names a rule of the protocol that an initiator can break.
type Rule string

// The rules that a Ledger judges.
const (
	Lost          Rule = "lost"
	Duplicate     Rule = "duplicate"
	Drain         Rule = "drain"
	StatedTimeout Rule = "stated timeout"
)

// Violation is one broken rule and the figures that show it.
type Violation struct {
	Rule    Rule
	Request string
	Text    string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s: request %s: %s", v.Rule, v.Request, v.Text)
}

// attempt is a request as a target saw it.
type attempt struct {
	target        string
	conn          string // the connection, by its address at the initiator
	firstByteAt   time.Time
	statedTimeout time.Duration // of the Request-Timeout-Ms header
	executed      bool
}

// Outcome is how a request ended for its client.
type Outcome struct {
	Status           int           // 0: no complete response
	Text             string        // the response's body, or why there is none
	At               time.Time     // of the last byte, or of the connection's end
	Elapsed          time.Duration // from the request's last byte to At
	Unread           bool          // the connection ended without the initiator having read the request
	Killed           bool          // the initiator was killed without notice
	err              error         // why there is no complete response
	partial          bool          // part of a response came
	closesConnection bool          // the response says that the connection ends
}

// record is all that is known of one request.
type record struct {
	id             string
	nonIdempotent  bool
	sentAt         time.Time // of the last byte
	timeout        time.Duration
	disconnectedAt time.Time // zero: the client stayed
	outcomes       []Outcome
	attempts       []attempt
}

// Ledger keeps a record of every request from clients, targets and discovery, all on one clock.
type Ledger struct {
	delays    *DelayMonitor
	mu        sync.Mutex
	records   map[string]*record
	drains    map[string]time.Time // when the drain of a target was first told
	lateConns map[string]bool      // connections on which a stand-in repeated a response later than it should
}

// NewLedger returns an empty ledger. Its time limits are longer by the delays of this process that the monitor saw.
func NewLedger(delays *DelayMonitor) *Ledger {
	return &Ledger{delays: delays, records: map[string]*record{}, drains: map[string]time.Time{}, lateConns: map[string]bool{}}
}

// update changes the record of a request, which is made at first need.
func (l *Ledger) update(id string, change func(*record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil {
		r = &record{id: id}
		l.records[id] = r
	}
	change(r)
}

// addOutcome notes how a request ended.
func (l *Ledger) addOutcome(id string, o Outcome) {
	l.update(id, func(r *record) { r.outcomes = append(r.outcomes, o) })
}

// RecordDrain notes that an initiator was notified that a target drains or is gone. The first time counts.
func (l *Ledger) RecordDrain(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.drains[target]; !known {
		l.drains[target] = at
	}
}

// recordLateRepeat notes that a stand-in repeated a response on the connection later than it should, for a delay of its own.
func (l *Ledger) recordLateRepeat(conn string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateConns[conn] = true
}

// usedLateConn tells whether the request was on a connection where a stand-in repeated a response too late.
func (l *Ledger) usedLateConn(r *record) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return l.lateConns[a.conn] })
}
