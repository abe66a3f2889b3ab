package scheduler

// dispatchQueue sends requests as long as the queue's target has capacity.
func (s *Scheduler) dispatchQueue(q *shardQueue) {
	q.wakeAt = never
	for q.target != nil && len(q.queued) > 0 {
		hasCapacity := s.hasCapacity(q.target)
		// A sequential run may exceed the concurrency limit, since consecutive attempts for one extent cost
		// the target less.
		if !hasCapacity && !s.hasCapacityBeyond(q.target, maxSequentialRun-1) {
			return
		}
		r := s.selectNext(q, hasCapacity)
		if r == nil {
			return
		}
		s.send(r, q.target)
	}
}

// send starts an attempt of the request. No other function starts attempts.
func (s *Scheduler) send(r *request, t *target) {
	r.dequeue()
	t.recordExtent(r.Extent)
	if r.attempts > 0 {
		s.retryBudget.recordRetry(s.now)
	} else {
		s.chargeReservation(r)
	}
	r.chargeRateLimit()
	if s.slowStart.Window > 0 {
		t.recentlySent.add(s.now, r.Units)
	}
	r.attempts++
	r.inFlight = t
	r.sentAt = s.now
	r.loadAtSend = s.freshLoad(t)
	t.inFlight = append(t.inFlight, r)
	s.emit(s.sendAction(r, t))
}

func (s *Scheduler) sendAction(r *request, t *target) Action {
	untilDeadline := max(r.deadline-s.now, s.settings.Tick)
	action := Action{
		Kind:      Send,
		RequestID: r.ID,
		Target:    t.ID,
		Timeout:   min(s.attemptTimeout(t, r), untilDeadline),
	}
	if r.needsDedup() {
		// If opening the connection or sending takes long, the retry could arrive when targets no longer
		// discard it as a duplicate. The caller sends nothing after this time.
		action.SendWithin = r.dedupEndsAt() - s.now
	}
	return action
}

// recordExtent counts the consecutive attempts for the same extent.
func (t *target) recordExtent(extent string) {
	if t.lastExtent != extent {
		t.lastExtent = extent
		t.sequentialRun = 0
	}
	t.sequentialRun++
}

// freshLoad is the target's last reported load, or -1 if there is no report or it is too old.
func (s *Scheduler) freshLoad(t *target) float64 {
	if s.now-t.loadReportedAt < s.shortestObjective/2 {
		return t.reportedLoad
	}
	return -1
}
