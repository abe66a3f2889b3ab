package scheduler

// onAttemptEnded handles the end of an attempt: the request ends, is queued for a retry, or is given up.
func (s *Scheduler) onAttemptEnded(e AttemptEnded) {
	r := s.requests[e.RequestID]
	if r == nil || r.inFlight == nil || e.Attempt != r.attempts-1 {
		return
	}
	t := r.inFlight
	// This precedes removeInFlight because the concurrency limit and the outlier detection count the
	// ending attempt.
	s.recordResult(t, r, e)
	s.onLoadReport(t, e.LoadReport)
	t.removeInFlight(r)
	r.inFlight = nil
	if e.Status == Succeeded {
		s.recordUsage(r.volume, r.Units, e.VolumeUsage)
	}
	s.settleExtent(r, e.Status)
	if e.Status != ConnectFailed && e.Status != NotSent {
		r.giveUpAt = r.deadline - s.timerMargin() // it was sent, so it may use its whole timeout
	}
	r.recordExecution(t, e.Status)
	switch {
	case r.ended:
		s.release(r)
	case e.RequestEnded:
		s.endRequest(r)
	case s.now >= r.giveUpAt:
		s.giveUp(r, EndTimeout)
	case !s.mayRetry(r):
		s.giveUp(r, EndNoRetry)
	default:
		s.requeue(r, t)
	}
}

// requeue queues the request for a retry after a backoff. The request keeps its tags, since its units
// were already charged to the volume.
func (s *Scheduler) requeue(r *request, t *target) {
	if r.needsDedup() {
		r.giveUpAt = min(r.giveUpAt, r.dedupEndsAt())
	}
	r.notBefore = s.now + s.retryBackoff(r, t)
	r.queue.enqueue(r)
	s.pendingGiveUps.add(r)
}

// onResponseStarted removes the request from pendingGiveUps, since its attempt in flight may finish after
// giveUpAt.
func (s *Scheduler) onResponseStarted(e ResponseStarted) {
	if r := s.requests[e.RequestID]; r != nil {
		s.pendingGiveUps.remove(r)
	}
}

// onClientClosed ends the request. An attempt in flight continues.
func (s *Scheduler) onClientClosed(e ClientClosed) {
	if r := s.requests[e.RequestID]; r != nil && !r.ended {
		s.endRequest(r)
	}
}
