package dispatcher

import (
	"strconv"
	"time"

	"dapplegate/scheduler"
)

// callTable holds the calls that are not yet released. It assigns each call a request ID, by which the call is found.
type callTable struct {
	byID   map[string]*callState
	lastID uint64
}

func newCallTable() callTable { return callTable{byID: map[string]*callState{}} }

// add assigns the call a request ID and adds it to the table.
func (t *callTable) add(call *Call) {
	t.lastID++
	call.ID = strconv.FormatUint(t.lastID, 10)
	t.byID[call.ID] = &callState{call: call}
}

// get returns the state of the call with the given request ID, or nil if the table does not hold it.
func (t *callTable) get(id string) *callState { return t.byID[id] }

func (t *callTable) remove(state *callState) { delete(t.byID, state.call.ID) }

// callState is the dispatcher's state of one call.
type callState struct {
	call  *Call
	ended bool // the call has its response, or the client has closed its connection

	attempts        int                     // number of attempts begun
	inFlight        bool                    // the last attempt has not ended yet
	target          string                  // target of the last attempt
	sentAt          time.Time               // start of the last attempt
	lastStatus      scheduler.AttemptStatus // outcome of the last attempt that ended; meaningless if none has
	mayHaveExecuted bool                    // a target may have executed one of the attempts
}

// beginAttempt records the start of an attempt and returns the attempt's number.
func (s *callState) beginAttempt(target string, now time.Time) int {
	number := s.attempts
	s.attempts++
	s.inFlight = true
	s.target = target
	s.sentAt = now
	return number
}

// isInFlight reports whether the attempt with the given number is in flight.
func (s *callState) isInFlight(number int) bool { return s.inFlight && number == s.attempts-1 }

// endAttempt records the outcome of the attempt in flight.
func (s *callState) endAttempt(status scheduler.AttemptStatus) {
	s.inFlight = false
	s.lastStatus = status
	s.mayHaveExecuted = s.mayHaveExecuted || status.MayHaveExecuted()
}
