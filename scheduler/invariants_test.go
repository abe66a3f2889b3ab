package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// simulationSteps is the number of steps of a simulation; no request arrives in the last quietSteps, so
// that all can end.
const (
	simulationSteps = 6000
	quietSteps      = 1500
)

// TestRulesHold checks the seven rules over random event sequences, with each rule present and absent, and
// that the same events give the same actions.
func TestRulesHold(t *testing.T) {
	for mask := range 16 {
		for seed := range uint64(3) {
			violations, actions := simulate(seed, mask)
			for i, violation := range violations {
				if i < 3 {
					t.Errorf("settings %04b, seed %d: %s", mask, seed, violation)
				}
			}
			if len(actions) < 1000 {
				t.Errorf("settings %04b, seed %d: hardly any action", mask, seed)
			}
			if seed == 0 {
				if _, again := simulate(seed, mask); again != actions {
					t.Errorf("settings %04b: the same events gave other actions", mask)
				}
			}
		}
	}
}

// invariantSettings returns settings in which the bits of the mask turn on: serialized extents, the retry
// budget, a rate limit, slow start.
func invariantSettings(mask int) Settings {
	settings := Settings{
		Initiators:        3,
		Tick:              2 * ms,
		MeanUnits:         2,
		MaxUnits:          6,
		MaxAttempts:       4,
		SettleTime:        100 * ms,
		WithinShareFactor: 0.3,
		BeyondShareFactor: 0.05,
		UsageReportPeriod: time.Second,
		SlowStart:         SlowStart{Budget: 30},
		Classes:           invariantClasses(mask&1 != 0),
		Plans: []Plan{
			{Name: "p0", ProvisionedRate: 10, Reservation: 5, PriorityFactor: 1},
			{Name: "p1", ProvisionedRate: 20, PriorityFactor: 1},
		},
	}
	if mask&2 != 0 {
		settings.RetryBudget = RetryBudget{Enabled: true, Minimum: 3, Ratio: 0.2, Window: time.Second}
	}
	if mask&4 != 0 {
		settings.Plans[0].Limit = 40
		settings.Plans[0].BurstCapacity = 36
	}
	if mask&8 != 0 {
		settings.SlowStart.InitialCapacity = 0.2
		settings.SlowStart.Duration = 4 * time.Second
		settings.SlowStart.Window = time.Second
		settings.SlowStart.OverloadFactor = 3
	}
	return settings
}

func invariantClasses(serialized bool) []Class {
	return []Class{
		{
			Name:             "idempotent",
			LatencyObjective: 200 * ms,
			Deadline:         time.Second,
			PriorityWeight:   3,
		},
		{
			Name:             "shard-key",
			LatencyObjective: 300 * ms,
			Deadline:         2 * time.Second,
			PriorityWeight:   2,
			Idempotency:      IdempotencyKey,
			DedupScope:       DedupShard,
			DedupWindow:      700 * ms,
		},
		{
			Name:             "zone-key",
			LatencyObjective: 300 * ms,
			Deadline:         2 * time.Second,
			PriorityWeight:   2,
			Idempotency:      IdempotencyKey,
			DedupScope:       DedupZone,
			DedupWindow:      700 * ms,
		},
		{
			Name:             "non-idempotent",
			LatencyObjective: 300 * ms,
			Deadline:         time.Second,
			PriorityWeight:   2,
			Idempotency:      NonIdempotent,
		},
		{
			Name:             "serialized",
			LatencyObjective: 300 * ms,
			Deadline:         time.Second,
			PriorityWeight:   2,
			Serialized:       serialized,
		},
	}
}

// simulate plays one seeded sequence of events, and returns the rules that were broken and all actions.
func simulate(seed uint64, mask int) (violations []string, actions string) {
	sim := newSimulation(seed, mask)
	var log strings.Builder
	for i := range simulationSteps {
		sim.now += 2 * ms
		events := sim.nextEvents(i)
		if len(events) > 0 {
			for _, action := range sim.scheduler.Step(sim.now, events) {
				sim.checkAction(action)
				fmt.Fprintf(&log, "%d%s%s", action.Kind, action.RequestID, action.Target)
			}
		}
		sim.dropEnded()
	}
	return sim.violations, log.String()
}
