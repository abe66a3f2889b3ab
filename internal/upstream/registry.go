// Package upstream sends attempts to targets and reports their results.
//
// The Registry runs an actor for each target of the endpoint list (target.go). The actor owns a pool of connections to its
// target (connpool.go) and runs each attempt on one of them (attempt.go). The interfaces Dialer and Conn hide the protocol
// (conn.go); this package implements them for HTTP/1.1 (http.go).
package upstream

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID    string
	Addr  string // host:port; if empty, the target keeps its address
	State scheduler.TargetState
}

// Options configures a Registry: its protocol, the limits on its connections, and its log. An attempt that needs a new
// connection beyond MaxConnsPerTarget or MaxConns is reported as NotSent.
type Options struct {
	Dialer            Dialer
	DialTimeout       time.Duration // how long an attempt waits for a new connection; the dial may go on for a later attempt
	IdleTimeout       time.Duration // how long an unused connection is kept in the pool
	MaxConnsPerTarget int           // connections to one target, including those being dialed
	MaxConns          int           // connections to all targets, including those being dialed
	Logger            *slog.Logger
}

// Registry holds the actors of all targets. The caller applies each endpoint list to the Registry before it passes the list
// to the scheduler: an attempt that the scheduler started on the basis of an older list is then checked against the newer
// state right before its first byte. A Registry is safe for concurrent use.
type Registry struct {
	options        Options
	reportResult   func(dispatcher.AttemptResult)
	totalOpenConns atomic.Int64 // connections to all targets, including those being dialed
	quarantine     quarantine   // of the connections to all targets

	mu      sync.Mutex
	targets map[string]*target
	retired map[*target]bool // actors of removed targets, until they stop
}

var _ dispatcher.Upstream = (*Registry)(nil)

// NewRegistry returns a registry without targets. The registry calls reportResult, from any goroutine, with the result of
// each attempt.
func NewRegistry(options Options, reportResult func(dispatcher.AttemptResult)) *Registry {
	return &Registry{
		options:      options,
		reportResult: reportResult,
		targets:      map[string]*target{},
		retired:      map[*target]bool{},
	}
}

// Apply adds, updates and removes targets as the list says. If the list is complete, targets that it does not contain are
// removed. Changes cost as much as their entries, whatever the number of targets.
func (r *Registry) Apply(list []Endpoint, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, endpoint := range list {
		r.applyEndpoint(endpoint)
	}
	if complete {
		r.removeUnlisted(list)
	}
}

// removeUnlisted removes the targets that a complete list does not contain.
func (r *Registry) removeUnlisted(list []Endpoint) {
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.ID] = true
	}
	for id, t := range r.targets {
		if !listed[id] {
			t.update("", scheduler.Removed)
			r.retire(t)
		}
	}
}

func (r *Registry) applyEndpoint(endpoint Endpoint) {
	t := r.targets[endpoint.ID]
	if t == nil {
		if endpoint.State == scheduler.Removed {
			return
		}
		t = r.addTarget(endpoint.ID)
	}
	t.update(endpoint.Addr, endpoint.State)
	if endpoint.State == scheduler.Removed {
		r.retire(t)
	}
}

// addTarget adds a target.
func (r *Registry) addTarget(id string) *target {
	t := newTarget(id, r.options, &r.totalOpenConns, &r.quarantine, r.reportResult)
	t.onStopped = func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !t.isRunning() { // another attempt may have started it again
			delete(r.retired, t)
		}
	}
	r.targets[id] = t
	return t
}

// retire removes a target, whose state is Removed already, from the registry. If its actor runs, it closes its idle connections and
// stops once no attempt or dial is in flight.
func (r *Registry) retire(t *target) {
	delete(r.targets, t.id)
	if t.notify(endpointChanged{}) {
		r.retired[t] = true
	}
}

// Send starts an attempt. Exactly one result is reported for it.
func (r *Registry) Send(attempt dispatcher.Attempt) {
	if r.deliver(attempt) {
		return
	}
	// The target was removed after the scheduler had chosen it.
	r.reportResult(dispatcher.AttemptResult{
		RequestID: attempt.RequestID,
		Number:    attempt.Number,
		Target:    attempt.Target,
		Status:    scheduler.NotSent,
	})
}

// deliver passes an attempt to the actor of its target. It returns false if there is no such target.
func (r *Registry) deliver(attempt dispatcher.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[attempt.Target]
	if t == nil {
		return false
	}
	t.send(startAttempt{attempt})
	return true
}

// Cancel cancels the attempt of a request at a target, if it is in flight. The attempt's connection is closed before its
// result is reported.
func (r *Registry) Cancel(targetID, requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[targetID]; t != nil {
		t.notify(cancelAttempt{requestID})
	}
	// The attempt may have started before the target was removed, and the target may have been added again since.
	for t := range r.retired {
		if t.id == targetID {
			t.notify(cancelAttempt{requestID})
		}
	}
}
