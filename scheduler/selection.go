package scheduler

import "time"

const (
	// maxSequentialRun is the maximum length of a sequential run: consecutive attempts for one extent.
	// All but the first may be sent before requests with an earlier finish tag.
	maxSequentialRun = 6
	// idleLatencyFactor is the multiple of the base latency up to which a target counts as idle.
	idleLatencyFactor = 1.05
	// busyTargetChecks is how often, within the shortest objective, a request that waits for lower load
	// is checked again.
	busyTargetChecks = 4
)

// candidates holds the best request of each kind among those that may be sent now; nil: none of that
// kind.
type candidates struct {
	eligible      *request // least finish tag among those with a start tag not after now
	sequential    *request // like eligible, but only first attempts for the extent of the last attempt
	nextEligible  *request // least start tag among those with a start tag after now
	deprioritized *request // highest priority among the deprioritized ones
	pastObjective *request // least finish tag among those past their objective
}

// selectNext returns the request to send next, or nil. In order of preference:
//
//   - the eligible request of a sequential run, even beyond the concurrency limit
//   - the eligible request with the least finish tag
//   - the next request to become eligible, which makes this a synchronization point
//   - a deprioritized request, if the target has nothing in flight here
//   - a request past its objective, if the target is idle
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
	case best.nextEligible != nil:
		s.resynchronize(q, best.nextEligible.startTag-s.now)
		return best.nextEligible
	case best.deprioritized != nil && hasNothingInFlight:
		return best.deprioritized
	case best.pastObjective != nil && s.isIdle(t):
		return best.pastObjective
	}
	return nil
}

// isIdle reports whether the target has nothing in flight here, and no more load from other initiators
// than an idle target.
func (s *Scheduler) isIdle(t *target) bool {
	return len(t.inFlight) == 0 && s.expectedLatency(t) < idleLatencyFactor*t.baseLatency
}

// findCandidates finds the best request of each kind in s.admitted.
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
			best.nextEligible = earlierStart(best.nextEligible, r)
		default:
			best.eligible = earlierFinish(best.eligible, r)
			if r.Extent != "" && r.Extent == t.lastExtent && r.attempts == 0 {
				best.sequential = earlierFinish(best.sequential, r)
			}
		}
	}
	return best
}

// earlierFinish returns the request with the earlier finish tag, or best if they are equal.
func earlierFinish(best, r *request) *request {
	if best == nil || r.finishTag < best.finishTag {
		return r
	}
	return best
}

// earlierStart returns the request with the earlier start tag, or the earlier finish tag if these are
// equal, or best if both are equal.
func earlierStart(best, r *request) *request {
	if best == nil || r.startTag < best.startTag {
		return r
	}
	if r.startTag == best.startTag && r.finishTag < best.finishTag {
		return r
	}
	return best
}

// collectAdmitted fills s.admitted with the queue's requests that may be sent now, and marks those that
// are past their objective or deprioritized. For requests that must still wait, it sets the queue's
// wakeAt.
func (s *Scheduler) collectAdmitted(q *shardQueue) {
	t := q.target
	s.admitted = s.admitted[:0]
	work := s.newWorkEstimate(t)
	for _, r := range q.queued { // in order of objectiveEndsAt
		if at := s.admissionTime(r, q); at > s.now {
			q.wakeAt = min(q.wakeAt, at)
			continue
		}
		r.deprioritized = false
		s.markPastObjective(r, t)
		if r.pastObjective {
			s.admitted = append(s.admitted, r)
			continue
		}
		if s.mustWaitForLowerLoad(r, t, work.latency) {
			q.wakeAt = min(q.wakeAt, s.now+s.shortestObjective/busyTargetChecks)
			continue
		}
		s.admitted = append(s.admitted, r)
		s.deprioritizeExcess(r, t, &work)
	}
}

// markPastObjective marks the request if it cannot be served within its objective even at the base
// latency, and refunds its tokens.
func (s *Scheduler) markPastObjective(r *request, t *target) {
	if r.pastObjective || s.now+seconds(t.baseLatency*s.relativeLatency(r.Units)) <= r.objectiveEndsAt {
		return
	}
	r.pastObjective = true
	t.lastPressure = s.now
	s.refundTokens(r)
}

// workEstimate is the work that the target needs to do for the requests counted so far.
type workEstimate struct {
	latency        float64 // expected latency of a request of mean size, in seconds
	secondsPerUnit float64 // time that each unit takes
	units          float64
}

func (s *Scheduler) newWorkEstimate(t *target) workEstimate {
	latency := s.expectedLatency(t)
	return workEstimate{
		latency:        latency,
		secondsPerUnit: latency / t.concurrencyLimit / s.settings.MeanUnits,
	}
}

// deprioritizeExcess adds the request to the work. As long as the request cannot be served within its
// objective after the rest of the work, the lowest-priority request in the work is deprioritized.
//
// Otherwise, under overload, sending the earliest deadline first would serve each request just too late.
// Without the excess, the remaining requests are served in time.
func (s *Scheduler) deprioritizeExcess(r *request, t *target, work *workEstimate) {
	work.units += r.Units
	for s.expectedCompletion(r, work) > r.objectiveEndsAt && !r.deprioritized {
		lowest := s.lowestPriority(r)
		lowest.deprioritized = true
		t.lastPressure = s.now
		work.units -= lowest.Units
	}
}

// expectedCompletion is when the request would be served after the rest of the work.
func (s *Scheduler) expectedCompletion(r *request, work *workEstimate) time.Duration {
	withoutQueue := s.now + seconds(work.latency*s.relativeLatency(r.Units))
	return withoutQueue + seconds((work.units-r.Units)*work.secondsPerUnit)
}

// lowestPriority returns the lowest-priority request that counts as work: r, or an admitted one with a
// lower priority.
func (s *Scheduler) lowestPriority(r *request) *request {
	lowest := r
	for _, other := range s.admitted {
		if !other.pastObjective && !other.deprioritized && s.priority(other) < s.priority(lowest) {
			lowest = other
		}
	}
	return lowest
}
