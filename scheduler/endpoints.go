package scheduler

import (
	"slices"
	"time"
)

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
	changed := map[int]bool{}
	for _, entry := range list.Targets {
		t := s.updateTarget(entry, changed)
		if t.State == Serving && t.Shard >= 0 {
			s.shardQueueFor(t.Shard)
		}
	}
	if list.Complete {
		s.markAbsentRemoved(list.Targets, changed)
	}
	s.assignTargets(changed)
}

// updateTarget applies one entry of the list, and adds the shards that it concerns to changed.
func (s *Scheduler) updateTarget(entry Target, changed map[int]bool) *target {
	t := s.targetsByID[entry.ID]
	if t == nil {
		s.targetsListed++
		t = newTarget(entry, s.targetsListed, s.now)
		s.targetsByID[entry.ID] = t
		s.targets = append(s.targets, t)
		s.targetsByShard.add(t)
	}
	if entry.StartedAt != t.StartedAt && s.now-entry.StartedAt < s.slowStart.Duration {
		s.onTargetRestart(t)
	}
	changed[t.Shard] = true
	changed[entry.Shard] = true
	if entry.Shard != t.Shard {
		s.targetsByShard.remove(t)
		t.Shard = entry.Shard
		s.targetsByShard.add(t)
	}
	t.Target = entry
	return t
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

// markAbsentRemoved marks the targets that a complete list does not name as removed, and adds their shards
// to changed.
func (s *Scheduler) markAbsentRemoved(listed []Target, changed map[int]bool) {
	present := map[string]bool{}
	for _, entry := range listed {
		present[entry.ID] = true
	}
	for _, t := range s.targets {
		if !present[t.ID] {
			t.State = Removed
			changed[t.Shard] = true
		}
	}
}

// assignTargets sets the target of the queues whose shards have changed: of the shard's serving targets, the
// one that started last.
func (s *Scheduler) assignTargets(changed map[int]bool) {
	for shard := range changed {
		if q := s.queuesByShard[shard]; q != nil {
			q.target = s.targetsByShard.startedLast(shard)
		}
	}
}

// targetsByShard holds the targets of each shard, whatever their state. A change of the endpoint list thus
// costs as much as the targets of its shard, and not as all targets.
type targetsByShard map[int][]*target

func (m targetsByShard) add(t *target) { m[t.Shard] = append(m[t.Shard], t) }

func (m targetsByShard) remove(t *target) {
	rest := slices.DeleteFunc(m[t.Shard], func(other *target) bool { return other == t })
	if len(rest) == 0 {
		delete(m, t.Shard)
		return
	}
	m[t.Shard] = rest
}

// startedLast returns the serving target of the shard that started last, or nil. Of several that started at
// the same time, it is the one that was listed first.
func (m targetsByShard) startedLast(shard int) *target {
	var last *target
	for _, t := range m[shard] {
		if t.State == Serving && (last == nil || t.startsAfter(last)) {
			last = t
		}
	}
	return last
}

// startsAfter reports whether t started after the other target, or was listed before it if they started at
// the same time.
func (t *target) startsAfter(other *target) bool {
	if t.StartedAt != other.StartedAt {
		return t.StartedAt > other.StartedAt
	}
	return t.listNumber < other.listNumber
}
