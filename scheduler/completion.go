package scheduler

import (
	"container/heap"
	"time"
)

// giveUp ends the request without a response of a target: with a rejection where a client retry is harmless,
// otherwise with a failure.
func (s *Scheduler) giveUp(r *request) {
	if r.isRepeatHarmless() {
		s.emit(Action{Kind: Reject, RequestID: r.ID, RetryAfter: s.retryAfter(r)})
	} else {
		s.emit(Action{Kind: Fail, RequestID: r.ID})
	}
	s.givenUp.add(r, s.now)
	s.endRequest(r)
}

// retryAfter is how long to wait until a client retry can be served: until the deadline of a request that is
// past its objective, otherwise until its volume is within its rate again.
func (s *Scheduler) retryAfter(r *request) time.Duration {
	if r.pastObjective {
		return max(0, r.deadline-s.now)
	}
	return max(0, r.startTag-s.now)
}

// endRequest notes that the request needs no response any more, and drops it unless an attempt is in flight.
func (s *Scheduler) endRequest(r *request) {
	r.answered = true
	s.giveUps.remove(r)
	if r.inFlight == nil {
		r.dequeue()
		s.release(r)
	}
}

// release drops an ended request that has no attempt in flight.
func (s *Scheduler) release(r *request) {
	delete(s.requests, r.ID)
	r.volume.backlog--
	s.leaveSerialQueue(r)
}

// giveUpOverdue gives up the queued requests whose giveUpAt has passed.
func (s *Scheduler) giveUpOverdue() {
	for {
		r := s.giveUps.earliest()
		if r == nil || r.giveUpAt > s.now {
			return
		}
		if r.inFlight != nil {
			// Its attempt times out by its deadline, and the end of the attempt ends or requeues it.
			s.giveUps.remove(r)
			continue
		}
		s.giveUp(r)
	}
}

// onShutdown shortens the deadlines of all requests, also of those yet to arrive. An attempt in flight keeps
// its timeout: the caller cancels it at the shutdown's deadline, and its end brings the response.
func (s *Scheduler) onShutdown(e Shutdown) {
	s.shutdownDeadline = s.now + e.GracePeriod
	for _, r := range s.requests {
		r.deadline = min(r.deadline, s.shutdownDeadline)
		r.giveUpAt = min(r.giveUpAt, r.deadline-s.timerMargin())
		// Clamping all to one bound keeps queued sorted by objectiveAt.
		r.objectiveAt = min(r.objectiveAt, r.deadline-s.timerMargin())
	}
	heap.Init(&s.giveUps)
}
