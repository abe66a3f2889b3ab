package scheduler

import "time"

// serialQueue holds the requests for one extent that run one at a time, in order of arrival.
type serialQueue struct {
	requests    []*request
	settleUntil time.Duration // no attempt starts earlier, since the last one may still be running
}

// isSerialized reports whether the request must run in order with others for its extent.
func (r *request) isSerialized() bool { return r.class.Serialized && r.Extent != "" }

// joinSerialQueue adds the request to the serial queue of its extent, if it is serialized.
func (s *Scheduler) joinSerialQueue(r *request) {
	if !r.isSerialized() {
		return
	}
	q := s.serialQueues[r.Extent]
	if q == nil {
		q = &serialQueue{}
		s.serialQueues[r.Extent] = q
	}
	q.requests = append(q.requests, r)
}

// leaveSerialQueue removes the request from its serial queue. It removes the queue if that is empty and
// its settle time is over.
func (s *Scheduler) leaveSerialQueue(r *request) {
	q := s.serialQueues[r.Extent]
	if q == nil || !r.isSerialized() {
		return
	}
	q.requests = removeRequest(q.requests, r)
	if len(q.requests) == 0 && q.settleUntil <= s.now {
		delete(s.serialQueues, r.Extent)
	}
}

// serialAdmissionTime returns the time from which the request may start, so that requests for a
// serialized extent run in order. While an earlier request for the extent has not ended, it returns the
// constant never.
func (s *Scheduler) serialAdmissionTime(r *request) time.Duration {
	q := s.serialQueues[r.Extent]
	if q == nil || !r.isSerialized() {
		return 0
	}
	if q.requests[0] != r {
		return never
	}
	return q.settleUntil
}

// settleExtent delays the next request for the extent after an attempt that may still be running.
//
// An attempt can time out here while the target continues with it. The settle time lets the target
// finish, so that the next request for the extent does not overtake it.
func (s *Scheduler) settleExtent(r *request, status AttemptStatus) {
	q := s.serialQueues[r.Extent]
	if q == nil || !r.isSerialized() || !status.mayStillRun() {
		return
	}
	q.settleUntil = max(q.settleUntil, s.now+s.settings.SettleTime)
}
