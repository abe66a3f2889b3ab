package scheduler

import "time"

// target is what the scheduler knows of one target, beside its entry in the endpoint list.
type target struct {
	Target
	inFlight []*request

	// Latencies are in seconds, for a request of mean size.
	smoothedLatency float64       // moving average; 0: no response yet
	baseLatency     float64       // low quantile: the latency with little load
	lastHeard       time.Duration // time of the last response, or of the start of its knowledge here

	reportedLoad   float64 // requests in its last load report; -1: none yet
	loadReportedAt time.Duration

	concurrencyLimit float64       // attempts that this initiator may have in flight here
	lastPressure     time.Duration // when a request for it last missed its objective or was deprioritized

	consecutiveFailures float64 // an error response counts for errorWeight
	// No attempt starts before ejectedUntil: an ejection after a failure, the pause after a rejection, or the
	// random pause that spreads the first requests after a start; 0: none.
	ejectedUntil time.Duration

	lastExtent    string // extent of the last attempt
	sequentialRun int    // number of attempts in a row for lastExtent

	recentlySent   unitHistory // attempts within the slow-start window
	recentlyServed unitHistory // those of them that succeeded
}

// newTarget returns a target of which nothing is known yet.
func newTarget(id string, now time.Duration) *target {
	return &target{
		Target:           Target{ID: id},
		concurrencyLimit: initialConcurrency,
		lastHeard:        now,
		reportedLoad:     -1,
	}
}

// removeInFlight notes that the request's attempt has ended.
func (t *target) removeInFlight(r *request) { t.inFlight = without(t.inFlight, r) }
