package scheduler

// Guards of the rules: order, slow start, the retry budget and the plans' limits. Every send passes the gate.

import "time"

// gate is the one gate that every send passes. It returns the time from which r may go to the lane's
// node, or a later one at which to look again.
func (s *Scheduler) admitAt(r *request, l *shardQueue) time.Duration {
	n := l.target
	at := max(r.notBefore, n.ejectedUntil, s.orderAdmitAt(r),
		s.slowStartAdmitAt(n, r.Units), s.rateLimitAdmitAt(r))
	if r.attempts > 0 {
		at = max(at, s.retryBudgetAdmitAt())
		c := r.class
		there := n.Zone == r.executedZone && (c.DedupScope == DedupZone || n.Shard == r.executedShard)
		if r.mayHaveExecuted && c.Idempotency == IdempotencyKey &&
			c.DedupScope != DedupEverywhere && !there || !s.mayRetry(r) {
			return never
		}
	}
	return at
}

// orderGate keeps requests of one ordered extent in turn.
func (s *Scheduler) orderAdmitAt(r *request) time.Duration {
	k := s.serialQueues[r.Extent]
	if k == nil || !r.class.Serialized || r.Extent == "" {
		return 0
	}
	if k.requests[0] != r {
		return never
	}
	return k.settleUntil
}

// limitGate keeps a volume within this initiator's even part of its plan's limit. The store starts
// empty: an initiator that was restarted cannot know what it drew before.
func (s *Scheduler) rateLimitAdmitAt(r *request) time.Duration {
	v := r.volume
	if v.plan.Limit <= 0 || r.charged {
		return 0
	}
	v.limitTokens = min(v.plan.BurstCapacity/v.initiators,
		v.limitTokens+(s.now-v.limitRefilledAt).Seconds()*v.plan.Limit/v.initiators)
	v.limitRefilledAt = s.now
	if v.limitTokens >= r.Units {
		return 0
	}
	return s.now + seconds((r.Units-v.limitTokens)*v.initiators/v.plan.Limit) + s.settings.Tick
}
