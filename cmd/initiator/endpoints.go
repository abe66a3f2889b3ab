package main

import (
	"dapplegate/internal/discovery"
	"dapplegate/internal/endpoints"
	"dapplegate/internal/upstream"
	"dapplegate/scheduler"
)

// applyEndpoints applies an endpoint list; it runs in the watcher's goroutine. The registry is updated before the scheduler,
// because the registry checks the target's state again right before the first byte of an attempt. An attempt that the
// scheduler based on the older list therefore never starts on a target that is known to be draining.
func (in *initiator) applyEndpoints(list *endpoints.List) {
	in.registry.Apply(upstreamEndpoints(list), list.Complete)
	in.startTimes.Apply(list)
	in.dispatcher.UpdateEndpoints(schedulerEndpoints(list, in.startTimes))
	in.hasEndpoints.Store(true)
}

// upstreamEndpoints converts an endpoint list for the registry of targets.
func upstreamEndpoints(list *endpoints.List) []upstream.Endpoint {
	converted := make([]upstream.Endpoint, 0, len(list.Entries))
	for _, entry := range list.Entries {
		converted = append(converted, upstream.Endpoint{ID: entry.ID, Addr: entry.Addr, State: entry.TargetState()})
	}
	return converted
}

// schedulerEndpoints converts an endpoint list for the scheduler. The list has the targets' start times by the wall clock;
// startTimes converts them to the scheduler's clock.
func schedulerEndpoints(list *endpoints.List, startTimes *discovery.StartTimes) scheduler.EndpointList {
	converted := scheduler.EndpointList{Complete: list.Complete}
	for _, entry := range list.Entries {
		converted.Targets = append(converted.Targets, entry.Target(startTimes.Lookup(entry)))
	}
	return converted
}
