package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is a target in the endpoint list.
type entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
}

// The states of an entry.
const (
	serving  = "SERVING"
	draining = "DRAINING"
	deleted  = "DELETED"
)

// discovery is the agent that tells an initiator the list of targets.
type discovery struct {
	addr    string
	mu      sync.Mutex
	version int
	entries map[string]entry
	since   map[string]int // by ID: the version of the last change of the entry
	changed chan struct{}  // closed and replaced at each change
}

// firstVersion is the version of an agent's first list.
const firstVersion = 41

// startDiscovery starts an agent with a list.
func (b *bench) startDiscovery(entries []entry) (*discovery, error) {
	listener, err := b.listen()
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: listener.Addr().String(), version: firstVersion, entries: map[string]entry{}, since: map[string]int{},
		changed: make(chan struct{})}
	for _, e := range entries {
		d.entries[e.ID] = e
		d.since[e.ID] = firstVersion
	}
	server := &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	b.onClose(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return d, nil
}

// change adds an entry or replaces the one with the same ID, in a new version of the list.
func (d *discovery) change(e entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.entries[e.ID] = e
	d.since[e.ID] = d.version
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the entries that changed after a version, or without a version all that are not deleted.
func (d *discovery) list(after int, full bool) []entry {
	list := []entry{}
	for id, e := range d.entries {
		if full && e.State != deleted || !full && d.since[id] > after {
			list = append(list, e)
		}
	}
	return list
}

// ServeHTTP answers with the whole list. A watch waits until there is something newer, or until its wait is over, and gets the
// changes.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	full := err != nil
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("wait_ms")) // 0 if absent
	wait := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer wait.Stop()
	for over := false; ; {
		d.mu.Lock()
		changed := d.changed
		if full || d.version > after || over {
			answer := map[string]any{"version": d.version, "full": full, "servers": d.list(after, full)}
			d.mu.Unlock()
			_ = json.NewEncoder(w).Encode(answer)
			return
		}
		d.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
