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

	firstArrival time.Duration // arrival of the client's first try, as far as it is known
	objectiveAt  time.Duration // end of the latency objective
	deadline     time.Duration // when the client stops waiting
	answerBy     time.Duration // when it is given up, unless an attempt is in flight
	heapIndex    int           // index in the deadline heap; -1: not there

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
	answered   bool          // it has its response

	mayHaveExecuted bool
	firstExecution  execution // where it may have been executed first
}

// execution is where and since when a request may have been executed.
type execution struct {
	zone  string
	shard int
	since time.Duration
}

// retryKey is what the tries of one client have in common.
type retryKey struct {
	class, volume, extent string
	units                 float64
}

func (r *request) retryKey() retryKey {
	return retryKey{class: r.Class, volume: r.Volume, extent: r.Extent, units: r.Units}
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

// dedupEndsAt is when targets no longer drop repeats of the request, which may have been executed.
func (r *request) dedupEndsAt() time.Duration {
	return r.firstExecution.since + r.class.DedupWindow
}

// needsDedup reports whether another attempt is harmless only where targets drop it as a repeat.
func (r *request) needsDedup() bool {
	return r.mayHaveExecuted && r.class.Idempotency == IdempotencyKey
}

// isRepeatHarmless reports whether the client may send the request again, to any target and at any time.
func (r *request) isRepeatHarmless() bool {
	if !r.mayHaveExecuted || r.class.Idempotency == Idempotent {
		return true
	}
	return r.class.Idempotency == IdempotencyKey && r.class.DedupScope == DedupEverywhere
}

// without returns the list without the request.
func without(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
