package scheduler

import "time"

// The terms of redemptive fair queuing (RFQ) as published:
//
//   - rho is the rate at which a volume's token bucket fills, in units per second; sigma is the bucket's
//     depth in units.
//   - The start tag of a request is the time from which it is eligible: its volume then is within its rate.
//   - The finish tag is the order in which eligible requests leave: the start tag plus the latency objective.
//   - A synchronization point is a moment at which a target has capacity and no request for it is eligible.
//     All tags of the shard shift to an earlier time by the least gap, so that the use of spare capacity is
//     not held against a volume later.

// rho is the volume's rate times the part of its service that this initiator does, in units per second.
func (s *Scheduler) rho(v *volume) float64 {
	return max(v.plan.ProvisionedRate*s.localShare(v), minRate)
}

// sigma is the volume's bucket depth: one second of its rate, and one request of the largest size, without
// which a bucket of a slow volume could never hold such a request. The rate is an even part, not that of rho:
// a burst may arrive here before the measured share shows it.
func (s *Scheduler) sigma(v *volume) float64 {
	return max(v.plan.Reservation, v.plan.ProvisionedRate)/v.initiators +
		max(s.settings.MaxUnits, s.settings.MeanUnits)
}

// assignTags sets the request's tags from the volume's bucket and the latest start tag of its flow.
func (s *Scheduler) assignTags(r *request, q *shardQueue) {
	v := r.volume
	f := q.flow(v)
	rho := s.rho(v)
	v.bucket.refill(s.now, v.bucket.secondsSinceRefill(s.now)*rho, s.sigma(v))
	switch {
	case v.bucket.tokens >= r.Units:
		r.startTag = s.now
	case v.bucket.tokens > 0:
		r.startTag = s.now + seconds((r.Units-v.bucket.tokens)/rho)
	default:
		r.startTag = max(f.maxStartTag, s.now) + seconds(r.Units/rho)
	}
	f.maxStartTag = r.startTag
	r.finishTag = r.startTag + (r.objectiveAt - s.now)
	v.bucket.tokens -= r.Units
}

// refundTag returns what a request took from its volume's bucket, since it cannot be served within its
// objective, and shifts the tags of the volume's later requests to an earlier time.
func (s *Scheduler) refundTag(r *request) {
	refund := seconds(r.Units / s.rho(r.volume))
	r.volume.bucket.tokens += r.Units
	for _, other := range r.queue.queued {
		if other.volume == r.volume && other.startTag > r.startTag {
			other.shiftTags(refund)
		}
	}
	r.queue.flow(r.volume).maxStartTag -= refund
}

// resynchronize is a synchronization point of the queue: all its tags shift to an earlier time by the gap,
// and its volumes with nothing queued or in flight at this initiator get a full bucket. The maxStartTag of
// a flow with nothing queued stays: none of its requests was shifted.
func (s *Scheduler) resynchronize(q *shardQueue, gap time.Duration) {
	for _, r := range q.queued {
		r.shiftTags(gap)
	}
	for _, f := range q.flows {
		if f.queued > 0 {
			f.maxStartTag -= gap
		}
		if f.volume.backlog == 0 {
			f.volume.bucket.fill(s.now, s.sigma(f.volume))
		}
	}
}

// shiftTags moves both tags to an earlier time.
func (r *request) shiftTags(by time.Duration) {
	r.startTag -= by
	r.finishTag -= by
}
