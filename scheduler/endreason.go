package scheduler

import "fmt"

// EndReason is why the scheduler ends a request that was not served.
type EndReason int

const (
	// EndUnspecified means that the action does not end a request.
	EndUnspecified EndReason = iota
	// EndTimeout means that no attempt succeeded in the time that the request had.
	EndTimeout
	// EndPastObjective means that the request is a client retry that arrived after the end of its objective.
	EndPastObjective
	// EndNoRetry means that an attempt did not succeed, and no other is allowed by MaxAttempts or the class.
	EndNoRetry
	// EndNotAccepted means that class or plan are not configured, or that the client no longer waits.
	EndNotAccepted
)

var endReasonNames = [...]string{
	EndUnspecified:   "UNSPECIFIED",
	EndTimeout:       "TIMEOUT",
	EndPastObjective: "PAST_OBJECTIVE",
	EndNoRetry:       "NO_RETRY",
	EndNotAccepted:   "NOT_ACCEPTED",
}

// String returns the name of the reason in logs.
func (r EndReason) String() string {
	if r < 0 || int(r) >= len(endReasonNames) {
		return fmt.Sprintf("REASON_%d", int(r))
	}
	return endReasonNames[r]
}
