package scheduler

import "time"

// Whether a request may be sent again depends on its class, and on whether an attempt may have executed it.
// The scheduler sends it again itself (a retry, see mayRetry and isInDedupScope), rejects it, which allows
// the client to send it again (see isRepeatHarmless), or fails it:
//
//	class                         not executed   may have executed
//	Idempotent                    retry, reject  retry, reject
//	IdempotencyKey, everywhere    retry, reject  retry within the dedup window, reject
//	IdempotencyKey, zone, shard   retry, reject  retry within the dedup window and scope, fail
//	NonIdempotent                 retry, reject  fail
//
// A retry is preferred while MaxAttempts and the request's giveUpAt allow it.

// mayRetry reports whether another attempt of the request could be allowed, now or later.
func (s *Scheduler) mayRetry(r *request) bool {
	if s.settings.MaxAttempts > 0 && r.attempts >= s.settings.MaxAttempts {
		return false
	}
	if !r.mayHaveExecuted {
		return true
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case IdempotencyKey:
		return s.now < r.dedupEndsAt()
	}
	return false
}

// isRepeatHarmless reports whether the client may send the request again, to any target and at any time.
func (r *request) isRepeatHarmless() bool {
	if !r.mayHaveExecuted || r.class.Idempotency == Idempotent {
		return true
	}
	return r.class.Idempotency == IdempotencyKey && r.class.DedupScope == DedupEverywhere
}

// needsDedup reports whether another attempt is harmless only where targets drop it as a repeat.
func (r *request) needsDedup() bool {
	return r.mayHaveExecuted && r.class.Idempotency == IdempotencyKey
}

// dedupEndsAt is when targets no longer drop repeats of a request that needs dedup.
func (r *request) dedupEndsAt() time.Duration {
	return r.firstExecution.since + r.class.DedupWindow
}

// isInDedupScope reports whether the target may get another attempt: it drops repeats of the request, or none
// of its attempts needs to be dropped.
func (r *request) isInDedupScope(t *target) bool {
	if !r.needsDedup() {
		return true
	}
	switch r.class.DedupScope {
	case DedupEverywhere:
		return true
	case DedupZone:
		return t.Zone == r.firstExecution.zone
	}
	return t.Zone == r.firstExecution.zone && t.Shard == r.firstExecution.shard
}
