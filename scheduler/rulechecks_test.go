package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// Checks of the seven rules that doc.go lists. They rely on events and actions only, not on the state of the
// scheduler.

// tolerance, in units, allows for rounding errors.
const tolerance = 1e-6

func (s *simulation) violation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// dropEnded removes the requests that have ended and have no attempt in flight. It checks rule 1 for
// requests past their deadline.
func (s *simulation) dropEnded() {
	s.open = slices.DeleteFunc(s.open, func(r *observedRequest) bool {
		if !r.ended && s.now > r.deadline+8*ms {
			s.violation("rule 1: no response for %s", r.ID)
			return true
		}
		return r.ended && !r.isInFlight()
	})
}

func (s *simulation) checkAction(action Action) {
	switch action.Kind {
	case SetTimer:
		s.timers = append(s.timers, s.now+action.Delay)
		return
	case WatchEndpoints:
		return
	}
	r := s.requests[action.RequestID]
	if r == nil {
		s.violation("action for the unknown request %s", action.RequestID)
		return
	}
	if r.ended {
		s.violation("rule 1: action of kind %d for %s after its end", action.Kind, r.ID)
		return
	}
	if action.Kind == Send {
		s.checkSend(r, action)
		r.attempts = append(r.attempts,
			observedAttempt{Action: action, sentAt: s.now, status: statusInFlight})
		return
	}
	r.ended = true
	if action.Kind == Reject {
		s.checkRejection(r)
	}
}

// checkRejection checks rule 2 for a rejection, which allows the client to send the request again.
func (s *simulation) checkRejection(r *observedRequest) {
	if r.firstExecution() == nil {
		return
	}
	switch r.class.Idempotency {
	case IdempotencyKey:
		if r.class.DedupScope != DedupEverywhere {
			s.violation("rule 2: %s rejected although it may have been executed", r.ID)
		}
	case NonIdempotent:
		s.violation("rule 2: non-idempotent %s rejected although it may have been executed", r.ID)
	}
}

func (s *simulation) checkSend(r *observedRequest, send Action) {
	t, isKnown := s.targets[send.Target]
	if !isKnown {
		s.violation("sent to the unknown target %s", send.Target)
	}
	if s.notServing[send.Target] {
		s.violation("rule 3: sent to %s, which is draining or removed", send.Target)
	}
	s.checkRepeat(r, t)
	s.checkSlowStart(r, t)
	s.checkOrder(r)
	s.checkRetryBudget(r)
	s.checkRateLimit(r)
}

// checkRepeat checks rule 2 for a new attempt at the target.
func (s *simulation) checkRepeat(r *observedRequest, t Target) {
	if r.isInFlight() {
		s.violation("rule 2: two attempts of %s in flight", r.ID)
	}
	execution := r.firstExecution()
	if execution == nil || r.class.Idempotency == Idempotent {
		return
	}
	first := s.targets[execution.Target]
	switch {
	case r.class.Idempotency == NonIdempotent:
		s.violation("rule 2: non-idempotent %s sent again", r.ID)
	case s.now > execution.sentAt+r.class.DedupWindow:
		s.violation("rule 2: %s sent after its dedup window", r.ID)
	case r.class.DedupScope == DedupEverywhere:
	case r.class.DedupScope == DedupShard && first.Shard != t.Shard, first.Zone != t.Zone:
		s.violation("rule 2: %s sent outside its dedup scope", r.ID)
	}
}

// checkSlowStart checks rule 4. What the target has served within the window shows that it can serve as
// much again.
func (s *simulation) checkSlowStart(r *observedRequest, t Target) {
	slowStart := s.settings.SlowStart
	age := s.now - t.StartedAt
	if slowStart.Window <= 0 || t.StartedAt <= 0 || age >= slowStart.Duration {
		return
	}
	addUnits(s.slowStart, t.ID, s.now, r.Units)
	windowStart := s.now - slowStart.Window
	sent := sumAfter(s.slowStart[t.ID], windowStart, t.StartedAt)
	served := sumAfter(s.served[t.ID], windowStart, 0)
	capacity := slowStart.InitialCapacity +
		(1-slowStart.InitialCapacity)*age.Seconds()/slowStart.Duration.Seconds()
	equalShare := slowStart.Budget / float64(s.settings.Initiators) * capacity / slowStart.InitialCapacity
	if sent > equalShare+served+tolerance {
		s.violation("rule 4: %v units sent to %s in slow start, which can serve %v for this initiator",
			sent, t.ID, equalShare+served)
	}
}

// checkOrder checks rule 5.
func (s *simulation) checkOrder(r *observedRequest) {
	if !r.class.Serialized {
		return
	}
	for _, earlier := range s.serialized[r.Extent] {
		if earlier == r {
			break
		}
		if !earlier.ended || earlier.isInFlight() {
			s.violation("rule 5: %s sent before the end of %s for the same extent", r.ID, earlier.ID)
		}
	}
	for _, other := range s.serialized[r.Extent] {
		if other != r && other.mayStillRunSince > 0 && s.now < other.mayStillRunSince+s.settings.SettleTime {
			s.violation("rule 5: %s sent within the settle time of its extent", r.ID)
		}
	}
}

// checkRetryBudget checks rule 6.
func (s *simulation) checkRetryBudget(r *observedRequest) {
	budget := s.settings.RetryBudget
	if !budget.Enabled || len(r.attempts) == 0 {
		return
	}
	s.retries = append(s.retries, s.now)
	countWithinWindow := func(times []time.Duration) float64 {
		count := 0.0
		for _, at := range times {
			if at > s.now-budget.Window {
				count++
			}
		}
		return count
	}
	if countWithinWindow(s.retries) > budget.Minimum+budget.Ratio*countWithinWindow(s.arrivals) {
		s.violation("rule 6: retry of %s exceeds the budget", r.ID)
	}
}

// checkRateLimit checks rule 7 with a bucket that is full at time 0.
func (s *simulation) checkRateLimit(r *observedRequest) {
	isPlan := func(plan Plan) bool { return plan.Name == r.Plan }
	plan := s.settings.Plans[slices.IndexFunc(s.settings.Plans, isPlan)]
	if plan.Limit <= 0 || len(r.attempts) > 0 {
		return
	}
	addUnits(s.charged, r.Volume, s.now, r.Units)
	initiators := float64(r.Initiators)
	capacity := plan.BurstCapacity / initiators
	tokens := capacity
	var refilledAt time.Duration
	for _, charge := range s.charged[r.Volume] {
		earned := (charge.at - refilledAt).Seconds() * plan.Limit / initiators
		tokens = min(capacity, tokens+earned) - charge.units
		refilledAt = charge.at
	}
	if tokens < -tolerance {
		s.violation("rule 7: volume %s exceeds its share of the limit by %v units", r.Volume, -tokens)
	}
}
