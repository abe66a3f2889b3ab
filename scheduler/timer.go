package scheduler

import "time"

// timersPerObjective is how many timers fit in the shortest objective, so that a stall of the process
// shows.
const timersPerObjective = 8

// wakeTimer is the timer requested from the caller.
type wakeTimer struct {
	setFor     time.Duration // never: no timer is set
	nextWorkAt time.Duration // when something is due, if no event but a Timer arrives before
}

// measureStall notes how late the timer is: this process stood still for that long, and the events of this
// step have waited here rather than at a target.
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

// setTimer requests a Timer event when something is due, and several times within the shortest objective in
// any case, so that a stall shows.
func (s *Scheduler) setTimer() {
	s.timer.nextWorkAt = s.nextWorkAt()
	next := min(s.timer.nextWorkAt, s.now+s.shortestObjective/timersPerObjective)
	if next < s.timer.setFor {
		s.timer.setFor = next
		s.emit(Action{Kind: SetTimer, Delay: max(next-s.now, s.settings.Tick)})
	}
}

// nextWorkAt returns when the next poll, the next request to give up or the next dispatch is due.
func (s *Scheduler) nextWorkAt() time.Duration {
	next := s.poller.nextPoll
	if r := s.giveUps.earliest(); r != nil {
		next = min(next, r.giveUpAt)
	}
	for _, q := range s.shardQueues {
		if len(q.queued) > 0 {
			next = min(next, q.wakeAt)
		}
	}
	return next
}
