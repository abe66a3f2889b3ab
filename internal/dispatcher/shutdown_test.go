package dispatcher

import (
	"testing"
	"time"
)

// TestShutdownEndsBeforeKill
//
// SIGKILL comes earlier where the longest deadline is shorter. A shutdown of one length for all would still have requests open
// then, and they are lost. All times of the schedule must lie before SIGKILL for every longest deadline.
func TestShutdownEndsBeforeKill(t *testing.T) {
	const (
		margin  = 100 * time.Millisecond
		horizon = 4 * time.Second
	)
	for maxDeadline := 300 * time.Millisecond; maxDeadline < 10*time.Second; maxDeadline += 100 * time.Millisecond {
		killAfter := min(maxDeadline, maxKillDeadline) + killDelay
		schedule := NewShutdownSchedule(maxDeadline)
		if schedule.AnswerBy > killAfter-margin {
			t.Errorf("deadlines up to %v, killed after %v: answers by %v", maxDeadline, killAfter, schedule.AnswerBy)
		}
		if schedule.FinalAnswerBy > killAfter-margin || schedule.FinalAnswerBy < schedule.AnswerBy {
			t.Errorf("deadlines up to %v, killed after %v: answers by %v, the last by %v",
				maxDeadline, killAfter, schedule.AnswerBy, schedule.FinalAnswerBy)
		}
		if schedule.ServeConnsFor < AcceptGrace || schedule.ServeConnsFor > schedule.AnswerBy {
			t.Errorf("deadlines up to %v: serves for %v, answers by %v", maxDeadline, schedule.ServeConnsFor, schedule.AnswerBy)
		}
		began := time.Now()
		for since := AcceptGrace + time.Millisecond; since < horizon; since += 50 * time.Millisecond {
			timeout := schedule.LimitTimeout(maxDeadline, began.Add(since), &began)
			if timeout < 0 || timeout > 0 && since+timeout > schedule.AnswerBy {
				t.Errorf("deadlines up to %v: a request received after %v may take %v", maxDeadline, since, timeout)
			}
		}
		if timeout := schedule.LimitTimeout(maxDeadline, began.Add(AcceptGrace), &began); timeout != maxDeadline {
			t.Errorf("deadlines up to %v: a request received within the grace has %v", maxDeadline, timeout)
		}
	}
}

// TestKillTimes checks the platform's rule on SIGKILL, to which the other tests of the schedule refer: it comes 0.7 s after the
// longest deadline, which counts as 3 s where it is longer.
func TestKillTimes(t *testing.T) {
	if maxKillDeadline != 3*time.Second || killDelay != 700*time.Millisecond {
		t.Errorf("SIGKILL %v after deadlines up to %v, want 700ms after deadlines up to 3s", killDelay, maxKillDeadline)
	}
}
