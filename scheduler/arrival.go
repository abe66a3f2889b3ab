package scheduler

import "time"

const (
	// giveUpMarginTicks is how many ticks before half of its timeout a request is given up of which no
	// attempt was sent completely,
	// so that the client has the response by then.
	giveUpMarginTicks = 4
	// timerMarginTicks is the timer margin in ticks: a timer may come a tick late, and so may the step after
	// it.
	timerMarginTicks = 2
)

// onRequest handles a new request: it is queued for its shard, or rejected at once.
func (s *Scheduler) onRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.retryBudget.recordArrival(s.now)
	class := s.classes[e.Class]
	plan := s.plans[e.Plan]
	if class == nil || plan == nil || e.Timeout <= 0 {
		s.emit(Action{Kind: Reject, RequestID: e.ID})
		return
	}
	r := s.newRequest(e, class, s.volumeFor(e, plan))
	s.requests[r.ID] = r
	s.giveUps.add(r)
	r.volume.backlog++
	s.joinSerialQueue(r)
	r.queue = s.selectQueue(r)
	if r.objectiveAt <= s.now { // a client retry, after the objective of the first request
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
		giveUpAt:     s.firstGiveUpAt(e.Timeout),
		heapIndex:    -1,
	}
	s.subtractStall(r)
	s.recognizeClientRetry(r)
	r.objectiveAt = min(r.objectiveAt, r.deadline-s.timerMargin())
	return r
}

// firstGiveUpAt is the giveUpAt of a request until an attempt was sent completely: after half its timeout. A
// client that has the response by then has time for a client retry.
func (s *Scheduler) firstGiveUpAt(timeout time.Duration) time.Duration {
	return s.now + max(timeout/2-giveUpMarginTicks*s.settings.Tick, s.settings.Tick)
}

// timerMargin is how long before its deadline a request is given up at the latest: a timer may come a tick
// late, and so may the step after it. The time to write the response is the caller's affair; the dispatcher
// subtracts its ResponseWriteMargin from the timeout.
func (s *Scheduler) timerMargin() time.Duration { return timerMarginTicks * s.settings.Tick }

// subtractStall moves the objective of a request that arrived while this process stood still: what is left
// of its timeout tells how long it has waited. It assumes that the client's whole timeout is the deadline of
// the class.
func (s *Scheduler) subtractStall(r *request) {
	waited := r.class.Deadline - r.Timeout
	if s.stall > 0 && waited < s.stall+s.shortestObjective/timersPerObjective {
		r.objectiveAt -= waited
	}
}

// recognizeClientRetry moves the objective of a client retry to that of the first request, after it was given
// up here. A client retry has the same key, and ends within the deadline of the first request.
//
// Prevents: all clients use short timeouts, so each request is taken for a client retry and waits until it is
// rejected. A short timeout alone does not make a request a client retry.
func (s *Scheduler) recognizeClientRetry(r *request) {
	first := s.givenUp.find(r)
	if first == nil || r.deadline > first.firstArrival+r.class.Deadline+s.timerMargin() {
		return
	}
	r.firstArrival = first.firstArrival
	r.objectiveAt = first.firstArrival + r.class.LatencyObjective
	s.givenUp.remove(r)
}
