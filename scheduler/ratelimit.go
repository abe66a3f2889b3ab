package scheduler

import "time"

// rateLimitAdmissionTime returns when the request may start, so that its volume stays within this
// initiator's equal share of the plan's limit. The bucket is empty at first, since a restarted initiator
// does not know what it has charged before.
func (s *Scheduler) rateLimitAdmissionTime(r *request) time.Duration {
	v := r.volume
	if v.plan.Limit <= 0 || r.charged {
		return 0
	}
	earned := v.limit.secondsSinceRefill(s.now) * v.plan.Limit / v.initiators
	v.limit.refill(s.now, earned, v.plan.BurstCapacity/v.initiators)
	if v.limit.tokens >= r.Units {
		return 0
	}
	missing := r.Units - v.limit.tokens
	return s.now + seconds(missing*v.initiators/v.plan.Limit) + s.settings.Tick
}

// chargeRateLimit deducts the request's units from the volume's rate limit, at the first attempt only.
func (r *request) chargeRateLimit() {
	if r.charged {
		return
	}
	r.charged = true
	r.volume.limit.tokens -= r.Units
}
