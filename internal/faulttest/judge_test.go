package faulttest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Counts returns how many requests were sent whole, and how many of them were served.
func (l *Ledger) Counts() (requests, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.records {
		if r.sentAt.IsZero() {
			continue
		}
		requests++
		for _, o := range r.outcomes {
			if o.Status == http.StatusOK {
				served++
			}
		}
	}
	return requests, served
}

// Violations judges all records, in the order in which the requests were sent.
func (l *Ledger) Violations() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := make([]*record, 0, len(l.records))
	for _, r := range l.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *record) int { return a.sentAt.Compare(b.sentAt) })
	rules := []func(*record) []Violation{l.judgeResponse, l.judgeDisconnect, l.judgeStatedTimeout, l.judgeExecutions, l.judgeDrain}
	var found []Violation
	for _, r := range records {
		for _, rule := range rules {
			found = append(found, rule(r)...)
		}
	}
	return found
}

// judgeResponse wants one final response, in time, that a target made for this very request.
func (l *Ledger) judgeResponse(r *record) []Violation {
	if r.sentAt.IsZero() || !r.disconnectedAt.IsZero() {
		return nil
	}
	lost := func(format string, args ...any) []Violation {
		return []Violation{{Lost, r.id, fmt.Sprintf(format, args...)}}
	}
	if len(r.outcomes) == 0 {
		return lost("no end at all")
	}
	last := r.outcomes[len(r.outcomes)-1]
	switch {
	case last.Killed || last.Unread:
		return nil
	case last.Status == 0:
		return lost("no complete response %v after its last byte: %s", last.Elapsed, last.Text)
	case last.Status == http.StatusOK && !strings.HasPrefix(last.Text, responseFor(r.id)) && !l.usedLateConn(r):
		return lost("the response is not its own: %.60q", last.Text)
	case last.Elapsed > r.timeout+answerSlack+l.delays.Max(r.sentAt, last.At):
		return lost("response after %v, where the client waits %v", last.Elapsed, r.timeout)
	}
	return nil
}

// judgeDisconnect wants no attempt to begin once the client has been disconnected for a while.
func (l *Ledger) judgeDisconnect(r *record) (found []Violation) {
	if r.disconnectedAt.IsZero() {
		return nil
	}
	for _, a := range r.attempts {
		late := a.firstByteAt.Sub(r.disconnectedAt)
		if late > disconnectSlack+l.delays.Max(r.disconnectedAt, a.firstByteAt) {
			text := fmt.Sprintf("an attempt reached %s %v after the client had disconnected", a.target, late)
			found = append(found, Violation{Lost, r.id, text})
		}
	}
	return found
}

// judgeStatedTimeout wants no attempt to promise its target more time than the client has left.
func (l *Ledger) judgeStatedTimeout(r *record) (found []Violation) {
	if r.sentAt.IsZero() {
		return nil
	}
	for _, a := range r.attempts {
		left := r.sentAt.Add(r.timeout).Sub(a.firstByteAt)
		if a.statedTimeout > left+statedTimeoutSlack+l.delays.Max(r.sentAt, a.firstByteAt) {
			text := fmt.Sprintf("%s was told a timeout of %v, the client has %v left", a.target, a.statedTimeout, left)
			found = append(found, Violation{StatedTimeout, r.id, text})
		}
	}
	return found
}

// judgeExecutions wants no second execution where the class is not idempotent.
func (l *Ledger) judgeExecutions(r *record) []Violation {
	executions := 0
	for _, a := range r.attempts {
		if a.executed {
			executions++
		}
	}
	if r.nonIdempotent && executions > 1 {
		return []Violation{{Duplicate, r.id, fmt.Sprintf("executed %d times", executions)}}
	}
	return nil
}

// judgeDrain wants nothing new at a target of whose drain the initiator was notified.
func (l *Ledger) judgeDrain(r *record) (found []Violation) {
	for _, a := range r.attempts {
		notifiedAt, draining := l.drains[a.target]
		if !draining {
			continue
		}
		if late := a.firstByteAt.Sub(notifiedAt); late > drainGrace+l.delays.Max(notifiedAt, a.firstByteAt) {
			text := fmt.Sprintf("sent to %s %v after the notice of its drain", a.target, late)
			found = append(found, Violation{Drain, r.id, text})
		}
	}
	return found
}

// responseFor is what the response to a request begins with. No other request's response does.
func responseFor(id string) string { return "answer to " + id + ";" }
