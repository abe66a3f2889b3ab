// Package faulttest runs real initiator processes on loopback against stand-ins for clients, targets and discovery,
// injects faults into all of them, and judges what became of every request. It is for tests only.
package faulttest

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"
)

// The time limits of the protocol that a Ledger judges by.
const (
	// answerSlack is how late a final answer may come before its request is lost.
	answerSlack = 500 * time.Millisecond
	// departureSlack is how long after its client has left an attempt may still begin.
	departureSlack = 100 * time.Millisecond
	// tellSlack is by how much an attempt may overstate the time that its client has left.
	tellSlack = 150 * time.Millisecond
	// drainSlack is how long after it was told of a drain an initiator may still send; every limit is 50 ms longer on sockets.
	drainSlack = 1050 * time.Millisecond
)

// Rule names a rule of the protocol that an initiator can break.
type Rule string

// The rules that a Ledger judges.
const (
	Lost      Rule = "lost"
	Duplicate Rule = "duplicate"
	Drain     Rule = "drain"
	TimeTold  Rule = "time told"
)

// Breach is one broken rule and the figures that show it.
type Breach struct {
	Rule    Rule
	Request string
	Text    string
}

func (b Breach) String() string { return fmt.Sprintf("%s: request %s: %s", b.Rule, b.Request, b.Text) }

// attempt is a request as a target saw it.
type attempt struct {
	target string
	conn   string        // the connection, by its address at the initiator
	first  time.Time     // its first byte was here
	told   time.Duration // the time it says that the initiator will wait
	ran    bool
}

// Outcome is how a request ended for its client.
type Outcome struct {
	Status int           // 0: no whole answer
	Text   string        // the answer's body, or why there is none
	At     time.Time     // when the last byte came, or the connection ended
	After  time.Duration // from the request's last byte to At
	Unread bool          // the connection ended without the initiator having read the request
	Killed bool          // the initiator was killed without notice
	err    error         // why there is no whole answer
	begun  bool          // part of one came
	closes bool          // it says that the connection ends
}

// record is all that is known of one request.
type record struct {
	id       string
	unsafe   bool // no repeat is allowed once an attempt may have run
	taken    time.Time
	patience time.Duration
	left     time.Time // its client closed the connection; zero: it stayed
	outcomes []Outcome
	attempts []attempt
}

// Ledger keeps a record of every request from clients, targets and discovery, all on one clock.
type Ledger struct {
	delays  *DelayMonitor
	mu      sync.Mutex
	records map[string]*record
	drains  map[string]time.Time // target to the moment its drain was told
	late    map[string]bool      // connections on which a stand-in sent a second answer later than it should
}

// NewLedger returns an empty ledger, which allows for what the monitor sees of delays of this process.
func NewLedger(delays *DelayMonitor) *Ledger {
	return &Ledger{delays: delays, records: map[string]*record{}, drains: map[string]time.Time{}, late: map[string]bool{}}
}

// edit changes the record of a request.
func (l *Ledger) edit(id string, change func(*record)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[id]
	if r == nil {
		r = &record{id: id}
		l.records[id] = r
	}
	change(r)
}

// Drained notes that an initiator was told that a target drains or is gone. The first time counts.
func (l *Ledger) Drained(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.drains[target]; !known {
		l.drains[target] = at
	}
}

// repeatedLate notes that a stand-in's second answer on a connection came later than it should, for a delay of its own.
func (l *Ledger) repeatedLate(conn string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late[conn] = true
}

// onLateConn tells whether the request was on a connection where a stand-in was late with a second answer.
func (l *Ledger) onLateConn(r *record) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return l.late[a.conn] })
}

// Counts tells how many requests there were, and how many of them were served.
func (l *Ledger) Counts() (requests, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.taken.IsZero() {
			continue
		}
		requests++
		for _, o := range r.outcomes {
			if o.Status == 200 {
				served++
			}
		}
	}
	return requests, served
}

// Breaches judges all records, in the order in which the requests were taken.
func (l *Ledger) Breaches() []Breach {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]*record, 0, len(l.records))
	for _, r := range l.records {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].taken.Before(records[j].taken) })
	var found []Breach
	for _, r := range records {
		for _, judge := range []func(*record) []Breach{l.judgeAnswer, l.judgeDeparture, l.judgeTimeTold, l.judgeRepeats, l.judgeDrain} {
			found = append(found, judge(r)...)
		}
	}
	return found
}

// judgeAnswer wants one final answer, in time, that a target made for this very request.
func (l *Ledger) judgeAnswer(r *record) []Breach {
	if r.taken.IsZero() || !r.left.IsZero() {
		return nil
	}
	lost := func(format string, args ...any) []Breach {
		return []Breach{{Lost, r.id, fmt.Sprintf(format, args...)}}
	}
	if len(r.outcomes) == 0 {
		return lost("no end at all")
	}
	last := r.outcomes[len(r.outcomes)-1]
	switch {
	case last.Killed || last.Unread:
		return nil
	case last.Status == 0:
		return lost("no whole answer %v after its last byte: %s", last.After, last.Text)
	case last.Status == 200 && !strings.HasPrefix(last.Text, answerFor(r.id)) && !l.onLateConn(r):
		return lost("the answer is not its own: %.60q", last.Text)
	case last.After > r.patience+answerSlack+l.delays.Most(r.taken, last.At):
		return lost("answered after %v, where the client waits %v", last.After, r.patience)
	}
	return nil
}

// judgeDeparture wants no attempt to begin once the client has been gone for a while.
func (l *Ledger) judgeDeparture(r *record) (found []Breach) {
	if r.left.IsZero() {
		return nil
	}
	for _, a := range r.attempts {
		if late := a.first.Sub(r.left); late > departureSlack+l.delays.Most(r.left, a.first) {
			found = append(found, Breach{Lost, r.id, fmt.Sprintf("an attempt reached %s %v after the client had left", a.target, late)})
		}
	}
	return found
}

// judgeTimeTold wants no attempt to promise its target more time than the client has left.
func (l *Ledger) judgeTimeTold(r *record) (found []Breach) {
	if r.taken.IsZero() {
		return nil
	}
	for _, a := range r.attempts {
		left := r.taken.Add(r.patience).Sub(a.first)
		if a.told > left+tellSlack+l.delays.Most(r.taken, a.first) {
			found = append(found, Breach{TimeTold, r.id, fmt.Sprintf("%s was told %v, the client has %v left", a.target, a.told, left)})
		}
	}
	return found
}

// judgeRepeats wants no second run where the class forbids it.
func (l *Ledger) judgeRepeats(r *record) []Breach {
	ran := 0
	for _, a := range r.attempts {
		if a.ran {
			ran++
		}
	}
	if r.unsafe && ran > 1 {
		return []Breach{{Duplicate, r.id, fmt.Sprintf("ran %d times", ran)}}
	}
	return nil
}

// judgeDrain wants nothing new at a target that was told to drain.
func (l *Ledger) judgeDrain(r *record) (found []Breach) {
	for _, a := range r.attempts {
		told, draining := l.drains[a.target]
		if late := a.first.Sub(told); draining && late > drainSlack+l.delays.Most(told, a.first) {
			found = append(found, Breach{Drain, r.id, fmt.Sprintf("sent to %s %v after its drain was told", a.target, late)})
		}
	}
	return found
}

// answerFor is what the answer to a request begins with: no other request's answer does.
func answerFor(id string) string { return "answer to " + id + ";" }
