// Package endpoints decodes and validates the endpoint list, and maps the field names of discovery's JSON to the terms used
// in the code.
package endpoints

import (
	"errors"
	"fmt"
	"net"
	"time"

	jsoniter "github.com/json-iterator/go"

	"dapplegate/scheduler"
)

// List is the complete endpoint list, or the entries that changed since an earlier version.
type List struct {
	Version  *int64  `json:"version"` // never nil once Validate has succeeded
	Complete bool    `json:"full"`
	Entries  []Entry `json:"servers"`
}

// Entry is a target in the endpoint list.
type Entry struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"` // host:port
	Zone      string `json:"zone"`
	Shard     *int   `json:"cell"`       // once Validate has succeeded, nil only for a removed target
	State     string `json:"state"`      // a key of targetStates once Validate has succeeded
	StartedMs int64  `json:"started_ms"` // last start of the target, Unix time in milliseconds; 0: long ago
}

// stateRemoved marks a target that is no longer listed. It occurs only in lists of changes.
const stateRemoved = "DELETED"

// targetStates maps the states in discovery's JSON to those of the scheduler.
var targetStates = map[string]scheduler.TargetState{
	"SERVING":    scheduler.Serving,
	"DRAINING":   scheduler.Draining,
	stateRemoved: scheduler.Removed,
}

// FieldError reports an invalid field of a list.
type FieldError struct {
	Field string // path of the field in discovery's JSON, such as servers[0].id
	Err   error  // what is wrong with the field
}

// Error implements error.
func (e *FieldError) Error() string {
	if errors.Is(e.Err, errMissing) {
		return "list: " + e.Field + " is missing"
	}
	return "list: " + e.Field + ": " + e.Err.Error()
}

// Unwrap returns Err.
func (e *FieldError) Unwrap() error { return e.Err }

var errMissing = errors.New("missing")

// Decode decodes and validates a list. A list with any invalid entry is rejected as a whole. The error is a *FieldError if
// the JSON could be decoded.
func Decode(data []byte) (*List, error) {
	var list List
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	if err := list.Validate(); err != nil {
		return nil, err
	}
	return &list, nil
}

// Validate returns a *FieldError for the first invalid field.
func (l *List) Validate() error {
	if l.Version == nil {
		return &FieldError{Field: "version", Err: errMissing}
	}
	for i := range l.Entries {
		if field, err := l.Entries[i].validate(); err != nil {
			return &FieldError{Field: fmt.Sprintf("servers[%d].%s", i, field), Err: err}
		}
	}
	return nil
}

// validate returns the name of the first invalid field, and an error that says what is wrong with it. An entry of a removed
// target needs only its ID and state.
func (e *Entry) validate() (field string, err error) {
	if e.ID == "" {
		return "id", errMissing
	}
	if _, known := targetStates[e.State]; !known {
		return "state", fmt.Errorf("unknown state %q", e.State)
	}
	if e.IsRemoved() {
		return "", nil
	}
	if e.Shard == nil {
		return "cell", errMissing
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil {
		return "addr", err
	}
	return "", nil
}

// IsRemoved reports whether the entry removes the target from the list.
func (e *Entry) IsRemoved() bool { return e.State == stateRemoved }

// TargetState converts the entry's state to that of the scheduler. The list must be valid, see Validate.
func (e *Entry) TargetState() scheduler.TargetState { return targetStates[e.State] }

// Target converts the entry to a scheduler.Target. startedAt is the target's last start in scheduler time, which the caller
// derives from StartedMs. The list must be valid, see Validate.
func (e *Entry) Target(startedAt time.Duration) scheduler.Target {
	target := scheduler.Target{
		ID:        e.ID,
		Zone:      e.Zone,
		State:     e.TargetState(),
		StartedAt: startedAt,
	}
	if e.Shard != nil {
		target.Shard = *e.Shard
	}
	return target
}
