package dispatcher

import (
	"fmt"
	"time"

	"dapplegate/scheduler"
)

// Status says how a request ended.
type Status int

const (
	// Served carries the target's response.
	Served Status = iota
	// Rejected promises that a repeat by the client is harmless; an idempotent request may have been executed.
	Rejected
	// Failed makes no promise about the request's effect.
	Failed
	// Duplicate says that a request of the same id is open, or ended not long ago and may have been executed.
	Duplicate
)

// statusNames are the statuses as logs give them.
var statusNames = [...]string{
	Served:    "SERVED",
	Rejected:  "REJECTED",
	Failed:    "FAILED",
	Duplicate: "DUPLICATE",
}

// String returns the status's name.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return fmt.Sprintf("STATUS_%d", int(s))
	}
	return statusNames[s]
}

// Response is the one final answer to a request.
type Response struct {
	Status            Status
	Payload           any                     // what the upstream returned; set if Status is Served
	RetryAfter        time.Duration           // how long the client should wait before it sends the request again; 0: no advice
	LastAttemptStatus scheduler.AttemptStatus // how the last attempt ended; without meaning if there was none
}

// overloadRetryAfter is the Retry-After of Overloaded: it gives open calls time to end before the client asks again.
const overloadRetryAfter = time.Second

// Overloaded is the response of a server to a request that it cannot submit for lack of capacity: no attempt was made.
var Overloaded = Response{Status: Rejected, RetryAfter: overloadRetryAfter}

// Call is one client request. Its server fills it in and must not change it after Submit; the dispatcher sets ID and Timeout
// of the embedded request.
type Call struct {
	scheduler.Request
	// ClientRequestID is the client's id for the request; empty: it has none. While a request of the same id is reserved,
	// the response is Duplicate.
	ClientRequestID string
	// ReceivedAt is when the last byte of the request had arrived.
	ReceivedAt time.Time
	// ClientTimeout is how long the client waits for the response, from ReceivedAt on.
	ClientTimeout time.Duration
	// Payload is handed to the upstream with each attempt, unread.
	Payload any
	// Respond gets the final response. It is called exactly once, or never if the call is cancelled before that, by the
	// dispatcher's goroutine, which serves all calls: it must not block.
	Respond func(Response)
	// ClientGone reports whether the client has closed its connection by now. Any goroutine may call it, also after the
	// response; nil: not known.
	ClientGone func() bool
}

// Attempt is one sending of a request to a target.
type Attempt struct {
	RequestID       string // the dispatcher's
	ClientRequestID string // the client's, for logs; may be empty
	Number          int    // of the request's attempts, from 0
	Target          string
	StartBy         time.Time   // no first byte may be sent after that; zero: no bound
	Deadline        time.Time   // the attempt times out then
	ClientGone      func() bool // as of the call
	Payload         any         // of the call
}

// AttemptResult is how an attempt ended. Once it is reported, nothing of the attempt may reach the target any more.
type AttemptResult struct {
	RequestID   string // of the attempt, as are Number and Target
	Number      int
	Target      string
	Status      scheduler.AttemptStatus
	LoadReport  *scheduler.LoadReport // as the target reported it; nil: it did not
	VolumeUsage int                   // see scheduler.AttemptEnded
	Payload     any                   // becomes the response's; set if Status is Succeeded
}

// Upstream carries out attempts. The dispatcher's goroutine calls it: neither method may block. Exactly one result follows
// each Send through ReportResult, from any goroutine.
type Upstream interface {
	Send(Attempt)
	// Cancel ends the request's attempt in flight at the target. The result says whether that came in time. It may be
	// called more than once for an attempt, and for one that has just ended.
	Cancel(target, requestID string)
}
