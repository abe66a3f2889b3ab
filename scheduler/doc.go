// Package scheduler decides, for one initiator, when each client request is forwarded to the target that
// holds its data, and how each request ends.
//
// The package has no clock and no socket. Its caller passes the time and a batch of [Event] values to
// [Scheduler.Step], and executes the returned [Action] values in order. Times are durations since an origin
// of the caller's choice. The same settings, seed and events always give the same actions.
//
// Requests are ordered by redemptive fair queuing (RFQ): each volume has a token bucket, from which a
// request gets a start tag and a finish tag. The terms are explained in tags.go.
package scheduler
