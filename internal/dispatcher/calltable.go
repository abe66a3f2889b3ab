package dispatcher

import (
	"strconv"
	"time"

	"dapplegate/scheduler"
)

// callTable holds the calls that are not released yet, by the request id that it gives each of them.
type callTable struct {
	byID   map[string]*callState
	lastID uint64
}

func newCallTable() callTable { return callTable{byID: map[string]*callState{}} }

// add gives the call its request id and enters it.
func (t *callTable) add(call *Call) {
	t.lastID++
	call.ID = strconv.FormatUint(t.lastID, 10)
	t.byID[call.ID] = &callState{call: call}
}

// get returns nil if no such call is held.
func (t *callTable) get(id string) *callState { return t.byID[id] }

func (t *callTable) remove(state *callState) { delete(t.byID, state.call.ID) }

// callState is what the dispatcher knows of one call.
type callState struct {
	call     *Call
	answered bool // its response was given, or its client has closed the connection

	attempts        int                     // number of attempts begun
	inFlight        bool                    // the last attempt has not ended
	target          string                  // of the last attempt
	sentAt          time.Time               // start of the last attempt
	lastStatus      scheduler.AttemptStatus // of the last attempt; without meaning if there was none
	mayHaveExecuted bool                    // some attempt may have been executed by its target
}

// beginAttempt notes that an attempt is sent, and returns its number.
func (s *callState) beginAttempt(target string, now time.Time) int {
	number := s.attempts
	s.attempts++
	s.inFlight = true
	s.target = target
	s.sentAt = now
	return number
}

// awaits reports whether the attempt of that number is in flight.
func (s *callState) awaits(number int) bool { return s.inFlight && number == s.attempts-1 }

// endAttempt notes how the attempt in flight ended.
func (s *callState) endAttempt(status scheduler.AttemptStatus) {
	s.inFlight = false
	s.lastStatus = status
	s.mayHaveExecuted = s.mayHaveExecuted || status.MayHaveExecuted()
}
