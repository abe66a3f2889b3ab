package scheduler

// Tagging: the start and finish tags that RFQ gives to requests, from the buckets of their volumes and the
// tags of their lane.

import (
	"math"
	"time"
)

const (
	// shareFloor is the least part of an even share that a host is taken to have. Double makes all even.
	minShareFraction = 0.5
	// meterFresh is how many periods a reading of use is believed. Half drops seldom ones, double lags.
	usageReportLifetime = 5
)

// rho is the rate at which the volume's bucket fills here: the plan's rate times this initiator's share of
// the volume's recent service, evenly while nothing fresh is known.
func (s *Scheduler) rho(v *volume) float64 {
	share := 1 / v.initiators
	if s.settings.UsageReportPeriod > 0 && v.globalRateAt > 0 &&
		s.now-v.globalRateAt < usageReportLifetime*s.settings.UsageReportPeriod && v.globalRate > 0 {
		share = min(1, max(minShareFraction/v.initiators, s.localServiceRate(v)/v.globalRate))
	}
	return max(v.plan.ProvisionedRate*share, 1e-3)
}

// sigma is the bucket's depth: a second of the reserve and one largest request, as worth is counted.
func (s *Scheduler) sigma(v *volume) float64 {
	return max(v.plan.Reservation, v.plan.ProvisionedRate)/v.initiators +
		max(s.settings.MaxUnits, s.settings.MeanUnits)
}

func (s *Scheduler) localServiceRate(v *volume) float64 {
	tau := 2 * s.settings.UsageReportPeriod.Seconds()
	return v.localRate * math.Exp(-(s.now-v.localRateAt).Seconds()/tau)
}

// meter notes own service and what the answer tells of the volume's service everywhere.
func (s *Scheduler) recordUsage(v *volume, units float64, used int) {
	if s.settings.UsageReportPeriod <= 0 {
		return
	}
	v.localRate, v.localRateAt = s.localServiceRate(v)+units/(2*s.settings.UsageReportPeriod.Seconds()), s.now
	if used > 0 {
		told := float64(used-1) / 100 * v.plan.ProvisionedRate
		if v.globalRateAt == 0 {
			v.globalRate = told
		}
		v.globalRate += (told - v.globalRate) * 0.3
		v.globalRateAt = s.now
	}
}

// tag gives the request its start and finish tag from the volume's bucket and the lane's tags.
func (s *Scheduler) assignTags(r *request, l *shardQueue) {
	v, f, rho := r.volume, l.flow(r.volume), s.rho(r.volume)
	v.tokens = min(s.sigma(v), v.tokens+(s.now-v.refilledAt).Seconds()*rho)
	v.refilledAt = s.now
	switch {
	case v.tokens >= r.Units:
		r.startTag = s.now
	case v.tokens > 0:
		r.startTag = s.now + seconds((r.Units-v.tokens)/rho)
	default:
		r.startTag = max(f.maxStartTag, s.now) + seconds(r.Units/rho)
	}
	f.maxStartTag = r.startTag
	r.finishTag = r.startTag + (r.objectiveAt - s.now)
	v.tokens -= r.Units
}

// untag gives back what a request drew that will not be served in time, so that it does not stand in
// the way of its volume's later ones.
func (s *Scheduler) refundTag(r *request) {
	f := r.queue.flow(r.volume)
	r.volume.tokens += r.Units
	back := seconds(r.Units / s.rho(r.volume))
	for _, q := range r.queue.queued {
		if q.volume == r.volume && q.startTag > r.startTag {
			q.startTag, q.finishTag = q.startTag-back, q.finishTag-back
		}
	}
	f.maxStartTag -= back
}

// sync is a synchronization point of the lane: room and nothing eligible. All tags of the lane shift
// back by the least gap, and volumes of the lane with no backlog at this initiator refill.
func (s *Scheduler) resynchronize(l *shardQueue, gap time.Duration) {
	for _, r := range l.queued {
		r.startTag, r.finishTag = r.startTag-gap, r.finishTag-gap
	}
	for _, f := range l.flows {
		if f.queued > 0 {
			f.maxStartTag -= gap
		}
		if f.volume.backlog == 0 {
			f.volume.tokens, f.volume.refilledAt = s.sigma(f.volume), s.now
		}
	}
}
