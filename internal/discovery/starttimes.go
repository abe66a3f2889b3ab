package discovery

import (
	"time"

	"dapplegate/internal/endpoints"
)

// minClockStep is by how much the wall clock must move against the monotonic clock to count as stepped.
// Gradual adjustments are slower than that.
const minClockStep = 50 * time.Millisecond

// StartTimes maps the starts of targets, which the endpoint list has in wall-clock time, onto a monotonic
// clock: a step of the wall clock must not change how long a target seems to have run. It is not safe for
// concurrent use.
type StartTimes struct {
	wallClock      func() time.Time
	monotonicClock func() time.Duration
	offset         time.Duration // of the wall clock, as Unix time, against the monotonic clock
	previousOffset time.Duration // before the last step
	known          map[string]startTime
}

// startTime is one start of a target, on either clock.
type startTime struct {
	wallMs    int64 // as listed
	monotonic time.Duration
}

// NewStartTimes returns an empty map between two clocks. The monotonic one began at the wall clock's time
// since the Unix epoch.
func NewStartTimes(wallClock func() time.Time, monotonicClock func() time.Duration) *StartTimes {
	return &StartTimes{wallClock: wallClock, monotonicClock: monotonicClock, known: map[string]startTime{}}
}

// Apply places the starts of a list on the monotonic clock. A start that is known already keeps its place.
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
	s.known[entry.ID] = startTime{wallMs: entry.StartedMs, monotonic: s.place(entry.StartedMs, now)}
}

// Lookup returns when the target of an entry started, on the monotonic clock; 0: long ago.
func (s *StartTimes) Lookup(entry endpoints.Entry) time.Duration { return s.known[entry.ID].monotonic }

// detectStep updates the offset if the wall clock was stepped.
func (s *StartTimes) detectStep(now time.Duration) {
	offset := time.Duration(s.wallClock().UnixNano()) - now
	if (offset - s.offset).Abs() >= minClockStep {
		s.previousOffset = s.offset
		s.offset = offset
	}
}

// place finds a start on the monotonic clock. The target may have started before the last step of the wall
// clock or after it: of the two places the later one counts, unless it is in the future. A target that seems
// older than it is may get more load than it can take after its start; one that seems younger only gets less
// for a while.
func (s *StartTimes) place(wallMs int64, now time.Duration) time.Duration {
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
