package scheduler

import "math"

// minHighestPriority keeps a division by the highest priority finite.
const minHighestPriority = 1e-9

// priority is what a unit of the request earns if served within the objective: the full weight while
// the volume's reservation has units left, the within-share part from its start tag on, and less the longer
// it is until then.
func (s *Scheduler) priority(r *request) float64 {
	weight := r.class.PriorityWeight * r.volume.plan.PriorityFactor
	if s.reservationCredit(r.volume) >= r.Units {
		return weight
	}
	within := s.settings.WithinShareFactor
	if r.startTag <= s.now {
		return weight * within
	}
	beyond := s.settings.BeyondShareFactor
	secondsAhead := (r.startTag - s.now).Seconds()
	return weight * (beyond + (within-beyond)/(1+secondsAhead))
}

// reservationCredit is the number of units of the volume's reservation that are not yet served here: one
// second of this initiator's part of it, and one request of the largest size, at most.
func (s *Scheduler) reservationCredit(v *volume) float64 {
	rate := v.plan.Reservation * s.rho(v) / max(v.plan.ProvisionedRate, minRate)
	earned := v.reservation.secondsSinceRefill(s.now) * rate
	v.reservation.refill(s.now, earned, rate+s.settings.MaxUnits)
	return v.reservation.tokens
}

// chargeReservation takes the request's units from its volume's reservation.
func (s *Scheduler) chargeReservation(r *request) {
	r.volume.reservation.tokens = max(0, s.reservationCredit(r.volume)-r.Units)
}

// waitsForLessLoad reports whether the request waits until the target has less load; expectedLatency is in
// seconds. The lower its priority, the less load it may meet.
//
// Prevents: with tens of initiators, each adds low-priority requests to a target where it has nothing in
// flight itself, and requests of high priority wait behind them. No tag of this initiator orders the requests
// of the others, so it holds its own back while the target has load.
func (s *Scheduler) waitsForLessLoad(r *request, t *target, expectedLatency float64) bool {
	relativePriority := s.priority(r) / max(s.highestPriority, minHighestPriority)
	tolerated := (s.shortestObjective.Seconds() - t.baseLatency) * math.Sqrt(relativePriority)
	return expectedLatency-t.baseLatency > max(tolerated, (idleLatencyFactor-1)*t.baseLatency)
}
