package scheduler

import "time"

// serialQueue holds the requests for one extent that run one at a time, in order of arrival.
type serialQueue struct {
	requests    []*request
	settleUntil time.Duration // no attempt before: the last one may still be running
}

// isSerialized reports whether the request shares a serial queue with others for its extent.
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

// leaveSerialQueue removes the request, and an empty queue unless its settle time still runs.
func (s *Scheduler) leaveSerialQueue(r *request) {
	q := s.serialQueues[r.Extent]
	if q == nil || !r.isSerialized() {
		return
	}
	q.requests = without(q.requests, r)
	if len(q.requests) == 0 && q.settleUntil <= s.now {
		delete(s.serialQueues, r.Extent)
	}
}

// orderAdmitAt keeps the requests of one serialized extent in order.
func (s *Scheduler) orderAdmitAt(r *request) time.Duration {
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
// Prevents: an attempt times out here, the target goes on with it, and the next request for the extent
// overtakes it. The settle time leaves the target time to finish.
func (s *Scheduler) settleExtent(r *request, status AttemptStatus) {
	q := s.serialQueues[r.Extent]
	if q == nil || !r.isSerialized() || !status.mayStillRun() {
		return
	}
	q.settleUntil = max(q.settleUntil, s.now+s.settings.SettleTime)
}
