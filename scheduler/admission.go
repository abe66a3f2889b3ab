package scheduler

import "time"

// admissionTime applies the rules on when an attempt may start; doc.go lists all rules. Every attempt
// must pass it. It returns the time from which the request may go to the queue's target, or a time at
// which to check again. The request may go now if the time is not after now.
func (s *Scheduler) admissionTime(r *request, q *shardQueue) time.Duration {
	t := q.target
	at := max(
		r.notBefore,
		t.ejectedUntil,
		s.serialAdmissionTime(r),
		s.slowStart.admissionTime(s.now, t, r.Units),
		s.rateLimitAdmissionTime(r),
	)
	if r.attempts > 0 {
		at = max(at, s.retryAdmissionTime(r, t))
	}
	return at
}
