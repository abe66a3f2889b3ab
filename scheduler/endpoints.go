package scheduler

import "time"

const (
	// minPollBackoff and maxPollBackoff bound the time between a failed poll of the endpoint list and the
	// next.
	minPollBackoff = time.Second
	maxPollBackoff = 8 * time.Second
)

// endpointPoller decides when the endpoint list is requested, where the caller does not watch it by itself.
// Once the list was received, its changes follow without a further poll.
type endpointPoller struct {
	enabled  bool
	nextPoll time.Duration // never: no poll is needed
	backoff  time.Duration // from a failed poll to the next
}

func newEndpointPoller(enabled bool) endpointPoller {
	poller := endpointPoller{enabled: enabled, nextPoll: never, backoff: minPollBackoff}
	if enabled {
		poller.nextPoll = 0
	}
	return poller
}

// recordFailure plans the next poll. The backoff doubles with each failure in a row.
func (p *endpointPoller) recordFailure(now time.Duration) {
	if !p.enabled {
		return
	}
	p.nextPoll = now + p.backoff
	p.backoff = min(2*p.backoff, maxPollBackoff)
}

// recordSuccess resets the backoff.
func (p *endpointPoller) recordSuccess() { p.backoff = minPollBackoff }

// takeDue reports whether to poll now, and notes the poll as sent.
func (p *endpointPoller) takeDue(now time.Duration) bool {
	if p.nextPoll > now {
		return false
	}
	p.nextPoll = never
	return true
}

// onEndpointList applies the list. A draining or removed target gets no attempt from that moment on.
func (s *Scheduler) onEndpointList(list EndpointList) {
	if list.Failed {
		s.poller.recordFailure(s.now)
		return
	}
	s.poller.recordSuccess()
	for _, entry := range list.Targets {
		s.updateTarget(entry)
	}
	if list.Complete {
		s.removeAbsent(list.Targets)
	}
	s.assignTargets()
}

// updateTarget applies one entry of the list.
func (s *Scheduler) updateTarget(entry Target) {
	t := s.targetsByID[entry.ID]
	if t == nil {
		t = newTarget(entry.ID, s.now)
		s.targetsByID[entry.ID] = t
		s.targets = append(s.targets, t)
	}
	if entry.StartedAt != t.StartedAt && s.now-entry.StartedAt < s.slowStart.Duration {
		s.onTargetRestart(t)
	}
	t.Target = entry
}

// onTargetRestart resets what was learned of the target's former process.
func (s *Scheduler) onTargetRestart(t *target) {
	t.concurrencyLimit = recoveryConcurrency
	t.consecutiveFailures = 0
	t.smoothedLatency = 0
	if s.slowStart.oneRequestPerWindow {
		// Prevents: all initiators send what they have queued for the target at the moment of its start,
		// and it is overloaded and fails. Each initiator waits for a random part of half a window, which
		// spreads the first requests.
		spread := float64(s.slowStart.Window / 2)
		t.ejectedUntil = s.now + time.Duration(s.rng.Float64()*spread)
	}
}

// removeAbsent marks the targets that a complete list does not name.
func (s *Scheduler) removeAbsent(listed []Target) {
	present := map[string]bool{}
	for _, entry := range listed {
		present[entry.ID] = true
	}
	for _, t := range s.targets {
		if !present[t.ID] {
			t.State = Removed
		}
	}
}

// assignTargets sets the target of each shard queue: the serving one that started last.
func (s *Scheduler) assignTargets() {
	for _, t := range s.targets {
		if t.State == Serving && t.Shard >= 0 {
			s.shardQueueFor(t.Shard)
		}
	}
	for _, q := range s.shardQueues {
		q.target = nil
		for _, t := range s.targets {
			if t.Shard == q.shard && t.State == Serving &&
				(q.target == nil || t.StartedAt > q.target.StartedAt) {
				q.target = t
			}
		}
	}
}
