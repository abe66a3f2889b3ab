package scheduler

import (
	"fmt"
	"time"
)

// Event is something that happened since the last step: one of the types in this file with an event
// method.
type Event interface{ event() }

// TargetState is the state of a target in the endpoint list.
type TargetState int

const (
	// Serving targets accept requests.
	Serving TargetState = iota
	// Draining targets finish the requests that they have and get no new ones.
	Draining
	// Removed targets are no longer in the endpoint list.
	Removed
)

var targetStateNames = [...]string{Serving: "SERVING", Draining: "DRAINING", Removed: "REMOVED"}

// String returns the name of the state in logs.
func (s TargetState) String() string { return targetStateNames[s] }

// Target is an entry of the endpoint list.
type Target struct {
	ID        string
	Zone      string // failure domain
	Shard     int    // the only shard that it serves
	State     TargetState
	StartedAt time.Duration // time of its last start; 0: long ago
}

// EndpointList is the complete endpoint list, or a change to it.
type EndpointList struct {
	Complete bool // Targets names all targets; any other target is removed
	Failed   bool // the list could not be fetched; Targets is empty
	Targets  []Target
}

// Request is a new client request. It ends exactly once: with a Reject or Fail action, or without an
// action at a ClientClosed event or an AttemptEnded event with RequestEnded set. A request with the ID of
// one that has not ended, or has an attempt in flight, is ignored.
type Request struct {
	ID         string
	Class      string        // name of a Class
	Plan       string        // name of a Plan
	Volume     string        // fair queuing is between volumes
	Extent     string        // piece of data that is read or written; may be empty
	Shard      int           // shard that stores the data; -1: a new object, which any shard may store
	Units      float64       // size of the request
	Initiators int           // number of initiators that send requests of this volume
	Timeout    time.Duration // how long the client waits for this request
}

// AttemptStatus is the outcome of an attempt.
type AttemptStatus int

const (
	// Succeeded attempts were served.
	Succeeded AttemptStatus = iota
	// Errored attempts got an error response and may have been executed.
	Errored
	// Rejected attempts were refused before execution.
	Rejected
	// DeadlineExceeded attempts got no response in time and may have been executed.
	DeadlineExceeded
	// ConnectFailed attempts got no connection or were not sent completely, so the target cannot have
	// executed them.
	ConnectFailed
	// ConnectionReset attempts lost their connection and may have been executed.
	ConnectionReset
	// Cancelled attempts were ended by the initiator for its own reasons and may have been executed.
	Cancelled
	// NotSent attempts ended before their last byte, for a reason that says nothing about the target.
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

// String returns the name of the status in logs.
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

// mayStillRun reports whether the target may still be executing an attempt that ended with this outcome.
func (s AttemptStatus) mayStillRun() bool {
	return s == DeadlineExceeded || s == ConnectionReset || s == Cancelled
}

// LoadReport is a target's report of its own load. It may be delayed and noisy. A negative or NaN value
// means that the value is absent.
type LoadReport struct {
	QueueDepth float64 // requests waiting at the target
	InFlight   float64 // requests that the target holds
}

// AttemptEnded reports the end of an attempt.
type AttemptEnded struct {
	RequestID    string
	Attempt      int // number of the attempt within its request, from 0
	Target       string
	Status       AttemptStatus
	Latency      time.Duration // from the Send action to the end
	RequestEnded bool          // no response is needed: the client has it or has closed its connection
	LoadReport   *LoadReport   // nil: none
	VolumeUsage  int           // 1 + usage over all initiators, in % of the provisioned rate; 0: absent
}

// ResponseStarted reports that the response of the attempt in flight has begun to arrive.
type ResponseStarted struct{ RequestID string }

// ClientClosed reports that the client has closed its connection, so it needs no response any more.
type ClientClosed struct{ RequestID string }

// Shutdown begins the graceful shutdown: each request, including those yet to arrive, must end within the
// grace period. The caller must cancel the attempts that are still in flight at its end.
type Shutdown struct{ GracePeriod time.Duration }

// Timer reports that the timer requested with SetTimer has fired.
type Timer struct{}

func (EndpointList) event()    {}
func (Request) event()         {}
func (AttemptEnded) event()    {}
func (ResponseStarted) event() {}
func (ClientClosed) event()    {}
func (Shutdown) event()        {}
func (Timer) event()           {}
