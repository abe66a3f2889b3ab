package scheduler

import "time"

// Whether a request may be sent again depends on its class and on whether it may have been executed. The
// scheduler sends it again itself (a retry, see mayRetry and isInDedupScope), rejects it, which allows the
// client to send it again (see isClientRetrySafe), or fails it:
//
//	class                         not executed   may have executed
//	Idempotent                    retry, reject  retry, reject
//	IdempotencyKey, everywhere    retry, reject  retry within the dedup window, reject
//	IdempotencyKey, zone, shard   retry, reject  retry within the dedup window and scope, fail
//	NonIdempotent                 retry, reject  fail
//
// The scheduler prefers a retry as long as MaxAttempts and the request's giveUpAt allow it.

// mayRetry reports whether MaxAttempts and the class allow another attempt of the request. The target and
// the retry budget are checked separately.
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

// isClientRetrySafe reports whether the client may send the request again, to any target and at any time.
func (r *request) isClientRetrySafe() bool {
	if !r.mayHaveExecuted || r.class.Idempotency == Idempotent {
		return true
	}
	return r.class.Idempotency == IdempotencyKey && r.class.DedupScope == DedupEverywhere
}

// needsDedup reports whether another attempt is safe only at targets that discard it as a duplicate.
func (r *request) needsDedup() bool {
	return r.mayHaveExecuted && r.class.Idempotency == IdempotencyKey
}

// dedupEndsAt is the time from which targets no longer discard duplicates of a request that needs
// deduplication.
func (r *request) dedupEndsAt() time.Duration {
	return r.firstExecution.attemptSentAt + r.class.DedupWindow
}

// isInDedupScope reports whether the target may get another attempt: it discards duplicates of the
// request, or the request needs no deduplication.
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
