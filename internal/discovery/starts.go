package discovery

import (
	"time"

	"dapplegate/internal/endpoints"
)

// leastStep is by how much the wall clock must move against the other to have been stepped: adjustments are slower.
const leastStep = 50 * time.Millisecond

// Starts maps the starts of targets, which the list tells in wall-clock time, onto a clock that no step of the wall clock
// moves. It is not safe for concurrent use.
type StartTimes struct {
	wall     func() time.Time
	now      func() time.Duration
	offset   time.Duration // of the wall clock against the other
	previous time.Duration // the offset before the last step
	known    map[string]start
}

// start is the start of a target, as told and on the clock that runs on.
type start struct {
	told int64
	at   time.Duration
}

// NewStarts returns an empty map between the wall clock and another, which began with its time.
func NewStartTimes(wall func() time.Time, now func() time.Duration) *StartTimes {
	return &StartTimes{wall: wall, now: now, known: map[string]start{}}
}

// Apply takes over what a list tells of starts. A start that is known already stays where it is.
func (s *StartTimes) Apply(l *endpoints.List) {
	now := s.now()
	s.watchOffset(now)
	listed := make(map[string]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.ID] = true
		if had, ok := s.known[e.ID]; !ok || had.told != e.StartedMs {
			s.known[e.ID] = start{e.StartedMs, s.place(e.StartedMs, now)}
		}
		if e.IsRemoved() {
			delete(s.known, e.ID)
		}
	}
	if !l.Complete {
		return
	}
	for id := range s.known {
		if !listed[id] {
			delete(s.known, id)
		}
	}
}

// At is when the target of an entry started; 0: long ago.
func (s *StartTimes) At(e endpoints.Entry) time.Duration { return s.known[e.ID].at }

// watchOffset notes a step of the wall clock.
func (s *StartTimes) watchOffset(now time.Duration) {
	offset := time.Duration(s.wall().UnixNano()) - now
	if (offset - s.offset).Abs() >= leastStep {
		s.previous, s.offset = s.offset, offset
	}
}

// place finds when a target started. The last step may have come before that or after it: what makes the target the
// younger is believed, since one that has just started bears little.
func (s *StartTimes) place(told int64, now time.Duration) time.Duration {
	if told == 0 {
		return 0
	}
	wall := time.Duration(told) * time.Millisecond
	at, found := now, false
	for _, offset := range []time.Duration{s.offset, s.previous} {
		if x := wall - offset; x <= now && (!found || x > at) {
			at, found = x, true
		}
	}
	return at
}
