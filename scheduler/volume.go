package scheduler

import "time"

// volume is the unit of fair queuing: the requests of one volume share a token bucket.
type volume struct {
	plan        *Plan
	initiators  float64     // number of initiators that carry its requests
	backlog     int         // requests queued or in flight here
	bucket      tokenBucket // of fair queuing; may be negative
	limit       tokenBucket // of this initiator's part of the plan's limit
	reservation tokenBucket // units of the reservation not yet served here
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

// setInitiators notes how many initiators carry the volume; each request may carry a different count.
func (v *volume) setInitiators(count int) { v.initiators = float64(max(1, count)) }

// isIdle reports whether the volume has nothing queued or in flight, and no request has arrived or was served
// since then.
func (v *volume) isIdle(since time.Duration) bool {
	return v.backlog == 0 && v.bucket.refilledAt < since && v.usage.localAt < since
}

// tokenBucket counts units that may be used. Its rate and capacity change with time, so the caller passes
// them.
type tokenBucket struct {
	tokens     float64       // units
	refilledAt time.Duration // 0 in a new one, which has earned since time 0
}

func (b *tokenBucket) secondsSinceRefill(now time.Duration) float64 {
	return (now - b.refilledAt).Seconds()
}

// refill adds what was earned since the last refill, up to the capacity.
func (b *tokenBucket) refill(now time.Duration, earned, capacity float64) {
	b.tokens = min(capacity, b.tokens+earned)
	b.refilledAt = now
}

// fill sets the bucket to its capacity.
func (b *tokenBucket) fill(now time.Duration, capacity float64) {
	b.tokens = capacity
	b.refilledAt = now
}
