package scheduler

import "math"

const (
	// initialConcurrency is the concurrency limit of a target that is new to this initiator.
	initialConcurrency = 2
	// recoveryConcurrency is the concurrency limit of a target that has restarted or is no longer an
	// outlier.
	recoveryConcurrency = 1
	// maxConcurrency bounds the concurrency limit, whatever the estimates say.
	maxConcurrency = 16
	// sharedMinConcurrency is the least concurrency limit of a target over all initiators together; each
	// has one attempt in any case. Requests differ in size, so latencies exceed the base latency with
	// nothing queued.
	sharedMinConcurrency = 4
	// concurrencyIncrement is what PARDA adds at each update. A fixed part gives each initiator the same
	// share.
	concurrencyIncrement = 0.25
	// maxConcurrencyGrowth bounds the factor of one update.
	maxConcurrencyGrowth = 2
	// latencyTolerance is the smoothed latency, as a multiple of the base latency, that the limit is steered
	// to. Requests that wait at a target can no longer be ordered.
	latencyTolerance = 1.5
	// calmObjectives is after how many shortest objectives without pressure a target is calm. It may then
	// have a longer queue, since the order of requests does not matter.
	calmObjectives = 30
	// calmFactor multiplies the latency tolerance of a calm target.
	calmFactor = 2
)

// updateConcurrency moves the concurrency limit after a success. It follows PARDA: the limit tends to where
// the smoothed latency is latencyTolerance times the base latency. It departs from PARDA in that the goal is
// relative to the target's base latency and higher for a calm target, that one update grows the limit by a
// bounded factor, and that the limit grows only while it is used up.
func (s *Scheduler) updateConcurrency(t *target) {
	goal := latencyTolerance * t.baseLatency
	if s.now-t.lastPressure > calmObjectives*s.shortestObjective {
		goal *= calmFactor
	}
	factor := min(maxConcurrencyGrowth, goal/max(t.smoothedLatency, minLatency))
	next := t.concurrencyLimit*factor + concurrencyIncrement
	isUsedUp := float64(len(t.inFlight)) >= math.Floor(t.concurrencyLimit)
	if next < t.concurrencyLimit || isUsedUp {
		t.concurrencyLimit += (next - t.concurrencyLimit) * smoothingGain
	}
	t.concurrencyLimit = min(maxConcurrency, max(s.minConcurrency, t.concurrencyLimit))
}

// halveConcurrency is the response to overload: a rejection, or a target that does not answer.
func (t *target) halveConcurrency() { t.concurrencyLimit = max(1, t.concurrencyLimit/2) }

// hasCapacity reports whether the target may have another attempt in flight.
func (s *Scheduler) hasCapacity(t *target) bool { return s.hasCapacityBeyond(t, 0) }

// hasCapacityBeyond reports whether the target may have another attempt in flight, if that many may exceed
// its concurrency limit. An outlier has no such excess.
//
// Prevents: responses get lost, their attempts hold all slots, and nothing is sent until they time out. An
// attempt without a response for the silence timeout does not hold its slot.
func (s *Scheduler) hasCapacityBeyond(t *target, excess int) bool {
	inFlight := 0
	for _, r := range t.inFlight {
		if s.now-r.sentAt < s.silenceTimeout(t) {
			inFlight++
		}
	}
	if s.isOutlier(t) {
		return inFlight == 0
	}
	return float64(inFlight) < math.Floor(t.concurrencyLimit)+float64(excess)
}
