package main

import (
	"dapplegate/internal/discovery"
	"dapplegate/internal/endpoints"
	"dapplegate/internal/upstream"
	"dapplegate/scheduler"
)

// applyEndpoints applies an endpoint list, in the watcher's goroutine. The registry has it before the scheduler: an attempt that
// was decided on the older list is checked against the newer state right before its first byte, and so never starts at a
// target that is known to be draining.
func (in *initiator) applyEndpoints(list *endpoints.List) {
	in.registry.Apply(upstreamEndpoints(list), list.Complete)
	in.startTimes.Apply(list)
	in.dispatcher.UpdateEndpoints(schedulerEndpoints(list, in.startTimes))
	in.hasEndpoints.Store(true)
}

// upstreamEndpoints is the list as the registry of targets needs it.
func upstreamEndpoints(list *endpoints.List) []upstream.Endpoint {
	converted := make([]upstream.Endpoint, 0, len(list.Entries))
	for _, entry := range list.Entries {
		converted = append(converted, upstream.Endpoint{ID: entry.ID, Addr: entry.Addr, State: entry.TargetState()})
	}
	return converted
}

// schedulerEndpoints is the list as the scheduler needs it: the list has the starts of targets on the wall clock, startTimes
// has them on the scheduler's.
func schedulerEndpoints(list *endpoints.List, startTimes *discovery.StartTimes) scheduler.EndpointList {
	converted := scheduler.EndpointList{Complete: list.Complete}
	for _, entry := range list.Entries {
		converted.Targets = append(converted.Targets, entry.Target(startTimes.Lookup(entry)))
	}
	return converted
}
