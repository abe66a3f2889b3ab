package scheduler

import (
	"fmt"
	"time"
)

// Event is something that happened since the last step: one of the types of this file with an event method.
type Event interface{ event() }

// TargetState is the state of a target in the endpoint list.
type TargetState int

const (
	// Serving targets accept requests.
	Serving TargetState = iota
	// Draining targets finish what they have and get nothing new.
	Draining
	// Removed targets are no longer in the endpoint list.
	Removed
)

var targetStateNames = [...]string{Serving: "SERVING", Draining: "DRAINING", Removed: "REMOVED"}

// String returns the state's name in logs.
func (s TargetState) String() string { return targetStateNames[s] }

// Target is an entry of the endpoint list.
type Target struct {
	ID        string
	Zone      string // failure domain
	Shard     int    // the one shard that it serves
	State     TargetState
	StartedAt time.Duration // time of its last start; 0: long ago
}

// EndpointList is the endpoint list, or a change of it.
type EndpointList struct {
	Complete bool // all targets are named; an absent one is removed
	Failed   bool // the list could not be fetched; Targets is empty
	Targets  []Target
}

// Request is a new client request. The scheduler ends it exactly once: with Reject, with Fail, by an attempt
// that is reported with AttemptEnded.Answered, or without a response by ClientClosed. A request whose ID is
// that of one still known is ignored.
type Request struct {
	ID         string
	Class      string        // name of a Class
	Plan       string        // name of a Plan
	Volume     string        // unit of fair queuing
	Extent     string        // piece of data that is read or written; may be empty
	Shard      int           // shard of the data; -1: a new object, which any shard may take
	Units      float64       // size
	Initiators int           // number of initiators that carry requests of this volume
	Timeout    time.Duration // how long the client waits for this request
}

// AttemptStatus is the outcome of an attempt.
type AttemptStatus int

const (
	// Succeeded attempts were served.
	Succeeded AttemptStatus = iota
	// Errored attempts were answered with an error and may have been executed.
	Errored
	// Rejected attempts were refused before execution.
	Rejected
	// DeadlineExceeded attempts were not answered in time and may have been executed.
	DeadlineExceeded
	// ConnectFailed attempts got no connection or were not sent completely, so the target cannot have
	// executed them.
	ConnectFailed
	// ConnectionReset attempts lost their connection and may have been executed.
	ConnectionReset
	// Cancelled attempts were ended by the initiator for reasons of its own, and may have been executed.
	Cancelled
	// NotSent attempts ended before their first byte.
	NotSent
)

var attemptStatusNames = [...]string{
	Succeeded:        "SUCCEEDED",
	Errored:          "ERRORED",
	Rejected:         "REJECTED",
	DeadlineExceeded: "DEADLINE_EXCEEDED",
	ConnectFailed:    "CONNECT_FAILED",
	ConnectionReset:  "CONNECTION_RESET",
	Cancelled:        "CANCELLED",
	NotSent:          "NOT_SENT",
}

// String returns the status' name in logs.
func (s AttemptStatus) String() string {
	if s < 0 || int(s) >= len(attemptStatusNames) {
		return fmt.Sprintf("STATUS_%d", int(s))
	}
	return attemptStatusNames[s]
}

// MayHaveExecuted reports whether the target may have executed an attempt with this outcome.
func (s AttemptStatus) MayHaveExecuted() bool {
	return s != Rejected && s != ConnectFailed && s != NotSent
}

// mayStillRun reports whether the target may go on executing an attempt with this outcome.
func (s AttemptStatus) mayStillRun() bool {
	return s == DeadlineExceeded || s == ConnectionReset || s == Cancelled
}

// LoadReport is a target's own report of its load. It may be late and noisy. A negative or NaN value is
// absent.
type LoadReport struct {
	QueueDepth float64 // requests that wait at the target
	InFlight   float64 // requests that the target holds
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	RequestID   string
	Attempt     int // number of the attempt within its request, from 0
	Target      string
	Status      AttemptStatus
	Latency     time.Duration // from the Send action to the end
	Answered    bool          // no response is needed: the client has it, or has closed
	LoadReport  *LoadReport   // nil: none
	VolumeUsage int           // 1 + usage over all initiators, in % of the provisioned rate; 0: absent
}

// ResponseStarted reports that the response of the attempt in flight has begun to arrive.
type ResponseStarted struct{ RequestID string }

// ClientClosed reports that the client has closed its connection; no response is needed any more.
type ClientClosed struct{ RequestID string }

// Shutdown begins the graceful shutdown: each request, also one yet to arrive, must end within that time from
// now.
type Shutdown struct{ GracePeriod time.Duration }

// Timer reports that the timer set by SetTimer is due.
type Timer struct{}

func (EndpointList) event()    {}
func (Request) event()         {}
func (AttemptEnded) event()    {}
func (ResponseStarted) event() {}
func (ClientClosed) event()    {}
func (Shutdown) event()        {}
func (Timer) event()           {}
