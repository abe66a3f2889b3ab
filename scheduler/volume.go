package scheduler

import "time"

// volume is the state of one volume. Fair queuing shares the targets between volumes, each of which has
// its own token bucket.
type volume struct {
	plan        *Plan
	initiators  float64     // number of initiators that send its requests
	backlog     int         // number of its requests that are queued or in flight here
	bucket      tokenBucket // for fair queuing; may be negative
	limit       tokenBucket // for this initiator's share of the plan's limit
	reservation tokenBucket // units of the reservation that are not used up yet
	usage       serviceRates
}

// newVolume returns a volume with a full bucket for fair queuing and an empty one for the rate limit.
func (s *Scheduler) newVolume(plan *Plan, initiators int) *volume {
	v := &volume{plan: plan}
	v.setInitiators(initiators)
	v.bucket = tokenBucket{tokens: s.sigma(v), refilledAt: s.now}
	v.limit.refilledAt = s.now
	return v
}

// setInitiators sets the number of initiators of the volume. Each request may carry a different number.
func (v *volume) setInitiators(count int) { v.initiators = float64(max(1, count)) }

// isIdle reports whether the volume has nothing queued or in flight, and since the given time its bucket
// was not refilled and none of its requests was served.
func (v *volume) isIdle(since time.Duration) bool {
	return v.backlog == 0 && v.bucket.refilledAt < since && v.usage.localAt < since
}

// tokenBucket counts the units that may be used. Its rate and capacity change over time, so the caller
// passes what was earned and the capacity.
type tokenBucket struct {
	tokens     float64       // units
	refilledAt time.Duration // 0 in a new bucket, which has earned tokens since time 0
}

func (b *tokenBucket) secondsSinceRefill(now time.Duration) float64 {
	return (now - b.refilledAt).Seconds()
}

// refill adds the tokens earned since the last refill, up to the capacity.
func (b *tokenBucket) refill(now time.Duration, earned, capacity float64) {
	b.tokens = min(capacity, b.tokens+earned)
	b.refilledAt = now
}

// fill sets the bucket to its capacity.
func (b *tokenBucket) fill(now time.Duration, capacity float64) {
	b.tokens = capacity
	b.refilledAt = now
}
