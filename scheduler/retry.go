package scheduler

import "time"

const (
	// retryBudgetChecks is how often within the budget's window a waiting retry is checked again.
	retryBudgetChecks = 64
	// retryBackoffDivisor is the part of the silence timeout that each attempt adds to the pause before the
	// next.
	retryBackoffDivisor = 8
	// retryBudgetMarginTicks is by how many ticks the window is shorter for first attempts and longer for
	// retries, so that rounding cannot exceed the budget.
	retryBudgetMarginTicks = 2
)

// mayRetry reports whether another attempt of the request could be allowed, now or later.
func (s *Scheduler) mayRetry(r *request) bool {
	if s.settings.MaxAttempts > 0 && r.attempts >= s.settings.MaxAttempts {
		return false
	}
	if !r.mayHaveExecuted {
		return true
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return s.now < r.dedupEndsAt()
	}
	return false
}

// isDeduplicated reports whether the target would drop a repeat of the request, if it was executed already.
func (r *request) isDeduplicated(t *target) bool {
	if !r.mayHaveExecuted || r.class.Idempotency != IdempotencyKey {
		return true
	}
	switch r.class.DedupScope {
	case DedupEverywhere:
		return true
	case DedupZone:
		return t.Zone == r.firstExecution.zone
	}
	return t.Zone == r.firstExecution.zone && t.Shard == r.firstExecution.shard
}

// retryAdmitAt returns the time from which a retry may go to the target, or a time at which to ask again.
func (s *Scheduler) retryAdmitAt(r *request, t *target) time.Duration {
	at := s.retryBudget.admitAt(s.now)
	if !r.isDeduplicated(t) || !s.mayRetry(r) {
		return never
	}
	return at
}

// retryBackoff is the pause after the request's last attempt.
func (s *Scheduler) retryBackoff(r *request, t *target) time.Duration {
	return s.silenceTimeout(t) * time.Duration(r.attempts) / retryBackoffDivisor
}

// retryBudget counts the first attempts and the retries of this initiator within the budget's window.
type retryBudget struct {
	RetryBudget
	tick          time.Duration
	firstAttempts []time.Duration // time of each, oldest first
	retries       []time.Duration
}

func (b *retryBudget) margin() time.Duration { return retryBudgetMarginTicks * b.tick }

// recordFirstAttempt counts a request, at its arrival.
func (b *retryBudget) recordFirstAttempt(now time.Duration) {
	b.firstAttempts = append(trimBefore(b.firstAttempts, now-b.Window), now)
}

// recordRetry counts a retry, when it is sent.
func (b *retryBudget) recordRetry(now time.Duration) {
	b.retries = append(trimBefore(b.retries, now-b.Window-b.margin()), now)
}

// admitAt returns the time from which a retry is within the budget, or a time at which to ask again.
//
// Failure: responses are slow or lost, and the retries of all initiators keep the targets overloaded.
func (b *retryBudget) admitAt(now time.Duration) time.Duration {
	if !b.Enabled {
		return 0
	}
	b.firstAttempts = trimBefore(b.firstAttempts, now-b.Window+b.margin())
	b.retries = trimBefore(b.retries, now-b.Window-b.margin())
	if float64(len(b.retries)+1) <= b.Minimum+b.Ratio*float64(len(b.firstAttempts)) {
		return 0
	}
	return now + b.Window/retryBudgetChecks
}

// trimBefore drops the times before from.
func trimBefore(times []time.Duration, from time.Duration) []time.Duration {
	first := 0
	for first < len(times) && times[first] < from {
		first++
	}
	return times[first:]
}
