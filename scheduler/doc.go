// Package scheduler decides, for one initiator, when each client request is forwarded to the target that
// holds its data, and how each request ends.
//
// The package has no clock and no socket. Its caller passes the time and a batch of [Event] values to
// [Scheduler.Step], and executes the returned [Action] values in order. Times are durations since an origin
// long before the first step; in fields that say so, 0 means none or long ago. The same settings, seed and
// events always give the same actions.
//
// Requests are ordered by redemptive fair queuing (RFQ): each volume has a token bucket, from which a
// request gets a start tag and a finish tag. The terms are explained in tags.go.
//
// The seven rules that hold for every sequence of events, each with the functions that keep it:
//
//  1. Each request ends exactly once, by its deadline: giveUpOverdue and endRequest.
//  2. No request is executed twice where its class does not allow it: mayRetry, isInDedupScope and
//     isRepeatHarmless.
//  3. No attempt goes to a draining or removed target: assignTargets.
//  4. A target in slow start gets no more than this initiator's part of what it can serve: slowStart.admitAt.
//     Where that part is less than one request, it gets one a window, and more as far as it has served.
//  5. Requests for a serialized extent run one at a time, in order of arrival: orderAdmitAt.
//  6. Retries stay within the retry budget: retryBudget.admitAt.
//  7. A volume stays within this initiator's part of its limit: rateLimitAdmitAt.
//
// After "Prevents:" a comment says what would happen without the code.
//
// The files, by concern:
//
//   - settings.go, events.go, actions.go: the interface
//   - scheduler.go, timer.go, sweep.go: a step, when the next one is due, removal of idle state
//   - arrival.go, attempts.go, completion.go, givenup.go: the life of a request
//   - request.go, giveupheap.go, queue.go, volume.go, target.go: the state of each of them
//   - admission.go: when an attempt may start, by the rules in ordering.go, ratelimit.go, slowstart.go,
//     retry.go and idempotency.go
//   - dispatch.go, selection.go, priority.go: which request leaves next
//   - tags.go, share.go: fair queuing, and this initiator's share of a volume
//   - placement.go: the shard of a new object
//   - endpoints.go, latency.go, concurrency.go, outlier.go: the state of a target
package scheduler
