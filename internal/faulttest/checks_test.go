package faulttest

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Counts returns the number of requests that were sent completely, and how many of them were served.
func (h *History) Counts() (requests, served int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.records {
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

// Violations checks all requests and returns the violations in the order in which the requests were sent.
func (h *History) Violations() []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	records := make([]*requestRecord, 0, len(h.records))
	for _, r := range h.records {
		records = append(records, r)
	}
	slices.SortFunc(records, func(a, b *requestRecord) int { return a.sentAt.Compare(b.sentAt) })
	checks := []func(*requestRecord) []Violation{h.checkResponse, h.checkAfterDisconnect, h.checkAttemptTimeouts,
		h.checkExecutions, h.checkDrain}
	var violations []Violation
	for _, r := range records {
		for _, check := range checks {
			violations = append(violations, check(r)...)
		}
	}
	return violations
}

// checkResponse checks that the client got a final response in time, and that a response with status 200 is the one that a
// target made for this request. It skips requests that were not sent completely, whose client disconnected, whose
// initiator was killed without SIGTERM, or whose connection ended before the initiator read them.
func (h *History) checkResponse(r *requestRecord) []Violation {
	if r.sentAt.IsZero() || !r.disconnectedAt.IsZero() {
		return nil
	}
	violation := func(format string, args ...any) []Violation {
		return []Violation{{Lost, r.id, fmt.Sprintf(format, args...)}}
	}
	if len(r.outcomes) == 0 {
		return violation("no outcome was recorded")
	}
	last := r.outcomes[len(r.outcomes)-1]
	switch {
	case last.Killed || last.Unread:
		return nil
	case last.Status == 0:
		return violation("no complete response %v after the request's last byte: %s", last.Elapsed, last.Text)
	case last.Status == http.StatusOK && !strings.HasPrefix(last.Text, responsePrefix(r.id)) && !h.usedLateRepeatConn(r):
		return violation("the response was not made for this request: %.60q", last.Text)
	case last.Elapsed > r.timeout+responseSlack+h.delays.Longest(r.sentAt, last.EndedAt):
		return violation("response after %v, but the client's timeout is %v", last.Elapsed, r.timeout)
	}
	return nil
}

// checkAfterDisconnect checks that no attempt began more than disconnectSlack after the client disconnected.
func (h *History) checkAfterDisconnect(r *requestRecord) (violations []Violation) {
	if r.disconnectedAt.IsZero() {
		return nil
	}
	for _, a := range r.attempts {
		delay := a.lastByteAt.Sub(r.disconnectedAt)
		if delay > disconnectSlack+h.delays.Longest(r.disconnectedAt, a.lastByteAt) {
			text := fmt.Sprintf("an attempt reached %s %v after the client disconnected", a.target, delay)
			violations = append(violations, Violation{Lost, r.id, text})
		}
	}
	return violations
}

// checkAttemptTimeouts checks that no attempt announced a timeout to its target that exceeded the remaining time of the
// client by more than attemptTimeoutSlack.
func (h *History) checkAttemptTimeouts(r *requestRecord) (violations []Violation) {
	if r.sentAt.IsZero() {
		return nil
	}
	for _, a := range r.attempts {
		remaining := r.sentAt.Add(r.timeout).Sub(a.firstByteAt)
		if a.announcedTimeout > remaining+attemptTimeoutSlack+h.delays.Longest(r.sentAt, a.firstByteAt) {
			text := fmt.Sprintf("an attempt at %s had a timeout of %v, but the client's remaining time was %v",
				a.target, a.announcedTimeout, remaining)
			violations = append(violations, Violation{AttemptTimeout, r.id, text})
		}
	}
	return violations
}

// checkExecutions checks that a request of a class that is not idempotent was executed at most once.
func (h *History) checkExecutions(r *requestRecord) []Violation {
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

// checkDrain checks that no target received a request more than drainGrace after an initiator was notified of its drain.
func (h *History) checkDrain(r *requestRecord) (violations []Violation) {
	for _, a := range r.attempts {
		notifiedAt, draining := h.drainNotifiedAt[a.target]
		if !draining {
			continue
		}
		if delay := a.firstByteAt.Sub(notifiedAt); delay > drainGrace+h.delays.Longest(notifiedAt, a.firstByteAt) {
			text := fmt.Sprintf("an attempt reached %s %v after the notification of its drain", a.target, delay)
			violations = append(violations, Violation{Drain, r.id, text})
		}
	}
	return violations
}

// responsePrefix returns the text that the response to a request begins with, which is different for each request.
func responsePrefix(id string) string { return "answer to " + id + ";" }
