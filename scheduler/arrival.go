package scheduler

import "time"

const (
	// rejectMarginTicks is how many ticks before half of its timeout a request with no attempt is given up,
	// so that the client has the response by then.
	rejectMarginTicks = 4
	// answerMarginTicks is how many ticks before its deadline a response must leave: a timer may come a
	// tick late, and so may the step after it.
	answerMarginTicks = 2
)

// onRequest takes a new request: it is queued for its shard, or rejected at once.
func (s *Scheduler) onRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.retryBudget.recordFirstAttempt(s.now)
	class := s.classes[e.Class]
	plan := s.plans[e.Plan]
	if class == nil || plan == nil || e.Timeout <= 0 {
		s.emit(Action{Kind: Reject, RequestID: e.ID})
		return
	}
	r := s.newRequest(e, class, s.volumeFor(e, plan))
	s.requests[r.ID] = r
	s.deadlines.add(r)
	r.volume.backlog++
	s.joinSerialQueue(r)
	r.queue = s.selectQueue(r)
	if r.objectiveAt <= s.now { // a retry by the client, after the objective of its first try
		r.pastObjective = true
		s.giveUp(r)
		return
	}
	s.assignTags(r, r.queue)
	r.queue.enqueue(r)
}

// volumeFor returns the request's volume, and creates it if needed.
func (s *Scheduler) volumeFor(e Request, plan *Plan) *volume {
	v := s.volumes[e.Volume]
	if v == nil {
		v = s.newVolume(plan, e.Initiators)
		s.volumes[e.Volume] = v
	}
	v.setInitiators(e.Initiators)
	return v
}

// newRequest returns the request with its times, bounded by the deadline of its class and by a shutdown.
func (s *Scheduler) newRequest(e Request, class *Class, v *volume) *request {
	e.Timeout = min(e.Timeout, class.Deadline, s.shutdownDeadline-s.now)
	e.Units = max(e.Units, 0)
	r := &request{
		Request:      e,
		class:        class,
		volume:       v,
		firstArrival: s.now,
		deadline:     s.now + e.Timeout,
		objectiveAt:  s.now + class.LatencyObjective,
		answerBy:     s.firstAttemptDeadline(e.Timeout),
		heapIndex:    -1,
	}
	s.subtractStall(r)
	s.recognizeRetry(r)
	r.objectiveAt = min(r.objectiveAt, r.deadline-s.answerMargin())
	return r
}

// firstAttemptDeadline is when a request with no attempt is given up: after half its timeout. A client that
// learns it by then has time for another try.
func (s *Scheduler) firstAttemptDeadline(timeout time.Duration) time.Duration {
	return s.now + max(timeout/2-rejectMarginTicks*s.settings.Tick, s.settings.Tick)
}

// answerMargin is how long before a deadline the response must leave.
func (s *Scheduler) answerMargin() time.Duration { return answerMarginTicks * s.settings.Tick }

// subtractStall moves the objective of a request that arrived while this process stood still: its timeout
// tells how long it has waited since.
func (s *Scheduler) subtractStall(r *request) {
	waited := r.class.Deadline - r.Timeout
	if s.stall > 0 && waited < s.stall+s.shortestObjective/timersPerObjective {
		r.objectiveAt -= waited
	}
}

// recognizeRetry moves the objective of a client's retry after a rejection here to that of its first try. A
// retry has the same key and ends within the deadline of the first.
//
// Failure: all clients come with short timeouts, and each request is taken for a retry and held until it is
// rejected. A short timeout alone does not make a request a retry.
func (s *Scheduler) recognizeRetry(r *request) {
	first := s.rejected.find(r)
	if first == nil || r.deadline > first.firstArrival+r.class.Deadline+s.answerMargin() {
		return
	}
	r.firstArrival = first.firstArrival
	r.objectiveAt = first.firstArrival + r.class.LatencyObjective
	s.rejected.remove(r)
}
