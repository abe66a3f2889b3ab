package scheduler

// onAttemptEnded handles the end of an attempt: the request has its response, gets a retry, or is given up.
func (s *Scheduler) onAttemptEnded(e AttemptEnded) {
	r := s.requests[e.RequestID]
	if r == nil || r.inFlight == nil || e.Attempt != r.attempts-1 {
		return
	}
	t := r.inFlight
	// Before removeInFlight: the checks of the concurrency limit and of outliers count the ending attempt.
	s.recordResult(t, r, e)
	s.onLoadReport(t, e.LoadReport)
	t.removeInFlight(r)
	r.inFlight = nil
	if e.Status == Succeeded {
		s.recordUsage(r.volume, r.Units, e.VolumeUsage)
	}
	s.settleExtent(r, e.Status)
	if e.Status != ConnectFailed && e.Status != NotSent {
		r.giveUpAt = r.deadline - s.timerMargin() // it was sent, so it has its whole timeout
	}
	r.recordExecution(t, e.Status)
	switch {
	case r.answered:
		s.release(r)
	case e.Answered:
		s.endRequest(r)
	case s.now >= r.giveUpAt || !s.mayRetry(r):
		s.giveUp(r)
	default:
		s.requeue(r, t)
	}
}

// requeue queues the request for a retry, after a backoff. It keeps its tags: its units were charged to the
// volume once.
func (s *Scheduler) requeue(r *request, t *target) {
	if r.needsDedup() {
		r.giveUpAt = min(r.giveUpAt, r.dedupEndsAt())
	}
	r.notBefore = s.now + s.retryBackoff(r, t)
	r.queue.enqueue(r)
	s.giveUps.add(r)
}

// onResponseStarted lets the attempt in flight continue until its end, past the request's giveUpAt.
func (s *Scheduler) onResponseStarted(e ResponseStarted) {
	if r := s.requests[e.RequestID]; r != nil {
		s.giveUps.remove(r)
	}
}

// onClientClosed ends the request. An attempt in flight goes on.
func (s *Scheduler) onClientClosed(e ClientClosed) {
	if r := s.requests[e.RequestID]; r != nil && !r.answered {
		s.endRequest(r)
	}
}
