package dispatcher

import (
	"testing"
	"time"
)

// TestShutdownEndsBeforeKill checks that the whole schedule ends before SIGKILL, for any longest deadline. The shorter that
// deadline is, the earlier SIGKILL comes. A shutdown of fixed length could still have open requests then, which would be
// lost.
func TestShutdownEndsBeforeKill(t *testing.T) {
	const (
		margin  = 300 * time.Millisecond // the process may be held up twice
		horizon = 4 * time.Second
	)
	for maxDeadline := 300 * time.Millisecond; maxDeadline < 10*time.Second; maxDeadline += 100 * time.Millisecond {
		killAfter := min(maxDeadline, maxKillDeadline) + killDelay
		schedule := NewShutdownSchedule(maxDeadline)
		if schedule.AnswerBy > killAfter-margin {
			t.Errorf("deadlines up to %v, killed after %v: AnswerBy %v", maxDeadline, killAfter, schedule.AnswerBy)
		}
		if schedule.FinalAnswerBy > killAfter-margin || schedule.FinalAnswerBy < schedule.AnswerBy {
			t.Errorf("deadlines up to %v, killed after %v: AnswerBy %v, FinalAnswerBy %v",
				maxDeadline, killAfter, schedule.AnswerBy, schedule.FinalAnswerBy)
		}
		if schedule.ServeConnsFor < AcceptGrace || schedule.ServeConnsFor > schedule.AnswerBy {
			t.Errorf("deadlines up to %v: ServeConnsFor %v, AnswerBy %v", maxDeadline, schedule.ServeConnsFor, schedule.AnswerBy)
		}
		began := time.Now()
		for since := AcceptGrace + time.Millisecond; since < horizon; since += 50 * time.Millisecond {
			timeout := schedule.LimitTimeout(maxDeadline, began.Add(since), &began)
			if timeout < 0 || timeout > 0 && since+timeout > schedule.AnswerBy {
				t.Errorf("deadlines up to %v: a request received after %v has a timeout of %v", maxDeadline, since, timeout)
			}
		}
		if timeout := schedule.LimitTimeout(maxDeadline, began.Add(AcceptGrace), &began); timeout != maxDeadline {
			t.Errorf("deadlines up to %v: a request received within AcceptGrace has a timeout of %v", maxDeadline, timeout)
		}
	}
}

// TestKillTimes checks the constants for the time of SIGKILL, on which the other tests of the schedule rely. The platform
// sends SIGKILL 0.7 s after the longest deadline, or 0.7 s after 3 s if that is shorter.
func TestKillTimes(t *testing.T) {
	if maxKillDeadline != 3*time.Second || killDelay != 700*time.Millisecond {
		t.Errorf("SIGKILL %v after deadlines up to %v, want 700ms after deadlines up to 3s", killDelay, maxKillDeadline)
	}
}
