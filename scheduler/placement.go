package scheduler

// Placement of new objects, which any node may take.

import "math"

// place returns the lane for a request: its shard's, or for a new object the one of least expected wait.
func (s *Scheduler) selectQueue(r *request) *shardQueue {
	if r.Shard >= 0 || len(s.shardQueues) == 0 {
		return s.shardQueueFor(max(r.Shard, 0))
	}
	var best *shardQueue
	least, from := math.Inf(1), s.rng.IntN(len(s.shardQueues))
	for i := range s.shardQueues {
		l := s.shardQueues[(from+i)%len(s.shardQueues)]
		if w := s.expectedWait(l); best == nil || w < least {
			best, least = l, w
		}
	}
	return best
}

// wait estimates how long a request newly put in the lane would take.
func (s *Scheduler) expectedWait(l *shardQueue) float64 {
	n := l.target
	if n == nil {
		return math.Inf(1)
	}
	usual := n.smoothedLatency
	if usual == 0 { // no answer yet: it would take a connection more, of the few that a node holds
		usual = s.shortestObjective.Seconds()
	}
	w := usual * (1 + float64(len(l.queued)+len(n.inFlight))/n.concurrencyLimit)
	if s.isOutlier(n) || n.ejectedUntil > s.now {
		w += 100 * s.shortestObjective.Seconds()
	}
	if n.Started > 0 && s.now-n.Started < s.settings.SlowStart.Duration {
		w *= 4
	}
	return w
}

// replace moves held new objects away from lanes that have become much worse than the best.
func (s *Scheduler) migrateQueued() {
	for _, l := range s.shardQueues {
		for i := 0; i < len(l.queued); i++ {
			r := l.queued[i]
			if r.Shard >= 0 || r.mayHaveExecuted {
				continue
			}
			if to := s.selectQueue(r); to != l && 2*s.expectedWait(to) < s.expectedWait(l) {
				r.dequeue()
				to.enqueue(r)
				i--
			}
		}
	}
}
