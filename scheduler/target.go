package scheduler

import "time"

// target is the state of one target: its entry in the endpoint list and what the scheduler has measured.
type target struct {
	Target
	listNumber int // how many targets had been listed when it was listed first, itself included
	inFlight   []*request

	// Latencies are in seconds and refer to a request of mean size.
	smoothedLatency float64 // moving average; 0: no response yet
	baseLatency     float64 // low quantile: the latency under little load
	// lastContact is the time of the last response, or of the last failure other than a timeout. At first
	// it is the time at which the target was listed.
	lastContact time.Duration

	reportedLoad   float64 // number of requests, from its last load report; -1: none yet
	loadReportedAt time.Duration

	concurrencyLimit float64       // number of attempts that this initiator may have in flight here
	lastPressure     time.Duration // when a request for it last missed its objective or was deprioritized

	consecutiveFailures float64 // an error response counts for errorWeight
	// No attempt starts before ejectedUntil: an ejection after failures, the pause after a rejection, or
	// the random delay that spreads the first requests after a start; 0: none.
	ejectedUntil time.Duration

	lastExtent    string // extent of the last attempt
	sequentialRun int    // number of consecutive attempts for lastExtent

	recentlySent   unitHistory // units sent within the slow-start window
	recentlyServed unitHistory // units served within the slow-start window
}

// newTarget returns the state of a target that is listed for the first time.
func newTarget(entry Target, listNumber int, now time.Duration) *target {
	return &target{
		Target:           Target{ID: entry.ID, Shard: entry.Shard},
		listNumber:       listNumber,
		concurrencyLimit: initialConcurrency,
		lastContact:      now,
		reportedLoad:     -1,
	}
}

// removeInFlight removes the request, whose attempt has ended, from the attempts in flight.
func (t *target) removeInFlight(r *request) { t.inFlight = removeRequest(t.inFlight, r) }
