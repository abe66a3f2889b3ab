package scheduler

import "time"

const (
	// minWatchBackoff and maxWatchBackoff bound the time between a failed request for the endpoint list
	// and the next request.
	minWatchBackoff = time.Second
	maxWatchBackoff = 8 * time.Second
)

// endpointWatcher decides when to request the endpoint list, unless the caller watches the list on its
// own. After the list was received, its changes follow without another request.
type endpointWatcher struct {
	enabled       bool
	nextRequestAt time.Duration // never: no request is needed
	backoff       time.Duration // from a failed request to the next
}

func newEndpointWatcher(enabled bool) endpointWatcher {
	watcher := endpointWatcher{enabled: enabled, nextRequestAt: never, backoff: minWatchBackoff}
	if enabled {
		watcher.nextRequestAt = 0
	}
	return watcher
}

// recordFailure schedules the next request. The backoff doubles with each consecutive failure.
func (w *endpointWatcher) recordFailure(now time.Duration) {
	if !w.enabled {
		return
	}
	w.nextRequestAt = now + w.backoff
	w.backoff = min(2*w.backoff, maxWatchBackoff)
}

// recordSuccess resets the backoff.
func (w *endpointWatcher) recordSuccess() { w.backoff = minWatchBackoff }

// startIfDue reports whether to request the list now. If so, it records the request as sent.
func (w *endpointWatcher) startIfDue(now time.Duration) bool {
	if w.nextRequestAt > now {
		return false
	}
	w.nextRequestAt = never
	return true
}

// onEndpointList applies the list. From then on, draining and removed targets get no attempts.
func (s *Scheduler) onEndpointList(list EndpointList) {
	if list.Failed {
		s.watcher.recordFailure(s.now)
		return
	}
	s.watcher.recordSuccess()
	for _, entry := range list.Targets {
		s.updateTarget(entry)
	}
	if list.Complete {
		s.markAbsentRemoved(list.Targets)
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

// onTargetRestart resets what was learned about the target's previous process.
func (s *Scheduler) onTargetRestart(t *target) {
	t.concurrencyLimit = recoveryConcurrency
	t.consecutiveFailures = 0
	t.smoothedLatency = 0
	if s.slowStart.oneRequestPerWindow {
		// A random delay of up to half a window spreads the first requests. Otherwise all initiators
		// would send what they have queued for the target at the moment of its start, and overload it so
		// that it fails.
		maxDelay := float64(s.slowStart.Window / 2)
		t.ejectedUntil = s.now + time.Duration(s.rng.Float64()*maxDelay)
	}
}

// markAbsentRemoved marks the targets that a complete list does not name as removed.
func (s *Scheduler) markAbsentRemoved(listed []Target) {
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

// assignTargets sets the target of each shard queue: of the serving targets, the one that started last.
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
