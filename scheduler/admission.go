package scheduler

import "time"

// admitAt asks the rules on when an attempt may start; see doc.go for the others. Every attempt passes it. It
// returns the time from which the request may go to the queue's target, or a time at which to ask again. A
// time that is not after now admits it.
func (s *Scheduler) admitAt(r *request, q *shardQueue) time.Duration {
	t := q.target
	at := max(
		r.notBefore,
		t.ejectedUntil,
		s.orderAdmitAt(r),
		s.slowStart.admitAt(s.now, t, r.Units),
		s.rateLimitAdmitAt(r),
	)
	if r.attempts > 0 {
		at = max(at, s.retryAdmitAt(r, t))
	}
	return at
}
