package scheduler

// Slow start: what a node that has just started may get.

import "time"

// coldGate keeps what this initiator sends to a cold node within its part of what such a node bears, growing
// along the slowest ramp; what the node answered within the span it has shown to bear. Where the part is
// under one mean request, few of the initiators have work for it at a time: one request a span may go.
func (s *Scheduler) slowStartAdmitAt(n *target, units float64) time.Duration {
	ru := s.settings.Rules
	age := s.now - n.Started
	var sum, shown float64
	// Also while warm: a start is told late.
	n.recentlySent, sum = sumSince(n.recentlySent, s.now-ru.SlowStartWindow-s.settings.Tick)
	n.recentlyServed, shown = sumSince(n.recentlyServed, s.now-ru.SlowStartWindow+s.settings.Tick)
	if n.Started <= 0 || age >= ru.SlowStartDuration || ru.SlowStartWindow <= 0 {
		return 0
	}
	growth := 1/max(ru.SlowStartInitialCapacity, 0.01) - 1
	grown := 1 + growth*max(0, age.Seconds())/ru.SlowStartDuration.Seconds()
	part := s.settings.SlowStartBudget / float64(s.settings.Initiators) * grown
	if s.sharedSlowStart {
		part = ru.SlowStartOverloadFactor / 2 * shown
	} else {
		part = max(part, part*(1-1/max(ru.SlowStartOverloadFactor, 1))+shown)
	}
	if s.sharedSlowStart && sum == 0 || sum+units <= part {
		return 0
	}
	return s.now + ru.SlowStartWindow/16
}
