package scheduler

import (
	"container/heap"
	"time"
)

// giveUp ends the request from here: with a rejection where a retry by the client is harmless, otherwise
// with a failure.
func (s *Scheduler) giveUp(r *request) {
	if r.isRepeatHarmless() {
		s.emit(Action{Kind: Reject, RequestID: r.ID, RetryAfter: s.retryAfter(r)})
	} else {
		s.emit(Action{Kind: Fail, RequestID: r.ID})
	}
	s.rejected.add(r, s.now)
	s.finish(r)
}

// retryAfter is when a retry by the client can make sense: after its deadline if it would be past its
// objective, otherwise when its volume is within its rate again.
func (s *Scheduler) retryAfter(r *request) time.Duration {
	if r.pastObjective {
		return r.deadline - s.now
	}
	return max(0, r.startTag-s.now)
}

// finish notes that the request needs no response any more.
func (s *Scheduler) finish(r *request) {
	r.answered = true
	s.deadlines.remove(r)
	if r.inFlight == nil {
		r.dequeue()
		s.release(r)
	}
}

// release drops a finished request that has no attempt in flight.
func (s *Scheduler) release(r *request) {
	delete(s.requests, r.ID)
	r.volume.backlog--
	s.leaveSerialQueue(r)
}

// giveUpOverdue gives up the queued requests whose time to do so has come.
func (s *Scheduler) giveUpOverdue() {
	for {
		r := s.deadlines.earliest()
		if r == nil || r.answerBy > s.now {
			return
		}
		if r.inFlight != nil {
			// Its attempt times out by its deadline; the end of the attempt ends the request or requeues
			// it.
			s.deadlines.remove(r)
			continue
		}
		s.giveUp(r)
	}
}

// onShutdown moves the deadline of all requests, also of those yet to come. An attempt in flight keeps its
// timeout: the caller cancels it in time, and its end brings the response.
func (s *Scheduler) onShutdown(e Shutdown) {
	s.shutdownDeadline = s.now + e.Within
	for _, r := range s.requests {
		r.deadline = min(r.deadline, s.shutdownDeadline)
		r.answerBy = min(r.answerBy, r.deadline-s.answerMargin())
		// One bound for all keeps the order of the queues.
		r.objectiveAt = min(r.objectiveAt, r.deadline-s.answerMargin())
	}
	heap.Init(&s.deadlines)
}
