package scheduler

import "math"

// minHighestPriority keeps divisions by the highest priority finite.
const minHighestPriority = 1e-9

// priority is the value of one unit of the request if it is served within its objective. It is the full
// weight while the volume's reservation has enough units left. Otherwise it is the weight times
// WithinShareFactor once the request is eligible. Until then, it is lower: the further away the start tag,
// the closer it is to the weight times BeyondShareFactor.
func (s *Scheduler) priority(r *request) float64 {
	weight := r.class.PriorityWeight * r.volume.plan.PriorityFactor
	if s.reservationCredit(r.volume) >= r.Units {
		return weight
	}
	withinShare := s.settings.WithinShareFactor
	if r.startTag <= s.now {
		return weight * withinShare
	}
	beyondShare := s.settings.BeyondShareFactor
	secondsUntilEligible := (r.startTag - s.now).Seconds()
	return weight * (beyondShare + (withinShare-beyondShare)/(1+secondsUntilEligible))
}

// reservationCredit is the number of units of the volume's reservation that are not used up yet. It is
// capped at one second of this initiator's share of the reservation plus one request of the largest size.
func (s *Scheduler) reservationCredit(v *volume) float64 {
	rate := v.plan.Reservation * s.rho(v) / max(v.plan.ProvisionedRate, minRate)
	earned := v.reservation.secondsSinceRefill(s.now) * rate
	v.reservation.refill(s.now, earned, rate+s.settings.MaxUnits)
	return v.reservation.tokens
}

// chargeReservation deducts the request's units from its volume's reservation.
func (s *Scheduler) chargeReservation(r *request) {
	r.volume.reservation.tokens = max(0, s.reservationCredit(r.volume)-r.Units)
}

// mustWaitForLowerLoad reports whether the request must wait until the load of the target is lower;
// expectedLatency is in seconds. The lower the priority of the request, the less load it tolerates.
//
// Tags order only the requests of this initiator. Without this rule, each of tens of initiators would add
// low-priority requests to a target where it has nothing in flight itself, and high-priority requests
// would wait behind all of these.
func (s *Scheduler) mustWaitForLowerLoad(r *request, t *target, expectedLatency float64) bool {
	relativePriority := s.priority(r) / max(s.highestPriority, minHighestPriority)
	tolerated := (s.shortestObjective.Seconds() - t.baseLatency) * math.Sqrt(relativePriority)
	return expectedLatency-t.baseLatency > max(tolerated, (idleLatencyFactor-1)*t.baseLatency)
}
