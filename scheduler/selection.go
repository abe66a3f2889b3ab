package scheduler

import "time"

const (
	// maxSequentialRun bounds the requests for one extent that leave ahead of their turn.
	maxSequentialRun = 6
	// idleLatencyFactor is the multiple of the base latency up to which a target counts as idle.
	idleLatencyFactor = 1.05
	// busyTargetChecks is how often within the shortest objective a request that waits for a target with
	// less load is checked again.
	busyTargetChecks = 4
)

// candidates holds the best request of each kind among those that may leave now. Any of them may be nil.
type candidates struct {
	eligible      *request // least finish tag of those whose start tag is not after now
	sequential    *request // the same, of those for the extent that was sent last
	ahead         *request // least start tag of those whose start tag is after now
	deprioritized *request // highest priority of the deprioritized ones
	pastObjective *request // least finish tag of those past their objective
}

// selectNext returns the request that leaves next, or nil: the eligible one of least finish tag, or one
// that continues a sequential run; at a synchronization point the next to become eligible; then, if the
// target has nothing in flight, a deprioritized one; then, if the target is idle, one past its objective.
func (s *Scheduler) selectNext(q *shardQueue, hasCapacity bool) *request {
	t := q.target
	s.collectAdmitted(q)
	best := s.findCandidates(t)
	hasNothingInFlight := len(t.inFlight) == 0
	switch {
	case best.sequential != nil && t.sequentialRun < maxSequentialRun:
		return best.sequential
	case !hasCapacity:
		return nil
	case best.eligible != nil:
		return best.eligible
	case best.ahead != nil:
		s.resynchronize(q, best.ahead.startTag-s.now)
		return best.ahead
	case best.deprioritized != nil && hasNothingInFlight:
		return best.deprioritized
	case best.pastObjective != nil && s.isIdle(t):
		return best.pastObjective
	}
	return nil
}

// isIdle reports whether the target has nothing in flight here, and no more load from others than an idle
// one.
func (s *Scheduler) isIdle(t *target) bool {
	return len(t.inFlight) == 0 && s.expectedLatency(t) < idleLatencyFactor*t.baseLatency
}

// findCandidates picks the best request of each kind from s.admitted.
func (s *Scheduler) findCandidates(t *target) candidates {
	var best candidates
	for _, r := range s.admitted {
		switch {
		case r.pastObjective:
			best.pastObjective = earlierFinish(best.pastObjective, r)
		case r.deprioritized:
			if best.deprioritized == nil || s.priority(r) > s.priority(best.deprioritized) {
				best.deprioritized = r
			}
		case r.startTag > s.now:
			best.ahead = earlierStart(best.ahead, r)
		default:
			best.eligible = earlierFinish(best.eligible, r)
			if r.Extent != "" && r.Extent == t.lastExtent && r.attempts == 0 {
				best.sequential = earlierFinish(best.sequential, r)
			}
		}
	}
	return best
}

// earlierFinish returns the request with the lesser finish tag, and best if they are equal.
func earlierFinish(best, r *request) *request {
	if best == nil || r.finishTag < best.finishTag {
		return r
	}
	return best
}

// earlierStart returns the request with the lesser start tag, then finish tag, and best if both are equal.
func earlierStart(best, r *request) *request {
	if best == nil || r.startTag < best.startTag {
		return r
	}
	if r.startTag == best.startTag && r.finishTag < best.finishTag {
		return r
	}
	return best
}

// collectAdmitted fills s.admitted with the queue's requests that may go to its target now, and marks those
// that are past their objective or deprioritized. It sets the queue's wakeAt for the others.
func (s *Scheduler) collectAdmitted(q *shardQueue) {
	t := q.target
	s.admitted = s.admitted[:0]
	work := s.newWorkEstimate(t)
	for _, r := range q.queued { // in order of objectiveAt
		if at := s.admitAt(r, q); at > s.now {
			q.wakeAt = min(q.wakeAt, at)
			continue
		}
		r.deprioritized = false
		s.checkObjective(r, t)
		if r.pastObjective {
			s.admitted = append(s.admitted, r)
			continue
		}
		if s.waitsForLessLoad(r, t, work.latency) {
			q.wakeAt = min(q.wakeAt, s.now+s.shortestObjective/busyTargetChecks)
			continue
		}
		s.admitted = append(s.admitted, r)
		s.deprioritizeExcess(r, t, &work)
	}
}

// checkObjective marks a request that cannot be served within its objective even at the base latency.
func (s *Scheduler) checkObjective(r *request, t *target) {
	if r.pastObjective || s.now+seconds(t.baseLatency*s.relativeSize(r.Units)) <= r.objectiveAt {
		return
	}
	r.pastObjective = true
	t.lastPressure = s.now
	s.refundTag(r)
}

// workEstimate is what the target would have to do to serve the requests counted so far.
type workEstimate struct {
	latency        float64 // expected latency of a request of mean size, in seconds
	secondsPerUnit float64 // time that each unit adds
	units          float64
}

func (s *Scheduler) newWorkEstimate(t *target) workEstimate {
	latency := s.expectedLatency(t)
	return workEstimate{
		latency:        latency,
		secondsPerUnit: latency / t.concurrencyLimit / s.settings.MeanUnits,
	}
}

// deprioritizeExcess counts the request as work. While it cannot be served within its objective behind the
// others, the one of least priority among them is deprioritized.
//
// Prevents: under overload, earliest deadline first serves each request just too late. With the excess set
// aside, the others are served in time.
func (s *Scheduler) deprioritizeExcess(r *request, t *target, work *workEstimate) {
	work.units += r.Units
	for s.servedAt(r, work) > r.objectiveAt && !r.deprioritized {
		least := s.leastPriority(r)
		least.deprioritized = true
		t.lastPressure = s.now
		work.units -= least.Units
	}
}

// servedAt is when the request would be served behind the other work.
func (s *Scheduler) servedAt(r *request, work *workEstimate) time.Duration {
	alone := s.now + seconds(work.latency*s.relativeSize(r.Units))
	return alone + seconds((work.units-r.Units)*work.secondsPerUnit)
}

// leastPriority returns the request of least priority that counts as work: r, or an admitted one below it.
func (s *Scheduler) leastPriority(r *request) *request {
	least := r
	for _, other := range s.admitted {
		if !other.pastObjective && !other.deprioritized && s.priority(other) < s.priority(least) {
			least = other
		}
	}
	return least
}
