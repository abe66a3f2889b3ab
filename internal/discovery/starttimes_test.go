package discovery

import (
	"testing"
	"time"

	"dapplegate/internal/endpoints"
)

// steppedClock is a monotonic clock and a wall clock that a test can step.
type steppedClock struct{ monotonic, step time.Duration }

func (c *steppedClock) wall() time.Time { return time.Unix(0, int64(c.monotonic+c.step)) }

// TestStartTimesAcrossClockSteps checks that the age of a target is right if the wall clock is stepped before or after its
// start.
//
// It guards against a target that has just started getting all of its traffic at once, or next to none for an hour. The
// endpoint list has start times in wall-clock time. They were compared with a clock that was set from the wall clock only
// once, at the initiator's start, so that after a step of an hour a new target seemed to have started an hour ago, or to
// start in an hour.
func TestStartTimesAcrossClockSteps(t *testing.T) {
	for _, step := range []time.Duration{0, -time.Hour, time.Hour, -3 * time.Second, 3 * time.Second} {
		for _, startsBeforeStep := range []bool{true, false} {
			testStartTimes(t, step, startsBeforeStep)
		}
	}
}

func testStartTimes(t *testing.T, step time.Duration, startsBeforeStep bool) {
	const age = 2 * time.Second
	epoch := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	clock := &steppedClock{monotonic: time.Duration(epoch.UnixNano())}
	starts := NewStartTimes(clock.wall, func() time.Duration { return clock.monotonic })
	oldEntry := endpoints.Entry{ID: "old"}
	starts.Apply(&endpoints.List{Complete: true, Entries: []endpoints.Entry{oldEntry}})
	clock.monotonic += time.Minute
	if !startsBeforeStep {
		clock.step = step
	}
	newEntry := endpoints.Entry{ID: "new", StartedMs: clock.wall().UnixMilli()}
	clock.monotonic += age
	clock.step = step
	starts.Apply(&endpoints.List{Entries: []endpoints.Entry{newEntry}})
	startedAt := starts.Lookup(newEntry)
	if got := clock.monotonic - startedAt; got < 0 || got > age+time.Second {
		t.Errorf("step %v, target started before the step %v: got age %v, want %v", step, startsBeforeStep, got, age)
	}

	clock.monotonic += time.Minute
	clock.step -= time.Hour
	starts.Apply(&endpoints.List{Entries: []endpoints.Entry{newEntry}})
	if starts.Lookup(newEntry) != startedAt {
		t.Errorf("step %v: start time changed after a later step", step)
	}
	if starts.Lookup(oldEntry) != 0 {
		t.Error("start time of a target that started long ago is not 0")
	}
}
