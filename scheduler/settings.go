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
	// IdempotencyKey requests carry a key by which the targets of Class.DedupScope discard duplicates for
	// Class.DedupWindow.
	IdempotencyKey
	// NonIdempotent requests may be sent again only if no earlier attempt may have been executed.
	NonIdempotent
)

// DedupScope says which targets discard duplicates of a request with an idempotency key.
type DedupScope int

const (
	// DedupEverywhere means every target.
	DedupEverywhere DedupScope = iota
	// DedupZone means the targets in the zone of the first execution.
	DedupZone
	// DedupShard means the targets that serve the shard of the first execution, in its zone.
	DedupShard
)

// Class describes a class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // a response within it gets the full PriorityWeight; must be positive
	Deadline         time.Duration // how long a client waits, including all its retries; must be positive
	Idempotency      Idempotency
	DedupScope       DedupScope    // for IdempotencyKey
	DedupWindow      time.Duration // for IdempotencyKey: from the first attempt that may have been executed
	PriorityWeight   float64       // value of one unit of a request that is served within the objective
	Serialized       bool          // requests for the same extent run one at a time, in order of arrival
}

// Plan is the service level of the volumes that use it. Its values apply to each volume, over all
// initiators and targets.
type Plan struct {
	Name            string
	ProvisionedRate float64 // units per second that a volume is provisioned for
	Reservation     float64 // units per second that get the full priority weight; 0: none
	PriorityFactor  float64 // multiplies the priority weight of each class
	Limit           float64 // maximum rate in units per second; 0: no limit
	BurstCapacity   float64 // units by which a burst may exceed Limit
}

// SlowStart limits the load of a recently started target.
type SlowStart struct {
	Budget          float64       // units that a target serves within Window at its start, for all initiators
	InitialCapacity float64       // fraction of its full capacity that a target has at its start, 0 to 1
	Duration        time.Duration // time from the start until the target has its full capacity
	Window          time.Duration // period over which units are counted; 0: no limit
	OverloadFactor  float64       // a target that is sent this multiple of its capacity within Window fails
}

// RetryBudget limits the retries of an initiator: within each Window to Minimum plus Ratio times the
// number of requests that arrived.
type RetryBudget struct {
	Enabled bool
	Minimum float64
	Ratio   float64
	Window  time.Duration
}

// Settings configures a scheduler. A rule whose settings are zero is disabled.
type Settings struct {
	Initiators        int           // number of initiators that share the targets; at least 1
	Tick              time.Duration // granularity of timers and steps; safety margins are multiples of it
	Classes           []Class       // at least one
	Plans             []Plan        // at least one
	MeanUnits         float64       // mean size of a request
	MaxUnits          float64       // size of the largest request
	MaxAttempts       int           // per request; 0: no limit
	RetryBudget       RetryBudget
	SlowStart         SlowStart
	SettleTime        time.Duration // pause of a serialized extent after an attempt that may still be running
	WithinShareFactor float64       // fraction of the priority weight for units beyond the reservation
	BeyondShareFactor float64       // fraction of the priority weight for units beyond the volume's share
	UsageReportPeriod time.Duration // interval between usage reports; 0: there are none
	WatchEndpoints    bool          // emit WatchEndpoints actions; false: the caller watches the list itself
}

// SettingsError reports invalid settings.
type SettingsError struct {
	Field   string // name of the field of Settings
	Problem string
}

func (e *SettingsError) Error() string { return e.Problem }

// validate returns a *SettingsError for the first invalid setting.
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

// clone returns a copy of the settings that shares no slice with the original.
func (s Settings) clone() Settings {
	s.Classes = slices.Clone(s.Classes)
	s.Plans = slices.Clone(s.Plans)
	return s
}
