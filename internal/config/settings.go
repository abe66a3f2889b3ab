package config

import (
	"fmt"
	"time"

	"dapplegate/scheduler"
)

// WireSettings is the platform's JSON form of the scheduler's settings. It is part of the configuration and of the
// simulator's first message. Durations are in microseconds. Unknown fields are ignored. The platform's field names are used
// in the wire types only; SchedulerSettings maps them to the scheduler's terms.
type WireSettings struct {
	PeersTotal   *int           `json:"peersTotal"` // required
	Classes      []wireClass    `json:"classes"`
	Contracts    []wireContract `json:"contracts"`
	Extra        wireExtra      `json:"extra"`
	Limits       wireLimits     `json:"limits"`
	RegistryMode string         `json:"registryMode"`
	Rules        wireRules      `json:"rules"`
	TickUs       int64          `json:"tickUs"`
}

// wireClass is the platform's form of a scheduler.Class.
type wireClass struct {
	Name       string  `json:"name"`
	PromiseUs  int64   `json:"promiseUs"`
	DeadlineUs int64   `json:"deadlineUs"`
	Effect     string  `json:"effect"`
	Group      string  `json:"group"`
	WindowUs   int64   `json:"windowUs"`
	Serial     bool    `json:"serialByKey"`
	Worth      float64 `json:"worth"`
}

// wireContract is the platform's form of a scheduler.Plan.
type wireContract struct {
	Name        string  `json:"name"`
	UsualRate   float64 `json:"usualRate"`
	Reservation float64 `json:"reservation"`
	Pays        float64 `json:"pays"`
	CeilingRate float64 `json:"ceilingRate"`
	LimitBurst  float64 `json:"limitBurst"`
}

// wireExtra holds request sizes, share factors, the slow-start budget and the usage report period.
type wireExtra struct {
	ColdBears  float64 `json:"coldBears"`
	Largest    float64 `json:"largest"`
	MeanUnits  float64 `json:"meanUnits"`
	FairWorth  float64 `json:"fairWorth"`
	IdleWorth  float64 `json:"idleWorth"`
	MeteringUs int64   `json:"meteringUs"`
}

// wireLimits holds the bounds on attempts and open calls, and the timeouts of connections.
type wireLimits struct {
	SendCap       int   `json:"sendCap"`
	MostHeld      int   `json:"mostHeld"`
	ConnIdleUs    int64 `json:"connIdleUs"`
	DialTimeoutUs int64 `json:"dialTimeoutUs"`
}

// wireRules holds the other settings of the slow start, the settle time and the retry budget.
type wireRules struct {
	ColdShare          float64  `json:"coldShare"`
	WarmWithinUs       int64    `json:"warmWithinUs"`
	FallUs             int64    `json:"fallUs"`
	TipMultiple        float64  `json:"tipMultiple"`
	SettleAfterDoubtUs int64    `json:"settleAfterDoubtUs"`
	ResendRatio        *float64 `json:"resendRatio"` // nil: retries are not limited by a budget
	ExtraFree          float64  `json:"extraFree"`
	ResendSpanUs       int64    `json:"resendSpanUs"`
}

// registryModeOnRequest is the value of registryMode if the initiator must request the endpoint list from discovery.
const registryModeOnRequest = "on_request"

// Microseconds converts a number of microseconds to a duration.
func Microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// SchedulerSettings converts the settings to the scheduler's terms. If a required field is missing or a field has an unknown
// value, the error is a *FieldError whose path is relative to the settings object. The other constraints on the values are
// checked by scheduler.New.
func (w *WireSettings) SchedulerSettings() (scheduler.Settings, error) {
	if w.PeersTotal == nil {
		return scheduler.Settings{}, MissingField("peersTotal")
	}
	settings := scheduler.Settings{
		Initiators:        *w.PeersTotal,
		Tick:              Microseconds(w.TickUs),
		MeanUnits:         w.Extra.MeanUnits,
		MaxUnits:          w.Extra.Largest,
		MaxAttempts:       w.Limits.SendCap,
		RetryBudget:       w.Rules.retryBudget(),
		SlowStart:         w.slowStart(),
		SettleTime:        Microseconds(w.Rules.SettleAfterDoubtUs),
		WithinShareFactor: w.Extra.FairWorth,
		BeyondShareFactor: w.Extra.IdleWorth,
		UsageReportPeriod: Microseconds(w.Extra.MeteringUs),
		WatchEndpoints:    w.RegistryMode == registryModeOnRequest,
	}
	for i, wire := range w.Classes {
		class, err := wire.class()
		if err != nil {
			return settings, PrefixField(fmt.Sprintf("classes[%d]", i), err)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, wire := range w.Contracts {
		settings.Plans = append(settings.Plans, wire.plan())
	}
	return settings, nil
}

func (w *WireSettings) slowStart() scheduler.SlowStart {
	return scheduler.SlowStart{
		Budget:          w.Extra.ColdBears,
		InitialCapacity: w.Rules.ColdShare,
		Duration:        Microseconds(w.Rules.WarmWithinUs),
		Window:          Microseconds(w.Rules.FallUs),
		OverloadFactor:  w.Rules.TipMultiple,
	}
}

func (w *wireRules) retryBudget() scheduler.RetryBudget {
	budget := scheduler.RetryBudget{
		Minimum: w.ExtraFree,
		Window:  Microseconds(w.ResendSpanUs),
	}
	if w.ResendRatio != nil {
		budget.Enabled = true
		budget.Ratio = *w.ResendRatio
	}
	return budget
}

func (w *wireClass) class() (scheduler.Class, *FieldError) {
	idempotency, err := parseIdempotency(w.Effect)
	if err != nil {
		return scheduler.Class{}, err
	}
	scope, err := parseDedupScope(w.Group)
	if err != nil {
		return scheduler.Class{}, err
	}
	return scheduler.Class{
		Name:             w.Name,
		LatencyObjective: Microseconds(w.PromiseUs),
		Deadline:         Microseconds(w.DeadlineUs),
		Idempotency:      idempotency,
		DedupScope:       scope,
		DedupWindow:      Microseconds(w.WindowUs),
		PriorityWeight:   w.Worth,
		Serialized:       w.Serial,
	}, nil
}

func parseIdempotency(effect string) (scheduler.Idempotency, *FieldError) {
	switch effect {
	case "pure":
		return scheduler.Idempotent, nil
	case "token":
		return scheduler.IdempotencyKey, nil
	case "side_effect":
		return scheduler.NonIdempotent, nil
	}
	return 0, fieldError("effect", "unknown effect %q", effect)
}

func parseDedupScope(group string) (scheduler.DedupScope, *FieldError) {
	switch group {
	case "", "all":
		return scheduler.DedupEverywhere, nil
	case "zone":
		return scheduler.DedupZone, nil
	case "cell":
		return scheduler.DedupShard, nil
	}
	return 0, fieldError("group", "unknown group %q", group)
}

func (w *wireContract) plan() scheduler.Plan {
	return scheduler.Plan{
		Name:            w.Name,
		ProvisionedRate: w.UsualRate,
		Reservation:     w.Reservation,
		PriorityFactor:  w.Pays,
		Limit:           w.CeilingRate,
		BurstCapacity:   w.LimitBurst,
	}
}
