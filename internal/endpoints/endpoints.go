// Package endpoints decodes the endpoint list. Discovery's names for its fields are mapped to the code's
// terms here.
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
	Version  *int64  `json:"version"` // nil only in a list that Check rejects
	Complete bool    `json:"full"`
	Entries  []Entry `json:"servers"`
}

// Entry is a target as the list has it.
type Entry struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"` // host:port
	Zone      string `json:"zone"`
	Shard     *int   `json:"cell"`       // nil only in an entry of a removed target
	State     string `json:"state"`      // a key of states, once Check has passed
	StartedMs int64  `json:"started_ms"` // last start, Unix time in milliseconds; 0: long ago
}

// stateRemoved is the state of a target that is not listed any more; only lists of changes have it.
const stateRemoved = "DELETED"

var states = map[string]scheduler.TargetState{
	"SERVING":    scheduler.Serving,
	"DRAINING":   scheduler.Draining,
	stateRemoved: scheduler.Removed,
}

// FieldError is a field of a list that cannot be used.
type FieldError struct {
	Field string // the path of the field in discovery's JSON, such as servers[0].id
	Err   error
}

// Error implements error.
func (e *FieldError) Error() string {
	if errors.Is(e.Err, errMissing) {
		return "list: " + e.Field + " is missing"
	}
	return "list: " + e.Field + ": " + e.Err.Error()
}

// Unwrap returns what is wrong with the field.
func (e *FieldError) Unwrap() error { return e.Err }

var errMissing = errors.New("missing")

// Decode decodes a list and checks it: of a list with any entry that cannot be used, nothing is used. Its
// error is a FieldError if the JSON is sound.
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

// Validate returns a FieldError for the first field that cannot be used.
func (l *List) Validate() error {
	if l.Version == nil {
		return &FieldError{Field: "version", Err: errMissing}
	}
	for i := range l.Entries {
		if field, err := l.Entries[i].check(); err != nil {
			return &FieldError{Field: fmt.Sprintf("servers[%d].%s", i, field), Err: err}
		}
	}
	return nil
}

// check returns the first field that cannot be used, and why. A removed target needs no more than an ID.
func (e *Entry) check() (field string, err error) {
	if e.ID == "" {
		return "id", errMissing
	}
	if _, known := states[e.State]; !known {
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

// IsRemoved reports whether the entry takes the target off the list.
func (e *Entry) IsRemoved() bool { return e.State == stateRemoved }

// TargetState returns the state in the scheduler's terms.
func (e *Entry) TargetState() scheduler.TargetState { return states[e.State] }

// Target returns the entry in the scheduler's terms. The caller converts StartedMs to started, which is on the scheduler's
// clock.
func (e *Entry) Target(started time.Duration) scheduler.Target {
	target := scheduler.Target{
		ID:        e.ID,
		Zone:      e.Zone,
		State:     e.TargetState(),
		StartedAt: started,
	}
	if e.Shard != nil {
		target.Shard = *e.Shard
	}
	return target
}
