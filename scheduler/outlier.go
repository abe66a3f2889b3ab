package scheduler

import "time"

const (
	// outlierFailures is the number of failures in a row that makes a target an outlier.
	outlierFailures = 3
	// errorWeight is the part of a failure that an error response counts for. A target that fails a part of
	// its requests quickly still serves the others.
	errorWeight = 0.25
	// maxEjectionFailures is the number of failures in a row beyond which the ejection no longer grows.
	maxEjectionFailures = 4
	// ejectionDivisor divides the silence timeout: each failure in a row adds the quotient to the ejection.
	ejectionDivisor = 4
	// errorsPerFailure is the number of error responses that count for a whole failure.
	errorsPerFailure = 1 / errorWeight
)

// isOutlier reports whether the target failed several times with no success between, or is silent: an
// attempt has had no response for the silence timeout, and nothing was heard since it was sent. An outlier
// gets one attempt at a time.
func (s *Scheduler) isOutlier(t *target) bool {
	if t.consecutiveFailures >= outlierFailures {
		return true
	}
	for _, r := range t.inFlight {
		if s.now-r.sentAt > s.silenceTimeout(t) && t.lastHeard <= r.sentAt {
			return true
		}
	}
	return false
}

// recordResult updates what is known of the target from the end of an attempt. Cancelled and NotSent are no
// case: this initiator ended the attempt, which says nothing of the target.
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

// recordSuccess ends the ejection, and updates the estimates with the latency.
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
		// The response waited here while the process stood still: its latency is not the target's.
		t.lastHeard = s.now
		return
	}
	s.recordLatency(t, latency.Seconds()/s.relativeSize(r.Units), r.loadAtSend)
	s.updateConcurrency(t)
}

// recordRejection ejects the target for about one latency.
func (s *Scheduler) recordRejection(t *target) {
	t.halveConcurrency()
	t.lastHeard = s.now
	t.ejectedUntil = s.now + seconds(t.smoothedLatency)
}

// recordTimeout counts a timeout as a failure, unless it was shorter than the silence timeout.
//
// Prevents: clients with short timeouts make a healthy target an outlier. A timeout shorter than the silence
// timeout shows only that the latency is at least that long.
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

// recordFailure replaces the target's ejection by one that grows with the failures in a row; after the first
// there is none.
func (s *Scheduler) recordFailure(t *target, status AttemptStatus) {
	if status == Errored {
		t.consecutiveFailures += errorWeight
	} else {
		t.consecutiveFailures++
	}
	t.lastHeard = s.now
	t.ejectedUntil = s.now + s.ejectionTime(t)
}

// ejectionTime is how long the target gets no attempt after a failure: the silence timeout divided by
// ejectionDivisor, for each failure in a row after the first. The failures are converted to
// error responses, errorsPerFailure each, so that the arithmetic is in integers.
func (s *Scheduler) ejectionTime(t *target) time.Duration {
	failures := max(0, min(t.consecutiveFailures, maxEjectionFailures)-1)
	errorCount := time.Duration(failures * errorsPerFailure) // a whole number
	return s.silenceTimeout(t) * errorCount / (errorsPerFailure * ejectionDivisor)
}
