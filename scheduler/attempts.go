package scheduler

// Attempts and final answers: the course of a request from its arrival to its one answer, retries included.

import (
	"container/heap"
	"time"
)

func (s *Scheduler) onRequest(e Request) {
	if s.requests[e.ID] != nil {
		return
	}
	s.firstAttempts = append(trimBefore(s.firstAttempts, s.now-s.settings.RetryBudget.Window), s.now)
	c, p := s.classes[e.Class], s.plans[e.Plan]
	if c == nil || p == nil || e.Timeout <= 0 {
		s.emit(Action{Kind: Reject, RequestID: e.ID})
		return
	}
	e.Timeout = min(e.Timeout, c.Deadline, s.shutdownDeadline-s.now) // nobody's patience is longer
	v := s.volumes[e.Volume]
	if v == nil {
		v = &volume{plan: p, initiators: float64(max(1, e.Initiators)),
			refilledAt: s.now, limitRefilledAt: s.now}
		v.tokens = s.sigma(v)
		s.volumes[e.Volume] = v
	}
	v.initiators = float64(max(1, e.Initiators))
	e.Units = max(e.Units, 0)
	r := &request{Request: e, class: c, volume: v, firstAskedAt: s.now, deadline: s.now + e.Timeout}
	r.answerBy = s.now + max(e.Timeout/2-4*s.settings.Tick, s.settings.Tick)
	r.objectiveAt = s.now + c.LatencyObjective
	waited := c.Deadline - e.Timeout
	if s.stall > 0 && waited < s.stall+s.shortestObjective/timersPerObjective {
		r.objectiveAt -= waited
	}
	// A later try of a client that this initiator turned away has spent part of its aim. It is known by
	// asking for the same, within the whole patience; a short budget alone may be an impatient client's.
	first := s.rejected[r.retryKey()]
	if first != nil && s.now+e.Timeout <= first.firstAskedAt+c.Deadline+2*s.settings.Tick {
		r.firstAskedAt, r.objectiveAt = first.firstAskedAt, first.firstAskedAt+c.LatencyObjective
		delete(s.rejected, r.retryKey())
	}
	r.objectiveAt = min(r.objectiveAt, r.deadline-2*s.settings.Tick)
	s.requests[r.ID] = r
	heap.Push(&s.deadlines, r)
	v.backlog++
	if c.Serialized && r.Extent != "" {
		k := s.serialQueues[r.Extent]
		if k == nil {
			k = &serialQueue{}
			s.serialQueues[r.Extent] = k
		}
		k.requests = append(k.requests, r)
	}
	r.queue = s.selectQueue(r)
	if r.objectiveAt <= s.now { // a later try of what was turned away, past its aim already
		r.pastObjective = true
		s.giveUp(r)
		return
	}
	s.assignTags(r, r.queue)
	r.queue.enqueue(r)
}

func (s *Scheduler) onAttemptEnded(e AttemptEnded) {
	r := s.requests[e.RequestID]
	if r == nil || r.inFlight == nil || e.Attempt != r.attempts-1 {
		return
	}
	n := r.inFlight
	s.recordResult(n, r, e)
	s.onLoadReport(n, e.LoadReport)
	n.inFlight = without(n.inFlight, r)
	r.inFlight = nil
	if e.Status == Succeeded {
		s.recordUsage(r.volume, r.Units, e.VolumeUsage)
	}
	doubt := e.Status == DeadlineExceeded || e.Status == ConnectionReset || e.Status == Cancelled
	if k := s.serialQueues[r.Extent]; k != nil && r.class.Serialized && doubt {
		k.settleUntil = max(k.settleUntil, s.now+s.settings.SettleTime)
	}
	if e.Status != ConnectFailed && e.Status != NotSent {
		// An attempt was written: its client is not held back for nothing.
		r.answerBy = r.deadline - 2*s.settings.Tick
	}
	if e.Status.MayHaveExecuted() && !r.mayHaveExecuted {
		r.mayHaveExecuted, r.executedZone, r.executedShard, r.executedSince = true, n.Zone, n.Shard, r.sentAt
	}
	switch {
	case r.answered:
		s.release(r)
	case e.Answered:
		s.finish(r)
	case s.now >= r.answerBy || !s.mayRetry(r):
		s.giveUp(r)
	default:
		if r.mayHaveExecuted && r.class.Idempotency == IdempotencyKey {
			r.answerBy = min(r.answerBy, r.executedSince+r.class.DedupWindow) // it could not be sent any more
		}
		// Further attempts wait a little longer each, the node's gate on top.
		r.notBefore = s.now + s.silenceTimeout(n)*time.Duration(r.attempts)/8
		r.queue.enqueue(r)
		if r.heapIndex >= 0 {
			heap.Fix(&s.deadlines, r.heapIndex)
		} else {
			heap.Push(&s.deadlines, r)
		}
	}
}

// onLeaving cuts the time of all requests, those to come included. An attempt that is out keeps its own:
// whoever drives the module calls it off in time, and its outcome brings the answer.
func (s *Scheduler) onShutdown(e Shutdown) {
	s.shutdownDeadline = s.now + e.Within
	for _, r := range s.requests {
		r.deadline = min(r.deadline, s.shutdownDeadline)
		r.answerBy = min(r.answerBy, r.deadline-2*s.settings.Tick)
		// One bound for all keeps the order of what is held.
		r.objectiveAt = min(r.objectiveAt, r.deadline-2*s.settings.Tick)
	}
	heap.Init(&s.deadlines)
}

// answer gives the final answer: a refusal where a client's retry is harmless, otherwise a failure.
func (s *Scheduler) giveUp(r *request) {
	kind, wait := Reject, time.Duration(0)
	if r.pastObjective {
		wait = r.deadline - s.now // a further try of the same ask would come too late for its aim
	} else if r.startTag > s.now {
		wait = r.startTag - s.now // the volume is ahead of its rate until then
	}
	if r.mayHaveExecuted && r.class.Idempotency != Idempotent &&
		!(r.class.Idempotency == IdempotencyKey && r.class.DedupScope == DedupEverywhere) {
		kind, wait = Fail, 0
	}
	s.emit(Action{Kind: kind, RequestID: r.ID, RetryAfter: wait})
	s.rejected[r.retryKey()] = r
	s.rejectedInOrder = append(s.rejectedInOrder, r)
	for old := s.rejectedInOrder[0]; s.now > old.firstAskedAt+old.class.Deadline; old = s.rejectedInOrder[0] {
		if s.rejected[old.retryKey()] == old {
			delete(s.rejected, old.retryKey())
		}
		if s.rejectedInOrder = s.rejectedInOrder[1:]; len(s.rejectedInOrder) == 0 {
			break
		}
	}
	s.finish(r)
}

// finish notes that the request has its final answer.
func (s *Scheduler) finish(r *request) {
	r.answered = true
	if r.heapIndex >= 0 {
		heap.Remove(&s.deadlines, r.heapIndex)
	}
	if r.inFlight == nil {
		r.dequeue()
		s.release(r)
	}
}

// forget drops a finished request that has no attempt out.
func (s *Scheduler) release(r *request) {
	delete(s.requests, r.ID)
	r.volume.backlog--
	k := s.serialQueues[r.Extent]
	if k == nil || !r.class.Serialized {
		return
	}
	k.requests = without(k.requests, r)
	if len(k.requests) == 0 && k.settleUntil <= s.now {
		delete(s.serialQueues, r.Extent)
	}
}

// answerDue ends the held requests whose client is about to leave, and those of which half the time is over
// without an attempt: what still comes of them earns next to nothing, and clients pay for being held back.
func (s *Scheduler) giveUpOverdue() {
	for len(s.deadlines) > 0 {
		r := s.deadlines[0]
		if r.answerBy > s.now {
			return
		}
		if r.inFlight != nil {
			// Its attempt was cut to end with the budget; the outcome brings the answer, or puts it back.
			heap.Pop(&s.deadlines)
			continue
		}
		s.giveUp(r)
	}
}

// setTimer asks to be woken when the next thing is due.
func (s *Scheduler) setTimer() {
	if s.nextPoll <= s.now {
		s.nextPoll = never
		s.emit(Action{Kind: WatchEndpoints})
	}
	next := s.nextPoll
	if len(s.deadlines) > 0 {
		next = min(next, s.deadlines[0].answerBy)
	}
	for _, l := range s.shardQueues {
		if len(l.queued) > 0 {
			next = min(next, l.wakeAt)
		}
	}
	s.nextWorkAt, next = next, min(next, s.now+s.shortestObjective/timersPerObjective)
	if next < s.timerAt {
		s.timerAt = next
		s.emit(Action{Kind: SetTimer, After: max(next-s.now, s.settings.Tick)})
	}
}
