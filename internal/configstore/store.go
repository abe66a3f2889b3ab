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

// Entry is the configuration of one initiator. Entries are stored in snapshots and sent to clients.
type Entry struct {
	Name    string          `json:"name"`
	Version uint64          `json:"version"`          // index of the log entry that wrote it
	Config  json.RawMessage `json:"config,omitempty"` // empty: deleted, or omitted in the response to a write
}

// change is the command in a log entry. It writes or deletes one Entry.
type change struct {
	Name      string          `json:"name"`
	Config    json.RawMessage `json:"config,omitempty"` // empty: delete the entry
	IfVersion *uint64         `json:"if,omitempty"`     // required version of the current entry; 0: no entry; nil: any
}

// ErrNotFound reports that there is no configuration with the requested name.
var ErrNotFound = errors.New("no such instance")

// errNotModified reports that the entry still has the version that the caller knows.
var errNotModified = errors.New("the entry has not changed")

// conflictError rejects a change whose required version differs from the current one.
type conflictError struct {
	name    string
	version uint64 // current version
}

func (e *conflictError) Error() string {
	return fmt.Sprintf("%s: the entry has another version: %d", e.name, e.version)
}

// store is the state machine to which the log is applied. Servers that have applied the same part of the log have the same
// entries.
type store struct {
	mu      sync.Mutex
	entries map[string]Entry
	changed chan struct{} // closed and replaced on each change
}

func newStore() *store {
	return &store{entries: map[string]Entry{}, changed: make(chan struct{})}
}

// Apply implements raft.FSM. It returns the new Entry, a *conflictError, or an error if the log entry cannot be decoded.
func (s *store) Apply(logEntry *raft.Log) any {
	var c change
	if err := json.Unmarshal(logEntry.Data, &c); err != nil {
		return fmt.Errorf("log entry %d: %w", logEntry.Index, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.entries[c.Name]; c.IfVersion != nil && current.Version != *c.IfVersion {
		return &conflictError{name: c.Name, version: current.Version}
	}
	entry := Entry{Name: c.Name, Version: logEntry.Index, Config: c.Config}
	if len(c.Config) == 0 {
		delete(s.entries, c.Name)
	} else {
		s.entries[c.Name] = entry
	}
	s.broadcast()
	return entry
}

// broadcast wakes all goroutines that wait for a change. The caller must hold mu.
func (s *store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the named entry, and a channel that is closed on the next change of any entry.
func (s *store) get(name string) (entry Entry, found bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, found = s.entries[name]
	return entry, found, s.changed
}

// wait returns the named entry as soon as it exists with a version other than known. After the timeout it returns
// errNotModified or, if there is no entry, ErrNotFound. If ctx ends first, it returns the error of ctx.
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

// snapshot is a copy of the entries by name. It is persisted as one JSON object.
type snapshot map[string]Entry

// Snapshot implements raft.FSM.
func (s *store) Snapshot() (raft.FSMSnapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return snapshot(maps.Clone(s.entries)), nil
}

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(map[string]Entry(s)); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}

// Restore implements raft.FSM. It replaces all entries with those of a snapshot.
func (s *store) Restore(in io.ReadCloser) error {
	defer func() { _ = in.Close() }() // in is only read, so the error is irrelevant
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
