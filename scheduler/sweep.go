package scheduler

import (
	"maps"
	"slices"
	"time"
)

// idleStateObjectives is the minimum time between sweeps, in shortest objectives. State that was idle for
// that long is removed.
const idleStateObjectives = 60

// sweep removes idle state periodically, so that memory does not grow with the number of volumes, extents
// and targets ever seen. If a removed volume returns, it starts with a full bucket, as after a
// synchronization point.
func (s *Scheduler) sweep() {
	if s.now-s.lastSweep <= idleStateObjectives*s.shortestObjective {
		return
	}
	since := s.lastSweep
	s.removeVolumes(func(v *volume) bool { return v.isIdle(since) })
	s.sweepShardQueues()
	maps.DeleteFunc(s.serialQueues, func(_ string, q *serialQueue) bool {
		return len(q.requests) == 0 && q.settleUntil < since
	})
	s.sweepTargets(since)
	s.lastSweep = s.now
}

// sweepShardQueues removes the empty queues of shards that no target serves.
func (s *Scheduler) sweepShardQueues() {
	s.shardQueues = slices.DeleteFunc(s.shardQueues, func(q *shardQueue) bool {
		isUnused := len(q.queued)+len(q.flows) == 0 && len(s.targetsByShard[q.shard]) == 0
		if isUnused {
			delete(s.queuesByShard, q.shard)
		}
		return isUnused
	})
}

// sweepTargets removes the idle targets that are no longer in the endpoint list.
func (s *Scheduler) sweepTargets(since time.Duration) {
	s.targets = slices.DeleteFunc(s.targets, func(t *target) bool {
		isGone := t.State == Removed && len(t.inFlight) == 0 && t.lastContact < since
		if isGone {
			delete(s.targetsByID, t.ID)
			s.targetsByShard.remove(t)
		}
		return isGone
	})
}
