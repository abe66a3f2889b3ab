package scheduler

import (
	"slices"
	"time"
)

// request is a queued or in-flight request. The scheduler keeps it until it needs no response any more
// and no attempt is in flight.
type request struct {
	Request
	class  *Class
	volume *volume
	queue  *shardQueue

	firstArrival    time.Duration // arrival of the first request if this is a client retry, otherwise its own
	objectiveEndsAt time.Duration // when its latency objective ends
	deadline        time.Duration // when the client stops waiting for this request
	giveUpAt        time.Duration // when it is given up unless an attempt is in flight
	heapIndex       int           // index in the giveUpHeap; -1: not in the heap

	startTag      time.Duration // see tags.go
	finishTag     time.Duration
	notBefore     time.Duration // end of the retry backoff; no attempt starts earlier
	pastObjective bool          // it can no longer be served within its objective
	deprioritized bool          // the target cannot serve all in time, and this one has the lowest priority

	attempts   int
	inFlight   *target       // target of the attempt in flight; nil: none
	sentAt     time.Duration // start of the last attempt
	loadAtSend float64       // load that the target had reported shortly before the last attempt; -1: unknown
	charged    bool          // its units have been taken from the volume's rate limit
	ended      bool          // no response is needed: the client has it or has closed its connection

	mayHaveExecuted bool
	firstExecution  execution // the first attempt that may have been executed
}

// execution records where a request may have been executed, and when that attempt was sent.
type execution struct {
	zone          string
	shard         int
	attemptSentAt time.Duration
}

// clientRetryKey holds the properties that a request and its client retries have in common.
type clientRetryKey struct {
	class          *Class
	volume, extent string
	units          float64
}

func (r *request) clientRetryKey() clientRetryKey {
	return clientRetryKey{class: r.class, volume: r.Volume, extent: r.Extent, units: r.Units}
}

// recordExecution records that the target may have executed the attempt that ended with this status.
func (r *request) recordExecution(t *target, status AttemptStatus) {
	if r.mayHaveExecuted || !status.MayHaveExecuted() {
		return
	}
	r.mayHaveExecuted = true
	r.firstExecution = execution{zone: t.Zone, shard: t.Shard, attemptSentAt: r.sentAt}
}

// removeRequest removes the request from the list, if present, and returns the list.
func removeRequest(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
