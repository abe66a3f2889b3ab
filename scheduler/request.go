package scheduler

import (
	"slices"
	"time"
)

// request is a request that is queued or in flight. It is known until it has its response and no attempt is
// in flight.
type request struct {
	Request
	class  *Class
	volume *volume
	queue  *shardQueue

	firstArrival time.Duration // arrival of the first request, if this is a client retry; else its own
	objectiveAt  time.Duration // end of the latency objective
	deadline     time.Duration // when the client stops waiting for this request
	giveUpAt     time.Duration // when it is given up, unless an attempt is in flight
	heapIndex    int           // index in the giveUpHeap; -1: not there

	startTag      time.Duration // see tags.go
	finishTag     time.Duration
	notBefore     time.Duration // backoff: no attempt before
	pastObjective bool          // it can no longer be served within its objective
	deprioritized bool          // its target cannot serve all in time, and this one has the least priority

	attempts   int
	inFlight   *target       // target of the attempt in flight; nil: none
	sentAt     time.Duration // start of the last attempt
	loadAtSend float64       // load that the target reported shortly before the last attempt; -1: not known
	charged    bool          // its units were taken from the volume's rate limit
	answered   bool          // no response is needed: the client has it, or has closed

	mayHaveExecuted bool
	firstExecution  execution // where it may have been executed first
}

// execution is where and since when a request may have been executed.
type execution struct {
	zone  string
	shard int
	since time.Duration
}

// clientRetryKey is what a request and its client retries have in common.
type clientRetryKey struct {
	class, volume, extent string
	units                 float64
}

func (r *request) clientRetryKey() clientRetryKey {
	return clientRetryKey{class: r.Class, volume: r.Volume, extent: r.Extent, units: r.Units}
}

// recordExecution notes that the attempt, which ended with this status, may have been executed by the
// target.
func (r *request) recordExecution(t *target, status AttemptStatus) {
	if r.mayHaveExecuted || !status.MayHaveExecuted() {
		return
	}
	r.mayHaveExecuted = true
	r.firstExecution = execution{zone: t.Zone, shard: t.Shard, since: r.sentAt}
}

// without returns the list without the request.
func without(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
