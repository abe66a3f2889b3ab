// Package scheduler decides, for one initiator, when each client request is forwarded to the target that
// holds its data, and how each request ends.
//
// The package has no clock and no socket. Its caller passes the time and a batch of [Event] values to
// [Scheduler.Step], and executes the returned [Action] values in order. Times are durations since an origin
// of the caller's choice. The same settings, seed and events always give the same actions.
//
// Requests are ordered by redemptive fair queuing (RFQ): each volume has a token bucket, from which a
// request gets a start tag and a finish tag. The terms are explained in tags.go.
//
// The files, by concern:
//
//   - settings.go, events.go, actions.go: the interface
//   - scheduler.go, timer.go, sweep.go: a step, when the next one is due, removal of idle state
//   - arrival.go, attempts.go, completion.go, rejected.go: the life of a request
//   - request.go, deadlines.go, queue.go, volume.go, target.go: what is kept of each of them
//   - admission.go: the one function that every attempt passes; it asks the rules in ordering.go,
//     ratelimit.go, slowstart.go and retry.go
//   - dispatch.go, selection.go, priority.go: which request leaves next
//   - tags.go, share.go: fair queuing, and this initiator's share of a volume
//   - placement.go: the shard of a new object
//   - endpoints.go, latency.go, concurrency.go, outlier.go: what is known of a target
package scheduler
