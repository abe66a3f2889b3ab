package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A simulation has simulationSteps steps. No request arrives in the last quietSteps of them, so that all
// requests can end.
const (
	simulationSteps = 6000
	quietSteps      = 1500
)

// minActions is the minimum number of actions of a simulation, so that the rules are checked often
// enough.
const minActions = 1000

// settingsMask selects the rules and classes in the settings of a simulation.
type settingsMask int

const (
	serializedExtents settingsMask = 1 << iota
	retryBudgetOn
	rateLimitOn
	slowStartOn
	dedupEverywhereClass
	settingsMasks // number of masks
)

// String lists what the mask enables.
func (m settingsMask) String() string {
	names := []string{}
	for i, name := range []string{
		"serialized extents", "retry budget", "rate limit", "slow start", "dedup everywhere",
	} {
		if m&(1<<i) != 0 {
			names = append(names, name)
		}
	}
	return fmt.Sprintf("settings with %q", names)
}

// TestRulesHold checks the seven rules of doc.go over random event sequences, with all combinations of
// settings, and that the same events produce the same actions.
func TestRulesHold(t *testing.T) {
	for mask := range settingsMasks {
		for seed := range uint64(3) {
			result := simulate(seed, mask)
			for i, violation := range result.violations {
				if i < 3 {
					t.Errorf("%v, seed %d: %s", mask, seed, violation)
				}
			}
			result.checkActions(t, fmt.Sprintf("%v, seed %d", mask, seed))
			if seed == 0 && !slices.Equal(simulate(seed, mask).actions, result.actions) {
				t.Errorf("%v: the same events produced different actions", mask)
			}
		}
	}
}

// simulationResult is the outcome of one simulation.
type simulationResult struct {
	violations []string // descriptions of the violated rules
	actions    []Action // in order
}

// checkActions checks that the simulation had at least minActions actions, and some of each kind.
func (r *simulationResult) checkActions(t *testing.T, name string) {
	t.Helper()
	if len(r.actions) < minActions {
		t.Errorf("%s: %d actions, want at least %d", name, len(r.actions), minActions)
	}
	for _, kind := range []ActionKind{Send, Reject, Fail, SetTimer} {
		isOfKind := func(action Action) bool { return action.Kind == kind }
		if !slices.ContainsFunc(r.actions, isOfKind) {
			t.Errorf("%s: no action of kind %d", name, kind)
		}
	}
}

// invariantSettings returns the settings of a simulation.
func invariantSettings(mask settingsMask) Settings {
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
		Classes:           invariantClasses(mask),
		Plans: []Plan{
			{Name: "p0", ProvisionedRate: 10, Reservation: 5, PriorityFactor: 1},
			{Name: "p1", ProvisionedRate: 20, PriorityFactor: 1},
		},
	}
	if mask&retryBudgetOn != 0 {
		settings.RetryBudget = RetryBudget{Enabled: true, Minimum: 3, Ratio: 0.2, Window: time.Second}
	}
	if mask&rateLimitOn != 0 {
		settings.Plans[0].Limit = 40
		settings.Plans[0].BurstCapacity = 36
	}
	if mask&slowStartOn != 0 {
		settings.SlowStart.InitialCapacity = 0.2
		settings.SlowStart.Duration = 4 * time.Second
		settings.SlowStart.Window = time.Second
		settings.SlowStart.OverloadFactor = 3
	}
	return settings
}

func invariantClasses(mask settingsMask) []Class {
	classes := []Class{
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
			Serialized:       mask&serializedExtents != 0,
		},
	}
	if mask&dedupEverywhereClass != 0 {
		classes = append(classes, Class{
			Name:             "everywhere-key",
			LatencyObjective: 300 * ms,
			Deadline:         2 * time.Second,
			PriorityWeight:   2,
			Idempotency:      IdempotencyKey,
			DedupScope:       DedupEverywhere,
			DedupWindow:      700 * ms,
		})
	}
	return classes
}

// simulate runs one random event sequence, which the seed determines.
func simulate(seed uint64, mask settingsMask) simulationResult {
	sim := newSimulation(seed, mask)
	var actions []Action
	for i := range simulationSteps {
		sim.now += 2 * ms
		events := sim.nextEvents(i)
		if len(events) > 0 {
			for _, action := range sim.scheduler.Step(sim.now, events) {
				sim.checkAction(action)
				actions = append(actions, action)
			}
		}
		sim.dropEnded()
	}
	return simulationResult{violations: sim.violations, actions: actions}
}
