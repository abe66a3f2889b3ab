package scheduler

import (
	"maps"
	"slices"
	"time"
)

// maxVolumes limits the number of volumes with state, not counting those with a request. Clients that name a
// new volume in each request cannot make the process exceed its memory, and a synchronization point, which
// visits the volumes of its shard queue, stays cheap.
const maxVolumes = 8192

// volume is the state of one volume. Fair queuing shares the targets between volumes, each of which has
// its own token bucket.
type volume struct {
	plan        *Plan
	initiators  float64       // number of initiators that send its requests
	backlog     int           // number of its requests that are queued or in flight here
	lastUsed    time.Duration // arrival of its latest request
	bucket      tokenBucket   // for fair queuing; may be negative
	limit       tokenBucket   // for this initiator's share of the plan's limit
	reservation tokenBucket   // units of the reservation that are not used up yet
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

// evictVolumes removes the least recently used half of the volumes that have nothing queued or in flight. If
// such a volume returns, it starts with a full bucket, as after a sweep.
func (s *Scheduler) evictVolumes() {
	var lastUsed []time.Duration
	for _, v := range s.volumes {
		if v.backlog == 0 {
			lastUsed = append(lastUsed, v.lastUsed)
		}
	}
	if len(lastUsed) == 0 {
		return
	}
	slices.Sort(lastUsed)
	median := lastUsed[len(lastUsed)/2]
	s.removeVolumes(func(v *volume) bool { return v.backlog == 0 && v.lastUsed <= median })
}

// removeVolumes removes the volumes for which isRemoved returns true, and their flows. They must have nothing
// queued or in flight.
func (s *Scheduler) removeVolumes(isRemoved func(*volume) bool) {
	for _, q := range s.shardQueues {
		q.flows = slices.DeleteFunc(q.flows, func(f *flow) bool {
			if !isRemoved(f.volume) {
				return false
			}
			delete(q.flowsByVolume, f.volume)
			return true
		})
	}
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return isRemoved(v) })
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
