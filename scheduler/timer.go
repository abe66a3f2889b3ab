package scheduler

import "time"

// timersPerObjective is the minimum number of timers per shortest objective. Without frequent timers, a
// stall of the process would go unnoticed.
const timersPerObjective = 8

// wakeTimer is the state of the timer that the caller was asked to set.
type wakeTimer struct {
	setFor     time.Duration // when it is due; never: no timer is set
	nextWorkAt time.Duration // when the next work is due, unless an event other than a Timer arrives earlier
}

// measureStall measures by how much this step is later than the timer. If it is much later, the process
// was stalled for that time, and the events of this step have waited in the process rather than at a
// target.
func (s *Scheduler) measureStall() {
	s.stall = 0
	late := s.now - s.timer.setFor
	if late < 0 {
		return
	}
	s.timer.setFor = never
	if late > s.shortestObjective/timersPerObjective {
		s.stall = late
	}
}

// setTimer requests a Timer event for the next work, or earlier so that there are several timers per
// shortest objective and a stall is noticed.
func (s *Scheduler) setTimer() {
	s.timer.nextWorkAt = s.nextWorkAt()
	next := min(s.timer.nextWorkAt, s.now+s.shortestObjective/timersPerObjective)
	if next < s.timer.setFor {
		s.timer.setFor = next
		s.emit(Action{Kind: SetTimer, Delay: max(next-s.now, s.settings.Tick)})
	}
}

// nextWorkAt returns when the next request for the endpoint list, the next request to give up or the next
// dispatch is due.
func (s *Scheduler) nextWorkAt() time.Duration {
	next := s.watcher.nextRequestAt
	if r := s.pendingGiveUps.earliest(); r != nil {
		next = min(next, r.giveUpAt)
	}
	for _, q := range s.shardQueues {
		if len(q.queued) > 0 {
			next = min(next, q.wakeAt)
		}
	}
	return next
}
