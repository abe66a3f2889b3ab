package scheduler

// Release: which held request leaves next, and when its node has room for it.

import "math"

const (
	// runLength bounds a run on one extent. Half saves less work, double passes others' deadlines.
	maxSequentialRun = 6
	// idleRise is how near to its base a node must answer to get late work. At 1.2 it crowds out timely work.
	idleLatencyFactor = 1.05
)

// releaseLane sends while the lane's node has room.
func (s *Scheduler) dispatchQueue(l *shardQueue) {
	l.wakeAt = never
	for l.target != nil && len(l.queued) > 0 {
		room := s.hasCapacity(l.target, 0)
		if !room && !s.hasCapacity(l.target, maxSequentialRun-1) {
			return
		}
		r := s.selectNext(l, room)
		if r == nil {
			return
		}
		s.send(r, l)
	}
}

// pick returns what leaves next: of what can make its aim the eligible request of least finish tag, or one of
// the last extent; at a synchronization point the next to become eligible; on an idle node a late one.
func (s *Scheduler) selectNext(l *shardQueue, room bool) *request {
	n := l.target
	var best, ahead, late, aside, follow *request
	s.collectEligible(l)
	for _, r := range s.eligible {
		switch {
		case r.pastObjective:
			if late == nil || r.finishTag < late.finishTag {
				late = r
			}
		case r.deprioritized:
			if aside == nil || s.priority(r) > s.priority(aside) {
				aside = r
			}
		case r.startTag > s.now:
			if ahead == nil || r.startTag < ahead.startTag ||
				r.startTag == ahead.startTag && r.finishTag < ahead.finishTag {
				ahead = r
			}
		default:
			if best == nil || r.finishTag < best.finishTag {
				best = r
			}
			same := r.Extent != "" && r.Extent == n.lastExtent && r.attempts == 0
			if same && (follow == nil || r.finishTag < follow.finishTag) {
				follow = r
			}
		}
	}
	switch {
	case follow != nil && n.sequentialRun < maxSequentialRun:
		return follow
	case !room:
		return nil
	case best != nil:
		return best
	case ahead != nil:
		s.resynchronize(l, ahead.startTag-s.now)
		return ahead
	case aside != nil && len(n.inFlight) == 0:
		return aside
	case late != nil && len(n.inFlight) == 0 && s.expectedLatency(n) < idleLatencyFactor*n.baseLatency:
		return late
	}
	return nil
}

// sift fills ready with the requests that the gate lets through. One that can no longer make its aim is
// late; where the rest cannot all make it, those that earn least for a unit are set aside for now: earliest
// deadline first would serve each just too late. It harms where the latency is judged too high.
func (s *Scheduler) collectEligible(l *shardQueue) {
	n := l.target
	s.eligible = s.eligible[:0]
	usual := s.expectedLatency(n)
	work, each := 0.0, usual/n.concurrencyLimit/s.settings.MeanUnits
	for _, r := range l.queued { // in order of aim
		if wait := s.admitAt(r, l); wait > s.now {
			l.wakeAt = min(l.wakeAt, wait)
			continue
		}
		s.eligible = append(s.eligible, r)
		r.deprioritized = false
		alone := s.now + seconds(usual*s.relativeSize(r.Units))
		if !r.pastObjective && s.now+seconds(n.baseLatency*s.relativeSize(r.Units)) > r.objectiveAt {
			r.pastObjective, n.lastPressure = true, s.now
			s.refundTag(r)
		}
		if r.pastObjective {
			continue
		}
		// The less it earns, the emptier its node must be: what waits there is mostly others', which no tag
		// here orders. It guards all hosts' dear requests; a latency judged too high holds cheap ones back.
		bar := (s.shortestObjective.Seconds() - n.baseLatency) *
			math.Sqrt(s.priority(r)/max(s.highestWeight, 1e-9))
		if usual-n.baseLatency > max(bar, (idleLatencyFactor-1)*n.baseLatency) {
			s.eligible = s.eligible[:len(s.eligible)-1]
			l.wakeAt = min(l.wakeAt, s.now+s.shortestObjective/4)
			continue
		}
		work += r.Units
		for alone+seconds((work-r.Units)*each) > r.objectiveAt && !r.deprioritized {
			least := r
			for _, q := range s.eligible {
				if !q.pastObjective && !q.deprioritized && s.priority(q) < s.priority(least) {
					least = q
				}
			}
			least.deprioritized, n.lastPressure = true, s.now
			work -= least.Units
		}
	}
}

// size is how much longer than a mean request one of so many units takes.
func (s *Scheduler) relativeSize(units float64) float64 { return (1 + units/s.settings.MeanUnits) / 2 }

// value is what a unit of the request earns: full while its volume's reserve is owed, the share's part
// where its start tag says so, and less the further it is ahead.
func (s *Scheduler) priority(r *request) float64 {
	v := r.class.PriorityWeight * r.volume.plan.PriorityFactor
	switch {
	case s.reservationCredit(r.volume) >= r.Units:
		return v
	case r.startTag <= s.now:
		return v * s.settings.WithinShareFactor
	}
	beyond, within := s.settings.BeyondShareFactor, s.settings.WithinShareFactor
	return v * (beyond + (within-beyond)/(1+(r.startTag-s.now).Seconds()))
}

// owed refills and returns what of its reserve the volume may still have served at full worth here.
func (s *Scheduler) reservationCredit(v *volume) float64 {
	rate := v.plan.Reservation * s.rho(v) / max(v.plan.ProvisionedRate, 1e-3)
	v.reservationCredit = min(rate+s.settings.MaxUnits,
		v.reservationCredit+(s.now-v.reservationCreditAt).Seconds()*rate)
	v.reservationCreditAt = s.now
	return v.reservationCredit
}

// room tells whether the node may have another attempt out now, extra of them past the bound. An attempt
// overdue far beyond the usual no longer holds its slot: it was lost, or nothing else would get through.
func (s *Scheduler) hasCapacity(n *target, extra int) bool {
	fresh := 0
	for _, r := range n.inFlight {
		if s.now-r.sentAt < s.silenceTimeout(n) {
			fresh++
		}
	}
	if s.isOutlier(n) {
		return fresh == 0
	}
	return float64(fresh) < math.Floor(n.concurrencyLimit)+float64(extra)
}

// send is the only way out: it sends r to the lane's node.
func (s *Scheduler) send(r *request, l *shardQueue) {
	n := l.target
	r.dequeue()
	if n.lastExtent == r.Extent {
		n.sequentialRun++
	} else {
		n.lastExtent, n.sequentialRun = r.Extent, 1
	}
	if r.attempts > 0 {
		since := s.now - s.settings.RetryBudget.Window - 2*s.settings.Tick
		s.retries = append(trimBefore(s.retries, since), s.now)
	} else {
		r.volume.reservationCredit = max(0, s.reservationCredit(r.volume)-r.Units)
	}
	if !r.charged {
		r.volume.limitTokens, r.charged = r.volume.limitTokens-r.Units, true
	}
	if s.settings.SlowStart.Window > 0 {
		n.recentlySent = append(n.recentlySent, unitSample{s.now, r.Units})
	}
	r.attempts++
	r.inFlight, r.sentAt, r.loadAtSend = n, s.now, -1
	if s.now-n.loadReportedAt < s.shortestObjective/2 {
		r.loadAtSend = n.reportedLoad
	}
	n.inFlight = append(n.inFlight, r)
	wait := s.attemptTimeout(n, r)
	a := Action{Kind: Send, RequestID: r.ID, Target: n.ID,
		Timeout: min(wait, max(r.deadline-s.now, s.settings.Tick))}
	if r.mayHaveExecuted && r.class.Idempotency == IdempotencyKey {
		// Its connection may take longer to come up than the repeat may wait.
		a.StartWithin = r.executedSince + r.class.DedupWindow - s.now
	}
	s.emit(a)
}
