package scheduler

import "time"

const (
	// retryBudgetChecks is how often within the budget's window a waiting retry is checked again.
	retryBudgetChecks = 64
	// retryBackoffDivisor divides the silence timeout: each attempt adds the quotient to the pause before the
	// next.
	retryBackoffDivisor = 8
	// retryBudgetMarginTicks is by how many ticks the window is shorter for arrivals and longer for
	// retries. Steps are up to a tick late: a request has arrived before its step, and a retry leaves after
	// its step. With the margin the budget also holds by the times at which they arrive and leave.
	retryBudgetMarginTicks = 2
)

// retryAdmitAt returns the time from which a retry may go to the target, or a time at which to ask again.
func (s *Scheduler) retryAdmitAt(r *request, t *target) time.Duration {
	if !r.isInDedupScope(t) || !s.mayRetry(r) {
		return never
	}
	return s.retryBudget.admitAt(s.now)
}

// retryBackoff is the pause after the request's last attempt.
func (s *Scheduler) retryBackoff(r *request, t *target) time.Duration {
	return s.silenceTimeout(t) * time.Duration(r.attempts) / retryBackoffDivisor
}

// retryBudget counts the arrivals and the retries of this initiator within the budget's window.
type retryBudget struct {
	RetryBudget
	tick     time.Duration
	arrivals []time.Duration // time of each request, oldest first
	retries  []time.Duration
}

func (b *retryBudget) margin() time.Duration { return retryBudgetMarginTicks * b.tick }

// recordArrival counts a request, also one that is rejected at once.
func (b *retryBudget) recordArrival(now time.Duration) {
	b.arrivals = append(trimBefore(b.arrivals, now-b.Window), now)
}

// recordRetry counts a retry, when it is sent.
func (b *retryBudget) recordRetry(now time.Duration) {
	b.retries = append(trimBefore(b.retries, now-b.Window-b.margin()), now)
}

// admitAt returns the time from which a retry is within the budget, or a time at which to ask again.
//
// Prevents: responses are slow or lost, and the retries of all initiators keep the targets overloaded. The
// budget bounds retries to a part of the requests that arrive, however many attempts fail.
func (b *retryBudget) admitAt(now time.Duration) time.Duration {
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

// trimBefore drops the times before from.
func trimBefore(times []time.Duration, from time.Duration) []time.Duration {
	first := 0
	for first < len(times) && times[first] < from {
		first++
	}
	return times[first:]
}
