package dispatcher

import "time"

// executedIDLifetime is the minimum time for which the ID of a request that may have been executed stays reserved.
const executedIDLifetime = 5 * time.Second

// clientRequestIDs prevents clients from using a request ID twice. Targets identify requests by the IDs that clients give
// them. They would treat a second request with the same ID as a hedged request, or execute a write twice. An ID is reserved
// while its request is open, and for executedIDLifetime or longer after the end of a request that may have been executed. If
// no target can have executed the request, its ID is free at once, so that the client can send a rejected request again with
// the same ID.
//
// The IDs of ended requests are kept in two generations, so that they expire without work for each ID. Expiry is checked at
// the start of each step, before IDs are reserved or released.
type clientRequestIDs struct {
	open         map[string]bool
	executed     map[string]bool // requests that may have been executed and ended since the last rotation
	prevExecuted map[string]bool // the same for requests that ended between the last two rotations
	lastRotation time.Time
}

func newClientRequestIDs() clientRequestIDs {
	return clientRequestIDs{
		open:         map[string]bool{},
		executed:     map[string]bool{},
		prevExecuted: map[string]bool{},
	}
}

// reserve reserves the ID of a new request. It returns false if the ID is already reserved. It always returns true for the
// empty ID, which requests without an ID have.
func (r *clientRequestIDs) reserve(id string) bool {
	if id == "" {
		return true
	}
	if r.open[id] || r.executed[id] || r.prevExecuted[id] {
		return false
	}
	r.open[id] = true
	return true
}

// release ends the reservation of an open request's ID: at once, or after executedIDLifetime or longer if the request may
// have been executed.
func (r *clientRequestIDs) release(id string, mayHaveExecuted bool) {
	if id == "" {
		return
	}
	delete(r.open, id)
	if mayHaveExecuted {
		r.executed[id] = true
	}
}

// len returns the number of reserved IDs.
func (r *clientRequestIDs) len() int { return len(r.open) + len(r.executed) + len(r.prevExecuted) }

// expire frees the IDs whose lifetime has ended.
func (r *clientRequestIDs) expire(now time.Time) {
	sinceRotation := now.Sub(r.lastRotation)
	if sinceRotation <= executedIDLifetime {
		return
	}
	r.prevExecuted = r.executed
	if sinceRotation > 2*executedIDLifetime { // the last ID was added more than a lifetime ago
		r.prevExecuted = map[string]bool{}
	}
	r.executed = map[string]bool{}
	r.lastRotation = now
}
