package scheduler

import (
	"math"
	"time"
)

const (
	// smoothingGain is the part of its difference from an average by which one response moves it.
	smoothingGain = 0.1
	// baseIncreaseDivisor divides the gain of a response slower than the base latency, so that the base
	// latency tends to a low quantile.
	baseIncreaseDivisor = 8
	// latencyMemoryObjectives is for how many shortest objectives a response or a load report is believed.
	// A response after a longer gap outweighs all before it; without one the estimate falls to the base
	// latency.
	latencyMemoryObjectives = 4
	// silenceFactor is how many smoothed latencies may pass without a response before a target counts as
	// silent.
	silenceFactor = 4
	// timeoutObjectives is the least timeout of an attempt, in latency objectives of its class.
	timeoutObjectives = 4
	// initialQueueingFactor is the queueing factor until it is learned: the target serves two requests at
	// once.
	initialQueueingFactor = 0.5
	// maxReportedLoad is the load, in requests, from which on a report is ignored as absurd, for callers that
	// do not check; that of upstream is lower.
	maxReportedLoad = 1e6
	// minLatency keeps a division by a latency finite, in seconds.
	minLatency = 1e-6
)

// latencyMemory is the time constant of the latency estimates, in seconds.
func (s *Scheduler) latencyMemory() float64 {
	return latencyMemoryObjectives * s.shortestObjective.Seconds()
}

// relativeSize is the latency of a request of that many units, relative to one of mean size: one half does
// not depend on the size.
func (s *Scheduler) relativeSize(units float64) float64 { return (1 + units/s.settings.MeanUnits) / 2 }

// silenceTimeout is how long an attempt may be without response before its target counts as silent.
func (s *Scheduler) silenceTimeout(t *target) time.Duration {
	return max(s.shortestObjective, seconds(silenceFactor*t.smoothedLatency))
}

// attemptTimeout is the timeout of an attempt. It is long, since no other target has the data: an early
// retry would only add load. The timeout frees the slot of an attempt whose response was lost.
func (s *Scheduler) attemptTimeout(t *target, r *request) time.Duration {
	return max(timeoutObjectives*r.class.LatencyObjective, seconds(2*silenceFactor*t.smoothedLatency))
}

// expectedLatency is the latency to expect now of a request of mean size, in seconds: the base latency, and
// on top of it the greater of what responses and load reports showed.
//
// Prevents: after one long response nothing is sent to the target any more, so that nothing corrects the
// estimate. Both parts decay with time, so the estimate falls to the base latency.
func (s *Scheduler) expectedLatency(t *target) float64 {
	memory := s.latencyMemory()
	observed := (t.smoothedLatency - t.baseLatency) * math.Exp(-(s.now-t.lastHeard).Seconds()/memory)
	reported := t.baseLatency * s.queueingFactor * t.reportedLoad *
		math.Exp(-(s.now-t.loadReportedAt).Seconds()/memory)
	return t.baseLatency + max(observed, reported)
}

// onLoadReport stores the target's reported load. A report with absent or absurd values changes nothing, nor
// does one from a target without a measured latency. The load is the queue depth, or else the number in
// flight: targets need not report both, both grow with the requests ahead of a new one, and queueingFactor is
// learned from the value that is used.
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

// hasLatency reports whether the target has responded yet: the latencies are 0 until then.
func (t *target) hasLatency() bool { return t.smoothedLatency > 0 }

// recordLatency updates the target's latencies from a response. The latency is in seconds, for a request of
// mean size; loadAtSend is the load that the target reported shortly before the attempt, or -1.
func (s *Scheduler) recordLatency(t *target, latency, loadAtSend float64) {
	if !t.hasLatency() {
		t.smoothedLatency = latency
		t.baseLatency = latency
	}
	s.learnQueueingFactor(t, latency, loadAtSend)
	gain := max(smoothingGain, 1-math.Exp(-(s.now-t.lastHeard).Seconds()/s.latencyMemory()))
	if latency < t.baseLatency {
		t.baseLatency += (latency - t.baseLatency) * gain
	} else {
		t.baseLatency += (latency - t.baseLatency) * smoothingGain / baseIncreaseDivisor
	}
	t.smoothedLatency += (latency - t.smoothedLatency) * gain
	t.lastHeard = s.now
}

// learnQueueingFactor learns, over all targets, which part of the base latency each request at a target
// adds.
func (s *Scheduler) learnQueueingFactor(t *target, latency, loadAtSend float64) {
	if loadAtSend > 0 && t.baseLatency > 0 {
		perRequest := max(0, latency/t.baseLatency-1) / loadAtSend
		s.queueingFactor += (perRequest - s.queueingFactor) * smoothingGain
	}
}
