package discovery

import "time"

// Starts maps the starts of targets, which the list tells in wall-clock time, onto the clock of the program.
type Starts struct{}

// NewStarts returns a map between the wall clock and another, which began with its time.
func NewStarts(func() time.Time, func() time.Duration) *Starts { return &Starts{} }

// Apply takes over what a list tells of starts.
func (s *Starts) Apply(*List) {}

// At is when the target of an entry started; 0: long ago.
func (s *Starts) At(e Entry) time.Duration { return time.Duration(e.Started) * time.Millisecond }
