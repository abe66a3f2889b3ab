package scheduler

import (
	"math"
	"time"
)

const (
	// smoothingGain is the weight of a new response in a moving average.
	smoothingGain = 0.1
	// baseIncreaseDivisor divides the weight of a response slower than the base latency, so that the base
	// latency converges to a low quantile.
	baseIncreaseDivisor = 8
	// latencyDecayObjectives is the time constant of the latency estimates, in shortest objectives. After
	// a gap longer than that, a response outweighs all earlier ones. Without responses, the estimate
	// falls to the base latency.
	latencyDecayObjectives = 4
	// silenceFactor is how many smoothed latencies may pass without a response before a target counts as
	// silent.
	silenceFactor = 4
	// minTimeoutObjectives is the minimum timeout of an attempt, in latency objectives of its class.
	minTimeoutObjectives = 4
	// initialQueueingFactor is the queueing factor before it is learned. It corresponds to a target that
	// serves two requests at once.
	initialQueueingFactor = 0.5
	// maxReportedLoad is the load, in requests, from which on a report is ignored as implausible. It is
	// for callers that do not check reports; the bound in package upstream is lower.
	maxReportedLoad = 1e6
	// minLatency, in seconds, keeps divisions by a latency finite.
	minLatency = 1e-6
)

// latencyTimeConstant is the time constant of the latency estimates, in seconds.
func (s *Scheduler) latencyTimeConstant() float64 {
	return latencyDecayObjectives * s.shortestObjective.Seconds()
}

// relativeLatency is the latency of a request of this size, relative to that of a request of mean size.
// Half of the latency does not depend on the size.
func (s *Scheduler) relativeLatency(units float64) float64 {
	return (1 + units/s.settings.MeanUnits) / 2
}

// silenceTimeout is how long an attempt may remain without a response before its target counts as silent.
func (s *Scheduler) silenceTimeout(t *target) time.Duration {
	return max(s.shortestObjective, seconds(silenceFactor*t.smoothedLatency))
}

// attemptTimeout is the timeout of an attempt. It is long because no other target has the data, so an
// early retry would only add load. It ends an attempt whose response was lost.
func (s *Scheduler) attemptTimeout(t *target, r *request) time.Duration {
	return max(minTimeoutObjectives*r.class.LatencyObjective, seconds(2*silenceFactor*t.smoothedLatency))
}

// expectedLatency is the latency, in seconds, that a request of mean size would have now: the base
// latency plus the greater of two delays, one observed in responses and one computed from the last load
// report.
//
// Both delays decay over time, so the estimate falls to the base latency. Otherwise nothing would be sent
// to the target after one long response, and no new response would correct the estimate.
func (s *Scheduler) expectedLatency(t *target) float64 {
	timeConstant := s.latencyTimeConstant()
	observed := (t.smoothedLatency - t.baseLatency) * math.Exp(-(s.now-t.lastContact).Seconds()/timeConstant)
	reported := t.baseLatency * s.queueingFactor * t.reportedLoad *
		math.Exp(-(s.now-t.loadReportedAt).Seconds()/timeConstant)
	return t.baseLatency + max(observed, reported)
}

// onLoadReport records the target's load. The load is the queue depth or, if that is absent, the number
// in flight. Targets need not report both; both grow with the requests ahead of a new one, and
// queueingFactor is learned from whichever value is used. A report whose load is absent or implausible is
// ignored, and so is one from a target without a measured latency.
func (s *Scheduler) onLoadReport(t *target, report *LoadReport) {
	if report == nil || !t.hasLatency() {
		return
	}
	load := report.QueueDepth
	if !(load >= 0) { // negative or NaN
		load = report.InFlight
	}
	if load >= 0 && load < maxReportedLoad {
		t.reportedLoad = load
		t.loadReportedAt = s.now
	}
}

// hasLatency reports whether the latencies have been measured. They are 0 until the first response.
func (t *target) hasLatency() bool { return t.smoothedLatency > 0 }

// recordLatency updates the target's latencies after a response. The latency is in seconds and refers to
// a request of mean size; loadAtSend is the load that the target had reported shortly before the attempt,
// or -1.
func (s *Scheduler) recordLatency(t *target, latency, loadAtSend float64) {
	if !t.hasLatency() {
		t.smoothedLatency = latency
		t.baseLatency = latency
	}
	s.learnQueueingFactor(t, latency, loadAtSend)
	gain := max(smoothingGain, 1-math.Exp(-(s.now-t.lastContact).Seconds()/s.latencyTimeConstant()))
	if latency < t.baseLatency {
		t.baseLatency += (latency - t.baseLatency) * gain
	} else {
		t.baseLatency += (latency - t.baseLatency) * smoothingGain / baseIncreaseDivisor
	}
	t.smoothedLatency += (latency - t.smoothedLatency) * gain
	t.lastContact = s.now
}

// learnQueueingFactor learns, over all targets, the fraction of the base latency that each request at a
// target adds to the latency.
func (s *Scheduler) learnQueueingFactor(t *target, latency, loadAtSend float64) {
	if loadAtSend > 0 && t.baseLatency > 0 {
		delayPerRequest := max(0, latency/t.baseLatency-1) / loadAtSend
		s.queueingFactor += (delayPerRequest - s.queueingFactor) * smoothingGain
	}
}
