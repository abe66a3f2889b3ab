// Package upstream carries attempts to targets.
//
// The Registry has an actor for each target of the endpoint list (target.go), which owns a pool of
// connections to it (connpool.go) and runs each attempt on one of them (attempt.go). What is spoken on a
// connection is behind the interfaces Dialer and Conn; this package has HTTP/1.1 (http.go).
package upstream

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// Endpoint is a target as the endpoint list has it.
type Endpoint struct {
	ID    string
	Addr  string // host:port; empty: as before
	State scheduler.TargetState
}

// Options are the bounds of all connections.
type Options struct {
	Dialer            Dialer
	DialTimeout       time.Duration // how long an attempt waits for a new connection; see backgroundDialFactor
	IdleTimeout       time.Duration // how long an unused connection is kept in the pool
	MaxConnsPerTarget int           // open connections to one target, those being dialed included; beyond: ConnectFailed
	MaxConns          int           // open connections to all targets together
	Logger            *slog.Logger
}

// Registry holds the targets' actors. An endpoint list is applied to it before the scheduler has it, so that an attempt which
// was decided on the older list is still checked against the newer state right before its first byte. It is safe for
// concurrent use.
type Registry struct {
	options   Options
	report    func(dispatcher.AttemptResult)
	openConns atomic.Int64 // to all targets, those being dialed included

	mu      sync.Mutex
	targets map[string]*target
	retired map[*target]bool // removed from the list, with an attempt or a dial in flight
}

var _ dispatcher.Upstream = (*Registry)(nil)

// NewRegistry returns a registry without targets. It calls report, from any goroutine, with the result of
// each attempt.
func NewRegistry(options Options, report func(dispatcher.AttemptResult)) *Registry {
	return &Registry{
		options: options,
		report:  report,
		targets: map[string]*target{},
		retired: map[*target]bool{},
	}
}

// Apply applies entries of the endpoint list. If the list is complete, targets that it does not name are removed.
func (r *Registry) Apply(list []Endpoint, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, endpoint := range list {
		listed[endpoint.ID] = true
		r.applyOne(endpoint)
	}
	for id, t := range r.targets {
		if complete && !listed[id] {
			t.update("", scheduler.Removed)
		}
		if t.currentState() == scheduler.Removed {
			r.retire(t)
		}
	}
}

func (r *Registry) applyOne(endpoint Endpoint) {
	t := r.targets[endpoint.ID]
	if t == nil {
		if endpoint.State == scheduler.Removed {
			return
		}
		t = r.add(endpoint.ID)
	}
	t.update(endpoint.Addr, endpoint.State)
}

// add starts the actor of a target.
func (r *Registry) add(id string) *target {
	t := newTarget(id, r.options, &r.openConns, r.report)
	r.targets[id] = t
	go func() {
		t.run()
		r.mu.Lock()
		delete(r.retired, t)
		r.mu.Unlock()
	}()
	return t
}

// retire lets the actor of a removed target end once nothing of it is in flight.
func (r *Registry) retire(t *target) {
	delete(r.targets, t.id)
	r.retired[t] = true
	t.mailbox.Put(retire{})
}

// Send starts an attempt; one result follows.
func (r *Registry) Send(attempt dispatcher.Attempt) {
	if r.deliver(attempt) {
		return
	}
	// The target was removed from the list after the decision.
	r.report(dispatcher.AttemptResult{
		RequestID: attempt.RequestID,
		Number:    attempt.Number,
		Target:    attempt.Target,
		Status:    scheduler.NotSent,
	})
}

// deliver hands an attempt to its target's actor; false if there is none.
func (r *Registry) deliver(attempt dispatcher.Attempt) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.targets[attempt.Target]
	if t == nil {
		return false
	}
	t.mailbox.Put(startAttempt{attempt})
	return true
}

// Cancel ends the attempt of a request at a target early, if it is in flight; its connection is closed before
// its result is reported.
func (r *Registry) Cancel(targetID, requestID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.targets[targetID]; t != nil {
		t.mailbox.Put(cancelAttempt{requestID})
	}
	// The attempt may have started before the target was removed, and perhaps listed anew.
	for t := range r.retired {
		if t.id == targetID {
			t.mailbox.Put(cancelAttempt{requestID})
		}
	}
}
