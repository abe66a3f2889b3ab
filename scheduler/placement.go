package scheduler

import "math"

const (
	// migrationFactor is how many times shorter the expected wait at another shard must be for a queued
	// request to move there.
	migrationFactor = 2
	// slowStartWaitFactor multiplies the expected wait at a target in slow start.
	slowStartWaitFactor = 4
	// outlierPenaltyObjectives is added to the expected wait at an outlier or ejected target, in shortest
	// objectives, so that any other target is preferred.
	outlierPenaltyObjectives = 100
)

// selectQueue returns the queue of the request's shard or, for a new object, the queue with the shortest
// expected wait. While no shard is known, it returns the queue of shard 0.
func (s *Scheduler) selectQueue(r *request) *shardQueue {
	if r.Shard >= 0 || len(s.shardQueues) == 0 {
		return s.shardQueueFor(max(r.Shard, 0))
	}
	s.computeWaits()
	return s.shardQueues[s.shortestWait()]
}

// computeWaits sets the expected wait of each shard queue.
func (s *Scheduler) computeWaits() {
	s.waits = s.waits[:0]
	for _, q := range s.shardQueues {
		s.waits = append(s.waits, s.expectedWait(q))
	}
}

// shortestWait returns the index of the queue with the shortest expected wait, by the last computeWaits. The
// search starts at a random queue, so that equally good queues are used evenly.
func (s *Scheduler) shortestWait() int {
	first := s.rng.IntN(len(s.waits))
	best := first
	for i := first + 1; i < len(s.waits); i++ {
		if s.waits[i] < s.waits[best] {
			best = i
		}
	}
	for i := range first {
		if s.waits[i] < s.waits[best] {
			best = i
		}
	}
	return best
}

// expectedWait is the time, in seconds, until a request that joins the queue now would be served.
func (s *Scheduler) expectedWait(q *shardQueue) float64 {
	t := q.target
	if t == nil {
		return math.Inf(1)
	}
	latency := t.smoothedLatency
	if latency == 0 {
		// An unknown latency counts as a whole objective, so that targets that have responded are
		// preferred. Otherwise each new object would go to another target without a known latency, and
		// take up one of the few connections that a target accepts.
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

// migrateQueued moves queued new objects away from shards whose expected wait has become much longer than
// that of the best shard. A request that may have been executed stays, because it may be stored there
// already. A request that moves keeps its tags, because its units were already charged to the volume,
// whose bucket is common to all shards.
func (s *Scheduler) migrateQueued() {
	hasWaits := false
	for from, q := range s.shardQueues {
		for i := 0; i < len(q.queued); i++ {
			r := q.queued[i]
			if r.Shard >= 0 || r.mayHaveExecuted {
				continue
			}
			if !hasWaits {
				s.computeWaits() // once a step: with many targets it costs more than all else
				hasWaits = true
			}
			to := s.shortestWait()
			if to != from && migrationFactor*s.waits[to] < s.waits[from] {
				r.dequeue()
				s.shardQueues[to].enqueue(r)
				s.waits[from] = s.expectedWait(q)
				s.waits[to] = s.expectedWait(s.shardQueues[to])
				i--
			}
		}
	}
}
