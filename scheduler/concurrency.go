package scheduler

import "math"

const (
	// initialConcurrency is the concurrency limit of a target that is new to this initiator.
	initialConcurrency = 2
	// recoveryConcurrency is the concurrency limit of a target that has restarted or is no longer an
	// outlier.
	recoveryConcurrency = 1
	// maxConcurrency is the upper bound of the concurrency limit, whatever the estimates are.
	maxConcurrency = 16
	// sharedMinConcurrency is the lower bound of the concurrency limit of a target, summed over all
	// initiators; each initiator may have one attempt in any case. A bound is needed because requests
	// differ in size, so latencies exceed the base latency even if nothing is queued at the target.
	sharedMinConcurrency = 4
	// concurrencyIncrement is what PARDA (see updateConcurrency) adds to the limit at each update. Since it
	// is constant, all initiators get the same share.
	concurrencyIncrement = 0.25
	// maxConcurrencyGrowth is the largest factor that one update applies to the limit.
	maxConcurrencyGrowth = 2
	// latencyTolerance is the smoothed latency that the limit aims at, as a multiple of the base latency.
	// A higher value would queue more requests at the target, where they can no longer be reordered.
	latencyTolerance = 1.5
	// pressureMemoryObjectives is how long pressure on a target counts as recent, in shortest objectives.
	// A target is under pressure when a request for it misses its objective or is deprioritized. A target
	// without recent pressure may have a longer queue, since the order of requests does not matter there.
	pressureMemoryObjectives = 30
	// noPressureFactor multiplies the latency tolerance of a target without recent pressure.
	noPressureFactor = 2
)

// updateConcurrency adjusts the concurrency limit after a success. It follows the flow control of PARDA
// (Proportional Allocation of Resources for Distributed Storage Access): the limit converges to the value
// at which the smoothed latency is latencyTolerance times the base latency. It differs from PARDA as
// follows: the latency goal is relative to the target's base latency and higher without recent pressure,
// the factor of one update is bounded, and the limit grows only while it is fully used.
func (s *Scheduler) updateConcurrency(t *target) {
	latencyGoal := latencyTolerance * t.baseLatency
	if s.now-t.lastPressure > pressureMemoryObjectives*s.shortestObjective {
		latencyGoal *= noPressureFactor
	}
	factor := min(maxConcurrencyGrowth, latencyGoal/max(t.smoothedLatency, minLatency))
	nextLimit := t.concurrencyLimit*factor + concurrencyIncrement
	isSaturated := float64(len(t.inFlight)) >= math.Floor(t.concurrencyLimit)
	if nextLimit < t.concurrencyLimit || isSaturated {
		t.concurrencyLimit += (nextLimit - t.concurrencyLimit) * smoothingGain
	}
	t.concurrencyLimit = min(maxConcurrency, max(s.minConcurrency, t.concurrencyLimit))
}

// halveConcurrency reacts to overload: a rejection, or a target that does not respond.
func (t *target) halveConcurrency() { t.concurrencyLimit = max(1, t.concurrencyLimit/2) }

// hasCapacity reports whether the target may have another attempt in flight.
func (s *Scheduler) hasCapacity(t *target) bool { return s.hasCapacityBeyond(t, 0) }

// hasCapacityBeyond reports whether the target may have another attempt in flight if its concurrency
// limit is raised by excess. An outlier may have only one attempt, whatever the excess.
//
// An attempt without a response for the silence timeout does not count. Otherwise attempts whose
// responses were lost would use up the limit, and nothing would be sent until they time out.
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
