// Package scheduler decides, for one initiator, when each client request is sent to the target that stores
// its data, and how each request ends.
//
// The package reads no clock and opens no socket. The caller passes the current time and a batch of [Event]
// values to [Scheduler.Step] and carries out the returned [Action] values in order. Times are durations
// since an origin long before the first step; where a comment says so, 0 means none or long ago. The same
// settings, seed and events always produce the same actions.
//
// Requests are ordered by redemptive fair queuing (RFQ): each volume has a token bucket, which determines the
// start tag and the finish tag of each of its requests. tags.go explains the terms.
//
// Seven rules hold for every sequence of events. Each is listed with the functions that enforce it:
//
//  1. Each request ends exactly once, by its deadline: giveUpOverdue and endRequest.
//  2. No request is executed twice unless its class allows it: mayRetry, isInDedupScope and
//     isClientRetrySafe.
//  3. No attempt goes to a draining or removed target: assignTargets.
//  4. A target in slow start gets no more than this initiator's share of what it can serve:
//     slowStart.admissionTime. If that share is less than one request, the target gets one request per
//     window, and more in proportion to what it has served.
//  5. Requests for a serialized extent run one at a time, in order of arrival: serialAdmissionTime.
//  6. Retries stay within the retry budget: retryBudget.admissionTime.
//  7. A volume stays within this initiator's share of its limit: rateLimitAdmissionTime.
//
// The files, by topic:
//
//   - settings.go, events.go, actions.go: the interface
//   - scheduler.go, timer.go, sweep.go: a step, the time of the next step, the removal of idle state
//   - tablesizes.go: how many entries the tables have
//   - arrival.go, attempts.go, completion.go, givenup.go: the life cycle of a request
//   - request.go, giveupheap.go, queue.go, volume.go, target.go: data structures
//   - admission.go: when an attempt may start, by the rules in ordering.go, ratelimit.go, slowstart.go,
//     retry.go and idempotency.go
//   - dispatch.go, selection.go, priority.go: which request is sent next
//   - tags.go, share.go: fair queuing, and this initiator's share of a volume
//   - placement.go: the choice of a shard for a new object
//   - endpoints.go, latency.go, concurrency.go, outlier.go: the state of a target
package scheduler
