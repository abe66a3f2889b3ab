package scheduler

import "time"

const (
	// outlierFailures is the number of consecutive failures that makes a target an outlier.
	outlierFailures = 3
	// errorWeight is the fraction of a failure that an error response counts for: a target that quickly
	// fails some of its requests still serves the others.
	errorWeight = 0.25
	// maxEjectionFailures is the number of consecutive failures beyond which the ejection time no longer
	// grows.
	maxEjectionFailures = 4
	// ejectionDivisor divides the silence timeout; each consecutive failure adds the quotient to the
	// ejection time.
	ejectionDivisor = 4
	// errorsPerFailure is the number of error responses that count as one failure.
	errorsPerFailure = 1 / errorWeight
)

// isOutlier reports whether the target had several failures without a success in between, or is silent:
// an attempt has had no response for the silence timeout, and lastContact is not after the time at which
// that attempt was sent. An outlier gets one attempt at a time.
func (s *Scheduler) isOutlier(t *target) bool {
	if t.consecutiveFailures >= outlierFailures {
		return true
	}
	for _, r := range t.inFlight {
		if s.now-r.sentAt > s.silenceTimeout(t) && t.lastContact <= r.sentAt {
			return true
		}
	}
	return false
}

// recordResult updates the state of the target after an attempt. It ignores Cancelled and NotSent,
// because this initiator ended those attempts and they say nothing about the target.
func (s *Scheduler) recordResult(t *target, r *request, e AttemptEnded) {
	switch e.Status {
	case Succeeded:
		s.recordSuccess(t, r, e.Latency)
	case Rejected:
		s.recordRejection(t)
	case DeadlineExceeded:
		s.recordTimeout(t, e.Latency)
	case Errored, ConnectFailed, ConnectionReset:
		s.recordFailure(t, e.Status)
	}
}

// recordSuccess ends an ejection and updates the estimates with the latency.
func (s *Scheduler) recordSuccess(t *target, r *request, latency time.Duration) {
	if s.isOutlier(t) {
		t.concurrencyLimit = recoveryConcurrency
	}
	t.consecutiveFailures = 0
	t.ejectedUntil = 0
	if s.slowStart.Window > 0 {
		t.recentlyServed.add(s.now, r.Units)
	}
	if s.stall > 0 {
		// The process was stalled while the response waited here, so the measured latency is too long.
		t.lastContact = s.now
		return
	}
	s.recordLatency(t, latency.Seconds()/s.relativeLatency(r.Units), r.loadAtSend)
	s.updateConcurrency(t)
}

// recordRejection ejects the target for one smoothed latency.
func (s *Scheduler) recordRejection(t *target) {
	t.halveConcurrency()
	t.lastContact = s.now
	t.ejectedUntil = s.now + seconds(t.smoothedLatency)
}

// recordTimeout counts a timeout as a failure, unless the attempt ended before the silence timeout.
//
// Otherwise clients with short timeouts would make a healthy target an outlier. A timeout before the
// silence timeout shows only that the latency is at least that long.
func (s *Scheduler) recordTimeout(t *target, latency time.Duration) {
	if latency < s.silenceTimeout(t) {
		if t.hasLatency() {
			t.smoothedLatency += max(0, latency.Seconds()-t.smoothedLatency) * smoothingGain
		}
		return
	}
	t.consecutiveFailures++
	t.halveConcurrency()
}

// recordFailure ejects the target for a time that grows with the number of consecutive failures, in place
// of any earlier ejection. The first failure causes no ejection.
func (s *Scheduler) recordFailure(t *target, status AttemptStatus) {
	if status == Errored {
		t.consecutiveFailures += errorWeight
	} else {
		t.consecutiveFailures++
	}
	t.lastContact = s.now
	t.ejectedUntil = s.now + s.ejectionTime(t)
}

// ejectionTime is how long the target gets no attempts after a failure: for each consecutive failure
// after the first, the silence timeout divided by ejectionDivisor. Failures are converted to error
// responses, errorsPerFailure each, so that the arithmetic is in integers.
func (s *Scheduler) ejectionTime(t *target) time.Duration {
	failures := max(0, min(t.consecutiveFailures, maxEjectionFailures)-1)
	errorCount := time.Duration(failures * errorsPerFailure) // a whole number
	return s.silenceTimeout(t) * errorCount / (errorsPerFailure * ejectionDivisor)
}
