package scheduler

import "math"

const (
	// migrationFactor is how many times shorter the wait at another shard must be for a queued request to
	// move.
	migrationFactor = 2
	// slowStartWaitFactor multiplies the expected wait at a target in slow start.
	slowStartWaitFactor = 4
	// outlierPenaltyObjectives is added to the expected wait at an outlier or ejected target, in shortest
	// objectives, so that any other target comes before it.
	outlierPenaltyObjectives = 100
)

// selectQueue returns the queue of the request's shard, or for a new object the one with the least expected
// wait. The search starts at a random queue, so that equal ones are used alike. While no shard is known it
// is that of shard 0.
func (s *Scheduler) selectQueue(r *request) *shardQueue {
	if r.Shard >= 0 || len(s.shardQueues) == 0 {
		return s.shardQueueFor(max(r.Shard, 0))
	}
	var best *shardQueue
	leastWait := math.Inf(1)
	first := s.rng.IntN(len(s.shardQueues))
	for i := range s.shardQueues {
		q := s.shardQueues[(first+i)%len(s.shardQueues)]
		if wait := s.expectedWait(q); best == nil || wait < leastWait {
			best = q
			leastWait = wait
		}
	}
	return best
}

// expectedWait is how long a request newly put into the queue would take, in seconds.
func (s *Scheduler) expectedWait(q *shardQueue) float64 {
	t := q.target
	if t == nil {
		return math.Inf(1)
	}
	latency := t.smoothedLatency
	if latency == 0 {
		// Prevents: each new object goes to one more target without a known latency, and takes up one of
		// the few connections that a target holds. An unknown latency counts as a whole objective, so
		// targets that have answered come first.
		latency = s.shortestObjective.Seconds()
	}
	wait := latency * (1 + float64(len(q.queued)+len(t.inFlight))/t.concurrencyLimit)
	if s.isOutlier(t) || t.ejectedUntil > s.now {
		wait += outlierPenaltyObjectives * s.shortestObjective.Seconds()
	}
	if s.slowStart.isInSlowStart(t, s.now) {
		wait *= slowStartWaitFactor
	}
	return wait
}

// migrateQueued moves queued new objects away from shards that have become much worse than the best. A
// request keeps its tags: its units were charged to the volume, whose bucket all shards share, once.
func (s *Scheduler) migrateQueued() {
	for _, q := range s.shardQueues {
		for i := 0; i < len(q.queued); i++ {
			r := q.queued[i]
			if r.Shard >= 0 || r.mayHaveExecuted {
				continue
			}
			better := s.selectQueue(r)
			if better != q && migrationFactor*s.expectedWait(better) < s.expectedWait(q) {
				r.dequeue()
				better.enqueue(r)
				i--
			}
		}
	}
}
