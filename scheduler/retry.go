package scheduler

import "time"

const (
	// retryBudgetChecks is how often a waiting retry is checked again within the budget's window.
	retryBudgetChecks = 64
	// retryBackoffDivisor divides the silence timeout; each attempt adds the quotient to the backoff
	// before the next.
	retryBackoffDivisor = 8
	// retryBudgetMarginTicks is the number of ticks by which the window is shorter for arrivals and
	// longer for retries. Steps are up to one tick late: a request arrives before its step, and a retry
	// is sent after its step. The margin ensures that the budget also holds for the actual times of
	// arrival and sending.
	retryBudgetMarginTicks = 2
)

// retryAdmissionTime returns the time from which the retry may go to the target, or a time at which to
// check again.
func (s *Scheduler) retryAdmissionTime(r *request, t *target) time.Duration {
	if !r.isInDedupScope(t) || !s.mayRetry(r) {
		return never
	}
	return s.retryBudget.admissionTime(s.now)
}

// retryBackoff is the pause after the request's last attempt.
func (s *Scheduler) retryBackoff(r *request, t *target) time.Duration {
	return s.silenceTimeout(t) * time.Duration(r.attempts) / retryBackoffDivisor
}

// retryBudget counts this initiator's arrivals and retries within the budget's window.
type retryBudget struct {
	RetryBudget
	tick     time.Duration
	arrivals []time.Duration // time of each request, oldest first
	retries  []time.Duration
}

func (b *retryBudget) margin() time.Duration { return retryBudgetMarginTicks * b.tick }

// recordArrival counts a request, including one that is rejected at once.
func (b *retryBudget) recordArrival(now time.Duration) {
	b.arrivals = append(trimBefore(b.arrivals, now-b.Window), now)
}

// recordRetry counts a retry when it is sent.
func (b *retryBudget) recordRetry(now time.Duration) {
	b.retries = append(trimBefore(b.retries, now-b.Window-b.margin()), now)
}

// admissionTime returns the time from which a retry is within the budget, or a time at which to check
// again.
//
// The budget limits retries to a fraction of the requests that arrive, however many attempts fail.
// Without it, the retries of all initiators would keep targets overloaded when responses are slow or
// lost.
func (b *retryBudget) admissionTime(now time.Duration) time.Duration {
	if !b.Enabled {
		return 0
	}
	b.arrivals = trimBefore(b.arrivals, now-b.Window+b.margin())
	b.retries = trimBefore(b.retries, now-b.Window-b.margin())
	if float64(len(b.retries)+1) <= b.Minimum+b.Ratio*float64(len(b.arrivals)) {
		return 0
	}
	return now + b.Window/retryBudgetChecks
}

// trimBefore removes the times before from, and returns the others.
func trimBefore(times []time.Duration, from time.Duration) []time.Duration {
	first := 0
	for first < len(times) && times[first] < from {
		first++
	}
	return times[first:]
}
