package scheduler

// Retries: whether a request may have a further attempt, and when the budget allows one.

import "time"

// mayRepeat tells whether a further attempt of the request could ever be allowed.
func (s *Scheduler) mayRetry(r *request) bool {
	if s.settings.MaxAttempts > 0 && r.attempts >= s.settings.MaxAttempts {
		return false
	}
	return !r.mayHaveExecuted || r.class.Idempotency == Idempotent ||
		r.class.Idempotency == IdempotencyKey && s.now < r.executedSince+r.class.DedupWindow
}

// budgetGate keeps further attempts within the ration, counted against us at both edges.
func (s *Scheduler) retryBudgetAdmitAt() time.Duration {
	ru := s.settings.RetryBudget
	if !ru.Enabled {
		return 0
	}
	s.firstAttempts = trimBefore(s.firstAttempts, s.now-ru.Window+2*s.settings.Tick)
	s.retries = trimBefore(s.retries, s.now-ru.Window-2*s.settings.Tick)
	if float64(len(s.retries)+1) <= ru.Minimum+ru.Ratio*float64(len(s.firstAttempts)) {
		return 0
	}
	return s.now + ru.Window/64
}
