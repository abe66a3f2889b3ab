package scheduler

// Slow start: what a node that has just started may get.

import "time"

// coldGate keeps what this initiator sends to a cold node within its part of what such a node bears, growing
// along the slowest ramp; what the node answered within the span it has shown to bear. Where the part is
// under one mean request, few of the initiators have work for it at a time: one request a span may go.
func (s *Scheduler) slowStartAdmitAt(n *target, units float64) time.Duration {
	ru := s.settings.SlowStart
	age := s.now - n.Started
	var sum, shown float64
	// Also while warm: a start is told late.
	n.recentlySent, sum = sumSince(n.recentlySent, s.now-ru.Window-s.settings.Tick)
	n.recentlyServed, shown = sumSince(n.recentlyServed, s.now-ru.Window+s.settings.Tick)
	if n.Started <= 0 || age >= ru.Duration || ru.Window <= 0 {
		return 0
	}
	growth := 1/max(ru.InitialCapacity, 0.01) - 1
	grown := 1 + growth*max(0, age.Seconds())/ru.Duration.Seconds()
	part := s.settings.SlowStart.Budget / float64(s.settings.Initiators) * grown
	if s.sharedSlowStart {
		part = ru.OverloadFactor / 2 * shown
	} else {
		part = max(part, part*(1-1/max(ru.OverloadFactor, 1))+shown)
	}
	if s.sharedSlowStart && sum == 0 || sum+units <= part {
		return 0
	}
	return s.now + ru.Window/16
}
