package dispatcher

import (
	"fmt"
	"time"

	"dapplegate/scheduler"
)

// Status is the outcome of a request.
type Status int

const (
	// Served means that the target has served the request and Response.Payload holds its response.
	Served Status = iota
	// Rejected guarantees that the client can safely send the request again. The request may have been executed only if it is
	// idempotent or every target discards duplicates of it.
	Rejected
	// Failed guarantees nothing about whether the request was executed.
	Failed
	// Duplicate means that a request with the same client request ID is open, or ended recently and may have been executed.
	Duplicate
)

var statusNames = [...]string{
	Served:    "SERVED",
	Rejected:  "REJECTED",
	Failed:    "FAILED",
	Duplicate: "DUPLICATE",
}

// String returns the name of the status in logs.
func (s Status) String() string {
	if s < 0 || int(s) >= len(statusNames) {
		return fmt.Sprintf("STATUS_%d", int(s))
	}
	return statusNames[s]
}

// Response is the final response to a request. Each request gets at most one.
type Response struct {
	Status            Status
	Payload           any                     // payload of the AttemptResult; set if Status is Served
	RetryAfter        time.Duration           // how long the client should wait before it retries; 0: no advice
	LastAttemptStatus scheduler.AttemptStatus // outcome of the last attempt; meaningless if there was none
	EndReason         scheduler.EndReason     // why the scheduler ended the request; EndUnspecified if it did not
}

// overloadRetryAfter is the RetryAfter of Overloaded. It gives open calls time to end before the client retries.
const overloadRetryAfter = time.Second

// Overloaded is a server's response to a request that it cannot submit for lack of capacity. No attempt was made.
var Overloaded = Response{Status: Rejected, RetryAfter: overloadRetryAfter}

// Call is one client request. The server sets its fields, except for ID and Timeout of the embedded request, which the
// dispatcher sets. The server must not change a call after Submit.
type Call struct {
	scheduler.Request
	// ClientRequestID is the ID that the client gave the request; empty: none. The response is Duplicate while this ID is
	// reserved for another request.
	ClientRequestID string
	// ReceivedAt is when the last byte of the request arrived.
	ReceivedAt time.Time
	// ClientTimeout is how long after ReceivedAt the client stops waiting for the response.
	ClientTimeout time.Duration
	// Payload is passed to the upstream with each attempt. The dispatcher does not read it.
	Payload any
	// Respond receives the final response. It is called exactly once, or never if the call is cancelled or Run returns first.
	// It must not block, because it runs in the dispatcher's goroutine, which serves all calls.
	Respond func(Response)
	// ClientClosed reports whether the client has closed its connection. It may be called from any goroutine, even after the
	// response. nil: this cannot be determined.
	ClientClosed func() bool
}

// Attempt is one attempt to have a target execute a request.
type Attempt struct {
	RequestID       string // assigned by the dispatcher
	ClientRequestID string // given by the client, for logs; may be empty
	Number          int    // number of the attempt within its request, from 0
	Target          string
	SendBy          time.Time   // no byte may be sent from this time on; zero: no bound but Deadline
	Deadline        time.Time   // when the attempt times out
	ClientClosed    func() bool // ClientClosed of the call
	Payload         any         // Payload of the call
}

// AttemptResult is the result of an attempt. Once it is reported, no more bytes of the attempt may reach the target.
type AttemptResult struct {
	RequestID   string // RequestID, Number and Target are copied from the attempt
	Number      int
	Target      string
	Status      scheduler.AttemptStatus
	LoadReport  *scheduler.LoadReport // load report of the target; nil: none
	VolumeUsage int                   // see scheduler.AttemptEnded
	Payload     any                   // payload for the response; set if Status is Succeeded
}

// Upstream carries out attempts. Its methods must not block, because the dispatcher's goroutine calls them. For each Send,
// the upstream calls ReportResult exactly once, from any goroutine.
type Upstream interface {
	Send(Attempt)
	// Cancel ends the attempt that the request has in flight at the target. The attempt's result tells whether Cancel came in
	// time. Cancel may be called several times for an attempt, and for one that has just ended.
	Cancel(target, requestID string)
}
