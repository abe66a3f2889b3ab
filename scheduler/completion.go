package scheduler

import (
	"container/heap"
	"time"
)

// giveUp ends the request without a response from a target: it rejects the request if a client retry is
// safe, and otherwise fails it.
func (s *Scheduler) giveUp(r *request, reason EndReason) {
	if r.isClientRetrySafe() {
		s.emit(Action{Kind: Reject, RequestID: r.ID, RetryAfter: s.retryAfter(r), EndReason: reason})
	} else {
		s.emit(Action{Kind: Fail, RequestID: r.ID, EndReason: reason})
	}
	s.givenUp.add(r, s.now)
	s.endRequest(r)
}

// retryAfter is how long the client should wait before a client retry: until the deadline if the request
// is past its objective, otherwise until the request's start tag, when its volume is within its rate
// again.
func (s *Scheduler) retryAfter(r *request) time.Duration {
	if r.pastObjective {
		return max(0, r.deadline-s.now)
	}
	return max(0, r.startTag-s.now)
}

// endRequest records that the request needs no response any more, and removes it unless an attempt is in
// flight.
func (s *Scheduler) endRequest(r *request) {
	r.ended = true
	s.pendingGiveUps.remove(r)
	if r.inFlight == nil {
		r.dequeue()
		s.release(r)
	}
}

// release removes an ended request that has no attempt in flight.
func (s *Scheduler) release(r *request) {
	delete(s.requests, r.ID)
	r.volume.backlog--
	s.leaveSerialQueue(r)
}

// giveUpOverdue gives up the queued requests whose giveUpAt has passed.
func (s *Scheduler) giveUpOverdue() {
	for {
		r := s.pendingGiveUps.earliest()
		if r == nil || r.giveUpAt > s.now {
			return
		}
		if r.inFlight != nil {
			// The attempt times out by the deadline, and its end then ends or requeues the request.
			s.pendingGiveUps.remove(r)
			continue
		}
		s.giveUp(r, EndTimeout)
	}
}

// onShutdown shortens the deadlines of all requests, including those yet to arrive. An attempt in flight
// keeps its timeout: the caller cancels it at the shutdown deadline, and the scheduler ends the request
// when the attempt ends.
func (s *Scheduler) onShutdown(e Shutdown) {
	s.shutdownDeadline = s.now + e.GracePeriod
	for _, r := range s.requests {
		r.deadline = min(r.deadline, s.shutdownDeadline)
		r.giveUpAt = min(r.giveUpAt, r.deadline-s.timerMargin())
		// All objectives get the same upper bound, so queued stays sorted by objectiveEndsAt.
		r.objectiveEndsAt = min(r.objectiveEndsAt, r.deadline-s.timerMargin())
	}
	heap.Init(&s.pendingGiveUps)
}
