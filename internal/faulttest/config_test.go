package faulttest

import (
	"encoding/json"
	"time"
)

const (
	// maxDeadlineBeforeKill is the longest deadline that KillAfter takes into account. Longer ones count as this one.
	maxDeadlineBeforeKill = 3 * time.Second
	// killMargin is the time that KillAfter adds to the longest deadline.
	killMargin = 700 * time.Millisecond
)

// Class is a request class of the configuration.
type Class struct {
	Name          string
	Deadline      time.Duration
	NonIdempotent bool
}

// Config holds the values of an initiator's configuration that differ between tests.
type Config struct {
	Listen    string
	Discovery string
	Classes   []Class
	Cores     float64
	Sockets   int    // limit on open file descriptors
	MemoryMiB int    // memory limit; 0: defaultMemoryMiB
	LogLevel  string // "" for debug
}

// defaultMemoryMiB is the memory limit of tests that are not about memory.
const defaultMemoryMiB = 128

// MaxDeadline returns the longest deadline of all classes.
func (c Config) MaxDeadline() time.Duration {
	longest := time.Duration(0)
	for _, class := range c.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// KillAfter returns the shortest time after SIGTERM at which SIGKILL may follow.
func (c Config) KillAfter() time.Duration {
	return min(c.MaxDeadline(), maxDeadlineBeforeKill) + killMargin
}

// JSON returns the content of the configuration file.
func (c Config) JSON() []byte {
	classes := make([]map[string]any, 0, len(c.Classes))
	for _, class := range c.Classes {
		effect := "pure"
		if class.NonIdempotent {
			effect = "side_effect"
		}
		classes = append(classes, map[string]any{"name": class.Name, "promiseUs": class.Deadline.Microseconds() / 2,
			"deadlineUs": class.Deadline.Microseconds(), "effect": effect, "worth": 2})
	}
	memoryMiB := c.MemoryMiB
	if memoryMiB == 0 {
		memoryMiB = defaultMemoryMiB
	}
	raw, err := json.Marshal(map[string]any{
		"name": "n1", "listen": c.Listen, "discovery": c.Discovery, "seed": "1",
		"limits": map[string]any{"cores": c.Cores, "memory_mb": memoryMiB, "sockets": c.Sockets},
		"settings": map[string]any{"peersTotal": 1, "tickUs": 2000, "classes": classes,
			"contracts": []map[string]any{{"name": "std", "usualRate": 1000, "reservation": 1000, "parts": 1, "pays": 1}},
			"extra":     map[string]any{"meanUnits": 1, "largest": 6, "coldBears": 100},
			"limits":    map[string]any{"sendCap": 3, "dialTimeoutUs": 250000, "connIdleUs": 30000000}},
	})
	if err != nil {
		panic(err) // cannot happen: every value can be encoded
	}
	return raw
}
