package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// Idempotency says whether a request may be executed more than once.
type Idempotency int

const (
	// Idempotent requests may be executed any number of times.
	Idempotent Idempotency = iota
	// IdempotencyKey requests carry a key by which the targets of Class.DedupScope drop repeats for
	// Class.DedupWindow.
	IdempotencyKey
	// NonIdempotent requests may be sent again only while no earlier attempt may have been executed.
	NonIdempotent
)

// DedupScope says which targets drop repeats of a request with an idempotency key.
type DedupScope int

const (
	// DedupEverywhere is every target.
	DedupEverywhere DedupScope = iota
	// DedupZone is the targets in the zone of the first execution.
	DedupZone
	// DedupShard is the targets that serve the shard of the first execution, in its zone.
	DedupShard
)

// Class is one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within it earns the full PriorityWeight; must be positive
	Deadline         time.Duration // how long a client waits, over all its retries; must be positive
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotencyKey
	DedupWindow      time.Duration // for IdempotencyKey: since the first attempt that may have been executed
	PriorityWeight   float64       // what a unit of a request earns if served within the objective
	Serialized       bool          // requests for one extent run one at a time, in order of arrival
}

// Plan is what each volume on it is promised, counted over all initiators and targets.
type Plan struct {
	Name            string
	ProvisionedRate float64 // units per second that a volume is sized for
	Reservation     float64 // units per second that earn the full priority weight; 0: none
	PriorityFactor  float64 // factor on the priority weight of each class
	Limit           float64 // maximum in units per second; 0: no limit
	BurstCapacity   float64 // units that may exceed Limit at once
}

// SlowStart bounds the load of a target that has started recently.
type SlowStart struct {
	Budget          float64       // units within Window that a target serves at its start, for all initiators
	InitialCapacity float64       // part of its full capacity that a target has at its start, 0 to 1
	Duration        time.Duration // time from the start to the full capacity
	Window          time.Duration // span over which units are counted; 0: no bound
	OverloadFactor  float64       // a target sent this multiple of its capacity over Window fails
}

// RetryBudget bounds the retries of an initiator: within each Window at most Minimum plus Ratio times the
// number of requests that arrived.
type RetryBudget struct {
	Enabled bool
	Minimum float64
	Ratio   float64
	Window  time.Duration
}

// Settings configures a scheduler. A rule whose values are zero is off.
type Settings struct {
	Initiators        int           // number of initiators that share the targets; at least 1
	Tick              time.Duration // granularity of timers and steps; margins are multiples of it
	Classes           []Class       // at least one
	Plans             []Plan        // at least one
	MeanUnits         float64       // mean size of a request
	MaxUnits          float64       // size of the largest request
	MaxAttempts       int           // per request; 0: no bound
	RetryBudget       RetryBudget
	SlowStart         SlowStart
	SettleTime        time.Duration // pause of a serialized extent after an attempt that may still be running
	WithinShareFactor float64       // part of the priority weight for units beyond the reservation
	BeyondShareFactor float64       // part of the priority weight for units beyond the volume's share
	UsageReportPeriod time.Duration // period of the usage reports; 0: there are none
	WatchEndpoints    bool          // the endpoint list must be requested with WatchEndpoints
}

// SettingsError reports a setting with which no scheduler can run.
type SettingsError struct {
	Field   string // field of Settings
	Problem string
}

func (e *SettingsError) Error() string { return e.Problem }

// validate returns a *SettingsError for the first setting that cannot be served.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return &SettingsError{
			Field:   "Classes, Plans",
			Problem: "settings need at least one class and one plan",
		}
	}
	if s.Initiators < 1 {
		return &SettingsError{
			Field:   "Initiators",
			Problem: fmt.Sprintf("settings name %d initiators", s.Initiators),
		}
	}
	for _, class := range s.Classes {
		if class.LatencyObjective <= 0 || class.Deadline <= 0 {
			return &SettingsError{
				Field:   "Classes",
				Problem: fmt.Sprintf("class %q needs a latency objective and a deadline", class.Name),
			}
		}
	}
	return nil
}

// clone copies the slices that the settings share with the caller.
func (s Settings) clone() Settings {
	s.Classes = slices.Clone(s.Classes)
	s.Plans = slices.Clone(s.Plans)
	return s
}
