package main

import (
	"encoding/json"

	"dapplegate/internal/config"
)

// The types with the prefix wire are the simulator's messages. Their fields have the names that its protocol uses; those that
// the adapter does not need are left out. A nil pointer stands for a field that is absent or null. Times are in
// microseconds.

// wireBatch is one line of input.
type wireBatch struct {
	WallUs *int64            `json:"wallUs"`
	Frame  *int64            `json:"frame"`
	Inbox  []json.RawMessage `json:"inbox"`
}

// wireEvent has the fields of all event types.
type wireEvent struct {
	Type        *string              `json:"type"`
	InitiatorID *string              `json:"initiatorId"`
	InitSeed    *json.Number         `json:"initSeed"`
	Options     *config.WireSettings `json:"options"`
	Mode        *string              `json:"mode"`
	Records     []wireRecord         `json:"records"`
	Rid         *string              `json:"rid"`
	Tier        *string              `json:"tier"`
	Writers     *float64             `json:"writers"`
	Chunk       *string              `json:"chunk"`
	Vol         *string              `json:"vol"`
	BudgetUs    *int64               `json:"budgetUs"`
	Weight      *float64             `json:"weight"`
	Grade       *string              `json:"grade"`
	GroupNo     *int                 `json:"groupNo"`
	Leg         *int                 `json:"leg"`
	Target      *string              `json:"target"`
	StateCode   *string              `json:"stateCode"`
	SpentUs     *int64               `json:"spentUs"`
	Complete    *bool                `json:"complete"`
	Used        *int                 `json:"used"`
	ServerStats *wireLoadReport      `json:"serverStats"`
}

// wireLoadReport is the load that a target reports with a response.
type wireLoadReport struct {
	Depth      *float64 `json:"depth"`
	Concurrent *float64 `json:"concurrent"`
}

// wireRecord is an entry of the endpoint list.
type wireRecord struct {
	Target        *string `json:"target"`
	FailureDomain string  `json:"failureDomain"`
	Cohort        *int    `json:"cohort"`
	Mode          *string `json:"mode"`
	LaunchedUs    *int64  `json:"launchedUs"`
}

// wireAction has the fields of all action types; empty ones are omitted.
type wireAction struct {
	Type        string `json:"type"`
	InitiatorID string `json:"initiatorId"`
	Rid         string `json:"rid,omitempty"`
	Target      string `json:"target,omitempty"`
	MaxWaitUs   int64  `json:"maxWaitUs,omitempty"`
	HoldOffUs   int64  `json:"holdOffUs,omitempty"`
	KeyBack     string `json:"keyBack,omitempty"`
	FromNowUs   int64  `json:"fromNowUs,omitempty"`
	On          bool   `json:"on,omitempty"`
	Message     string `json:"message,omitempty"`
}

// wireReply is one line of output.
type wireReply struct {
	Frame  int64        `json:"frame"`
	Outbox []wireAction `json:"outbox"`
}

// requiredField is a field that a message must have.
type requiredField struct {
	name    string
	present bool
}

// field returns the requiredField for a decoded value, which is nil if the field is absent.
func field[T any](name string, value *T) requiredField {
	return requiredField{name: name, present: value != nil}
}

// require returns an error that wraps config.ErrMissing and names the first absent field.
func require(fields ...requiredField) error {
	for _, f := range fields {
		if !f.present {
			return config.MissingField(f.name)
		}
	}
	return nil
}
