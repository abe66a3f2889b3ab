package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Entry is the configuration of one initiator. It is stored in snapshots and sent to clients.
type Entry struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`          // index of the log entry that wrote it
	Config  json.RawMessage `json:"config,omitempty"` // empty: deleted
}

// change is the command that a log entry holds.
type change struct {
	Name   string          `json:"name"`
	Config json.RawMessage `json:"config,omitempty"` // empty: delete the entry
	If     *uint64         `json:"if,omitempty"`     // required version of the present entry, 0: there is none; nil: any
}

// ErrNotFound says that there is no configuration of that name.
var ErrNotFound = errors.New("no such instance")

// errNotModified says that the entry still has the version that the caller knows.
var errNotModified = errors.New("the entry has not changed")

// conflictError rejects a change whose required version is not the present one.
type conflictError struct {
	name    string
	version uint64 // the present one
}

func (e *conflictError) Error() string {
	return fmt.Sprintf("%s: the entry has another version: %d", e.name, e.version)
}

// store is the state machine that the log is applied to. All servers that have applied the same part of the log have the
// same store.
type store struct {
	mu      sync.Mutex
	entries map[string]Entry
	changed chan struct{} // closed and replaced at each change
}

func newStore() *store {
	return &store{entries: map[string]Entry{}, changed: make(chan struct{})}
}

// Apply implements raft.FSM. It returns the new Entry, a *conflictError, or the error of a log entry that cannot be read.
func (s *store) Apply(l *raft.Log) any {
	var c change
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", l.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if present := s.entries[c.Name]; c.If != nil && present.Version != *c.If {
		return &conflictError{name: c.Name, version: present.Version}
	}
	entry := Entry{Name: c.Name, Version: l.Index, Config: c.Config}
	if len(c.Config) == 0 {
		delete(s.entries, c.Name)
	} else {
		s.entries[c.Name] = entry
	}
	s.broadcast()
	return entry
}

// broadcast wakes all waiters. The caller holds mu.
func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns an entry, and a channel that is closed at the next change of any entry.
func (s *store) get(name string) (entry Entry, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found = s.entries[name]
	return entry, found, s.changed
}

// wait returns the entry as soon as there is one with another version than known. When the timeout is over it returns
// errNotModified or ErrNotFound, and when ctx ends, its error.
func (s *store) wait(ctx context.Context, name string, known uint64, timeout time.Duration) (Entry, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		entry, found, changed := s.get(name)
		if found && entry.Version != known {
			return entry, nil
		}
		select {
		case <-changed:
			continue
		case <-ctx.Done():
			return Entry{}, ctx.Err()
		case <-timer.C:
		}
		if found {
			return Entry{}, errNotModified
		}
		return Entry{}, ErrNotFound
	}
}

// versions returns the version of each entry.
func (s *store) versions() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := make(map[string]uint64, len(s.entries))
	for name, entry := range s.entries {
		versions[name] = entry.Version
	}
	return versions
}

// snapshot is a copy of the entries, written as one JSON object.
type snapshot map[string]Entry

// Snapshot implements raft.FSM.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot(maps.Clone(s.entries)), nil
}

// Persist implements raft.FSMSnapshot.
func (m snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(map[string]Entry(m)); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}

// Restore implements raft.FSM. It replaces all entries.
func (s *store) Restore(in io.ReadCloser) error {
	defer func() { _ = in.Close() }() // only read from
	entries := map[string]Entry{}
	if err := json.NewDecoder(in).Decode(&entries); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = entries
	s.broadcast()
	return nil
}
