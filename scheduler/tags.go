package scheduler

import "time"

// Terms of redemptive fair queuing (RFQ), as in the paper:
//
//   - rho is the rate at which the token bucket of a volume fills, in units per second. sigma is the depth of
//     the bucket, in units.
//   - The start tag of a request is the time from which it is eligible, which means that its volume is
//     within its rate.
//   - The finish tag is the start tag plus the latency objective. Eligible requests are sent in order of
//     their finish tags.
//   - A synchronization point is a moment at which a target has capacity and no request for it is eligible.
//     All tags of the shard then shift to an earlier time by the smallest gap, so that a volume is not
//     penalized later for its use of spare capacity.

// rho is the volume's provisioned rate times this initiator's share of its service, in units per second.
func (s *Scheduler) rho(v *volume) float64 {
	return max(v.plan.ProvisionedRate*s.localShare(v), minRate)
}

// sigma is the depth of the volume's bucket: one second of its rate plus one request of the largest size,
// since otherwise the bucket of a slow volume could never hold such a request. The rate is the
// provisioned rate, or the reservation if that is higher. It is divided equally among the initiators,
// unlike that of rho: a burst may arrive here before the measured share reflects it.
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
	r.finishTag = r.startTag + (r.objectiveEndsAt - s.now)
	v.bucket.tokens -= r.Units
}

// refundTokens returns the request's units to its volume's bucket because it cannot be served within its
// objective, and shifts the tags of the volume's later requests in the queue to an earlier time.
func (s *Scheduler) refundTokens(r *request) {
	refund := seconds(r.Units / s.rho(r.volume))
	r.volume.bucket.tokens += r.Units
	for _, other := range r.queue.queued {
		if other.volume == r.volume && other.startTag > r.startTag {
			other.shiftTags(refund)
		}
	}
	r.queue.flow(r.volume).maxStartTag -= refund
}

// resynchronize performs a synchronization point of the queue: it shifts all its tags to an earlier time
// by the gap, and fills the buckets of its volumes that have nothing queued or in flight at this
// initiator. The maxStartTag of a flow with nothing queued stays the same, since none of its requests was
// shifted.
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
