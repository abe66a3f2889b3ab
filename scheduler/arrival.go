package scheduler

import "time"

const (
	// giveUpMarginTicks is a margin in ticks: a request of which no attempt was sent completely is given
	// up this long before half of its timeout, so that the client has the response by then.
	giveUpMarginTicks = 4
	// timerMarginTicks is the timer margin in ticks: a timer may be one tick late, and so may the step
	// after it.
	timerMarginTicks = 2
)

// onRequest handles a new request: it queues the request for its shard or rejects it at once.
func (s *Scheduler) onRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.retryBudget.recordArrival(s.now)
	class := s.classes[e.Class]
	plan := s.plans[e.Plan]
	if class == nil || plan == nil || e.Timeout <= 0 {
		s.emit(Action{Kind: Reject, RequestID: e.ID, EndReason: EndNotAccepted})
		return
	}
	r := s.newRequest(e, class, s.volumeFor(e, plan))
	s.requests[r.ID] = r
	s.pendingGiveUps.add(r)
	r.volume.backlog++
	s.joinSerialQueue(r)
	r.queue = s.selectQueue(r)
	if r.objectiveEndsAt <= s.now { // a client retry after the end of the objective of the first request
		r.pastObjective = true
		s.giveUp(r, EndPastObjective)
		return
	}
	s.assignTags(r, r.queue)
	r.queue.enqueue(r)
}

// volumeFor returns the request's volume and creates it if needed.
func (s *Scheduler) volumeFor(e Request, plan *Plan) *volume {
	v := s.volumes[e.Volume]
	if v == nil {
		if len(s.volumes) >= maxVolumes {
			s.evictVolumes()
		}
		v = s.newVolume(plan, e.Initiators)
		s.volumes[e.Volume] = v
	}
	v.lastUsed = s.now
	v.setInitiators(e.Initiators)
	return v
}

// newRequest returns the request with its times, which are bounded by the deadline of its class and by a
// shutdown.
func (s *Scheduler) newRequest(e Request, class *Class, v *volume) *request {
	e.Timeout = min(e.Timeout, class.Deadline, s.shutdownDeadline-s.now)
	e.Units = max(e.Units, 0)
	r := &request{
		Request:         e,
		class:           class,
		volume:          v,
		firstArrival:    s.now,
		deadline:        s.now + e.Timeout,
		objectiveEndsAt: s.now + class.LatencyObjective,
		giveUpAt:        s.initialGiveUpAt(e.Timeout),
		heapIndex:       -1,
	}
	s.adjustForStall(r)
	s.recognizeClientRetry(r)
	r.objectiveEndsAt = min(r.objectiveEndsAt, r.deadline-s.timerMargin())
	return r
}

// initialGiveUpAt is the giveUpAt of a request of which no attempt was sent completely yet: shortly
// before half of its timeout. A client that has the response by then has time left for a client retry.
func (s *Scheduler) initialGiveUpAt(timeout time.Duration) time.Duration {
	return s.now + max(timeout/2-giveUpMarginTicks*s.settings.Tick, s.settings.Tick)
}

// timerMargin is the minimum time between the giveUpAt of a request and its deadline, since a timer may
// be one tick late, and so may the step after it. It does not include the time to write the response: the
// dispatcher subtracts its ResponseWriteMargin from the timeout.
func (s *Scheduler) timerMargin() time.Duration { return timerMarginTicks * s.settings.Tick }

// adjustForStall moves the end of the objective of a request that arrived while the process was stalled
// to an earlier time, by the time that the request has waited. The wait follows from the remaining
// timeout, on the assumption that the client's full timeout is the deadline of the class.
func (s *Scheduler) adjustForStall(r *request) {
	waited := r.class.Deadline - r.Timeout
	if s.stall > 0 && waited < s.stall+s.shortestObjective/timersPerObjective {
		r.objectiveEndsAt -= waited
	}
}

// recognizeClientRetry gives a client retry the objective of its first request, if that was given up
// here. A client retry has the same key as the first request, and ends by the client's deadline, counted
// from the arrival of the first request.
//
// A short timeout alone does not make a request a client retry. Otherwise, if all clients used short
// timeouts, each request would be taken for a client retry and wait until it is rejected.
func (s *Scheduler) recognizeClientRetry(r *request) {
	first := s.givenUp.find(r)
	if first == nil || r.deadline > first.firstArrival+r.class.Deadline+s.timerMargin() {
		return
	}
	r.firstArrival = first.firstArrival
	r.objectiveEndsAt = first.firstArrival + r.class.LatencyObjective
	s.givenUp.remove(r)
}
