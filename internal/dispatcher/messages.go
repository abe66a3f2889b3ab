package dispatcher

import (
	"time"

	"dapplegate/scheduler"
)

// Ending says how a request ended.
type Status int

const (
	// Served carries the target's answer.
	Served Status = iota
	// Refused tells the client that trying again is harmless.
	Rejected
	// Failed makes no promise about the effect.
	Failed
	// Conflict tells that a request of the same name is open, or was sent not long ago and may have run.
	Duplicate
)

// endingNames are the endings as logs tell them.
var statusNames = [...]string{Served: "SERVED", Rejected: "REFUSED", Failed: "FAILED", Duplicate: "CONFLICT"}

// String returns the ending's name.
func (e Status) String() string { return statusNames[e] }

// Answer is the one final answer of a request.
type Response struct {
	Status      Status
	Payload     any                     // of a served request: what the upstream brought
	RetryAfter  time.Duration           // of a refusal: when the client should come back; 0: no advice
	LastAttempt scheduler.AttemptStatus // how the last attempt ended, if there was one
}

// TooMany refuses what a front cannot take in for want of room: nothing of it has reached the module.
var Overloaded = Response{Status: Rejected, RetryAfter: time.Second}

// Job is a request as a front hands it over. ID and Budget are the core's to fill.
type Call struct {
	scheduler.Request
	ClientRequestID string         // the client's own for it, one of a kind; may be empty
	ReceivedAt      time.Time      // when its last byte was here
	ClientTimeout   time.Duration  // how long the client waits from then on
	Payload         any            // for the upstream
	Respond         func(Response) // called once, from the core's goroutine: must not wait
	ClientGone      func() bool    // whether the client has left by now; any goroutine may ask; nil: not known
}

// Attempt is one try of a request at a target.
type Attempt struct {
	RequestID       string
	ClientRequestID string // the client's own for the request, for logs
	Number          int
	Target          string
	StartBy         time.Time   // no first byte after that; zero: at any time
	Deadline        time.Time   // given up then
	ClientGone      func() bool // of the job
	Payload         any
}

// Result ends an attempt. By the time it is handed over, nothing of the attempt may be on its way any more.
type AttemptResult struct {
	RequestID   string
	Number      int
	Target      string
	Status      scheduler.AttemptStatus
	LoadReport  *scheduler.LoadReport
	VolumeUsage int
	Payload     any
}

// Upstream carries attempts out. Neither call may wait. Exactly one Result follows each Send, also after a
// Cancel, which may come too late to change it.
type Upstream interface {
	Send(Attempt)
	Cancel(node, request string)
}
