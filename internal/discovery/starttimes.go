package discovery

import (
	"time"

	"dapplegate/internal/endpoints"
)

// minClockStep is the smallest change of the wall clock relative to the monotonic clock, since the last step, that counts as
// a step. Gradual adjustments are slower, and count only once they add up to this much.
const minClockStep = 50 * time.Millisecond

// StartTimes converts the start times of targets from wall-clock time, which the endpoint list uses, to a monotonic clock,
// so that a step of the wall clock does not change how long a target seems to have been running. It is not safe for
// concurrent use.
type StartTimes struct {
	wallClock      func() time.Time
	monotonicClock func() time.Duration
	offset         time.Duration // Unix time minus the monotonic clock
	previousOffset time.Duration // the offset before the last step
	known          map[string]startTime
}

// startTime is the start time of a target on both clocks.
type startTime struct {
	wallMs    int64 // Unix time in milliseconds, as listed
	monotonic time.Duration
}

// NewStartTimes returns an empty StartTimes. The monotonic clock must have been set to the Unix time of the wall clock when
// it started.
func NewStartTimes(wallClock func() time.Time, monotonicClock func() time.Duration) *StartTimes {
	return &StartTimes{wallClock: wallClock, monotonicClock: monotonicClock, known: map[string]startTime{}}
}

// Apply converts the start times in a list. A start time that is already known is not converted again.
func (s *StartTimes) Apply(list *endpoints.List) {
	now := s.monotonicClock()
	s.detectStep(now)
	listed := make(map[string]bool, len(list.Entries))
	for i := range list.Entries {
		entry := &list.Entries[i]
		listed[entry.ID] = true
		s.applyEntry(entry, now)
	}
	if !list.Complete {
		return
	}
	for id := range s.known {
		if !listed[id] {
			delete(s.known, id)
		}
	}
}

func (s *StartTimes) applyEntry(entry *endpoints.Entry, now time.Duration) {
	if entry.IsRemoved() {
		delete(s.known, entry.ID)
		return
	}
	if before, ok := s.known[entry.ID]; ok && before.wallMs == entry.StartedMs {
		return
	}
	s.known[entry.ID] = startTime{wallMs: entry.StartedMs, monotonic: s.toMonotonic(entry.StartedMs, now)}
}

// Lookup returns the start time of an entry's target on the monotonic clock. It returns 0 if the target started long ago, or
// if no list with the target has been applied.
func (s *StartTimes) Lookup(entry endpoints.Entry) time.Duration { return s.known[entry.ID].monotonic }

// detectStep updates the offset if the wall clock has been stepped.
func (s *StartTimes) detectStep(now time.Duration) {
	offset := time.Duration(s.wallClock().UnixNano()) - now
	if (offset - s.offset).Abs() >= minClockStep {
		s.previousOffset = s.offset
		s.offset = offset
	}
}

// toMonotonic converts a start time to the monotonic clock. The target may have started before or after the last step of the
// wall clock, so there are two candidates. The later one that is not in the future is chosen, or the current time if both
// are. This errs on the safe side: a target that seems older than it is may get more load than it can take after its start,
// whereas one that seems younger only gets less load for a while.
func (s *StartTimes) toMonotonic(wallMs int64, now time.Duration) time.Duration {
	if wallMs == 0 {
		return 0
	}
	wall := time.Duration(wallMs) * time.Millisecond
	latest := now
	found := false
	for _, offset := range []time.Duration{s.offset, s.previousOffset} {
		start := wall - offset
		if start <= now && (!found || start > latest) {
			latest = start
			found = true
		}
	}
	return latest
}
