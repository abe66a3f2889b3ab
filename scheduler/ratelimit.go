package scheduler

import "time"

// rateLimitAdmitAt keeps a volume within this initiator's even part of its plan's limit. The bucket is
// empty at first, since an initiator that was restarted does not know what it has charged before.
func (s *Scheduler) rateLimitAdmitAt(r *request) time.Duration {
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

// chargeRateLimit takes the request's units from the volume's limit, at its first attempt alone.
func (r *request) chargeRateLimit() {
	if r.charged {
		return
	}
	r.charged = true
	r.volume.limit.tokens -= r.Units
}
