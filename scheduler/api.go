// Package scheduler decides, for one initiator of a shared disk pool, when each
// request leaves for the node that holds its data, and how each request ends.
//
// The decisions begin in scheduler.go; this file is the whole interface.
package scheduler

import (
	"fmt"
	"time"
)

// Effect says what a class allows to happen twice.
type Idempotency int

const (
	// Pure requests may be repeated and refused freely.
	Idempotent Idempotency = iota
	// Keyed requests may be repeated only among nodes that drop the repeat.
	IdempotencyKey
	// Unsafe requests may be repeated only when no earlier attempt can have run.
	NonIdempotent
)

// Group says which nodes drop repeats of a keyed request.
type DedupScope int

const (
	// GroupAll is every node.
	DedupEverywhere DedupScope = iota
	// GroupZone is the nodes of one zone.
	DedupZone
	// GroupCell is the nodes that hold one shard.
	DedupShard
)

// Class is one request class.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer by then earns the full worth
	Deadline         time.Duration // the client's whole patience, over all its tries
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are remembered
	PriorityWeight   float64       // of a mean request answered within the aim
	Serialized       bool          // requests with one extent run one at a time, as taken
}

// Plan is what each volume on it is owed, over all initiators and nodes.
type Plan struct {
	Name            string
	ProvisionedRate float64 // units a second that such a volume is sized for
	Reservation     float64 // units a second that earn their full worth; 0: none
	Weight          float64 // part of what a shard can do beyond the reserves
	PriorityFactor  float64 // factor on the worth
	Limit           float64 // units a second at most; 0: no limit
	BurstCapacity   float64 // units that the limit's store holds
}

// Rules holds the figures of the rules. A zero asks nothing, except for Drain.
type Rules struct {
	SlowStartInitialCapacity float64       // a node starts at this part of its capacity or more
	SlowStartDuration        time.Duration // and is warm after this
	SlowStartWindow          time.Duration // the span over which work to a cold node is counted
	SlowStartOverloadFactor  float64       // times its capacity that a cold node bears for that long
	SettleTime               time.Duration // rest of an ordered extent after a doubtful outcome
	RetryBudget              bool          // whether further attempts are rationed
	RetryBudgetMinimum       float64
	RetryBudgetRatio         float64
	RetryBudgetWindow        time.Duration
}

// Settings is what an initiator is told at its start.
type Settings struct {
	Initiators        int           // how many share the pool
	Tick              time.Duration // least time between two steps
	Classes           []Class
	Plans             []Plan
	Rules             Rules
	MaxAttempts       int           // for one request; 0: no bound
	MeanUnits         float64       // mean size of a request
	MaxUnits          float64       // size of the largest request
	SlowStartBudget   float64       // units within FallWithin that a cold node bears from all initiators
	WithinShareFactor float64       // part of the worth that units beyond the reserve earn inside the share
	BeyondShareFactor float64       // part of the worth that units beyond the share earn
	UsageReportPeriod time.Duration // period of the use meter; 0: none
	PollEndpoints     bool          // the node list must be subscribed to
}

// Event is one of the event types below.
type Event interface{ event() }

// NodeState is what the list says of a node.
type TargetState int

const (
	// Up nodes take requests.
	Serving TargetState = iota
	// Draining nodes finish what they have.
	Draining
	// Removed nodes are gone.
	Removed
)

// stateNames are the states as logs tell them.
var targetStateNames = [...]string{Serving: "SERVING", Draining: "DRAINING", Removed: "REMOVED"}

// String returns the state's name.
func (s TargetState) String() string { return targetStateNames[s] }

// Node is an entry of the node list.
type Target struct {
	ID      string
	Zone    string
	Shard   int
	State   TargetState
	Started time.Duration // clock time of its last start; 0: long ago
}

// NodeList reports the list, or what changed in it.
type EndpointList struct {
	Complete bool // a node that is absent is gone
	Failed   bool // the call for it failed; nothing changed
	Targets  []Target
}

// Request is a client request that the initiator now owes one final answer.
type Request struct {
	ID         string
	Class      string
	Plan       string
	Volume     string
	Extent     string        // the piece of data; may be empty
	Shard      int           // where the data is; -1: a new object, for any node
	Units      float64       // its size
	Initiators int           // how many carry this volume
	Timeout    time.Duration // the client gives this try up after that
}

// Code is how an attempt ended.
type AttemptStatus int

const (
	// Delivered was served.
	Succeeded AttemptStatus = iota
	// Errored was answered with an error and may have run.
	Errored
	// Full was turned away unseen.
	Rejected
	// Expired had no answer in time and may have run.
	DeadlineExceeded
	// NoConnection never reached the node.
	ConnectFailed
	// Reset lost its connection and may have run.
	ConnectionReset
	// Cancelled was called off and may have run.
	Cancelled
	// Moot was not sent.
	NotSent
)

// codeNames are the outcomes as logs tell them.
var attemptStatusNames = [...]string{Succeeded: "SUCCEEDED", Errored: "ERRORED", Rejected: "REJECTED", DeadlineExceeded: "DEADLINE_EXCEEDED",
	ConnectFailed: "CONNECT_FAILED", ConnectionReset: "CONNECTION_RESET", Cancelled: "CANCELLED", NotSent: "NOT_SENT"}

// String returns the outcome's name.
func (c AttemptStatus) String() string {
	if c < 0 || int(c) >= len(attemptStatusNames) {
		return fmt.Sprintf("CODE_%d", int(c))
	}
	return attemptStatusNames[c]
}

// MayRun tells whether an attempt that ended so may have run.
func (c AttemptStatus) MayHaveExecuted() bool {
	return c != Rejected && c != ConnectFailed && c != NotSent
}

// Load is what a node reports of itself, late and noisy. A negative figure is not told.
type LoadReport struct {
	QueueDepth float64 // requests that wait
	InFlight   float64 // requests that it holds
}

// Outcome ends one attempt.
type AttemptEnded struct {
	RequestID   string
	Attempt     int
	Target      string
	Status      AttemptStatus
	Latency     time.Duration
	Answered    bool        // the request has its final answer
	LoadReport  *LoadReport // the node's report; nil: none
	VolumeUsage int         // 1 + percent of the plan's rate the volume had everywhere; 0: not told
}

// StreamBegun tells that the answer of an attempt has started.
type ResponseStarted struct{ RequestID string }

// Departed tells that the client is gone; nothing more is owed.
type ClientClosed struct{ RequestID string }

// Leaving tells that the initiator ends: no request may be open any more once so much time is over.
type Shutdown struct{ Within time.Duration }

// Timer is due, as asked for by SetTimer.
type Timer struct{}

func (EndpointList) event()    {}
func (Request) event()         {}
func (AttemptEnded) event()    {}
func (ResponseStarted) event() {}
func (ClientClosed) event()    {}
func (Shutdown) event()        {}
func (Timer) event()           {}

// ActionKind tells the actions apart.
type ActionKind int

const (
	// Send starts an attempt of Request at Node, given up after Wait.
	Send ActionKind = iota
	// Refuse turns Request away: a retry is harmless, and best comes after Wait (0: no advice).
	Reject
	// Fail ends Request with no promise about its effect.
	Fail
	// SetTimer asks for a Timer after Wait.
	SetTimer
	// Subscribe asks for the node list and its changes.
	WatchEndpoints
	// Log writes Text to the report.
	Log
)

// Action is something for the initiator to do, in the order given.
type Action struct {
	Kind        ActionKind
	RequestID   string
	Target      string
	Wait        time.Duration
	StartWithin time.Duration // of a Send: its first byte must leave within that; 0: at any time
	Text        string
}
