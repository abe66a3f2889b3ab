package dispatcher

import "time"

// executedIDLifetime is how long, at least, the id of a request that may have been executed stays reserved.
const executedIDLifetime = 5 * time.Second

// requestIDs keeps clients from using a request id twice. Targets know requests by these ids: two requests under one id
// would look to them like a request and its hedged request, or execute a write twice. An id is reserved while its request
// is open, and for executedIDLifetime or longer after a request that may have been executed. The id of a request that no
// target may have executed is free at once, so that a client may repeat a rejected request under it.
//
// Ids of ended requests are held in two generations, so that expiry costs no work for each id. Expiry is checked at the start of
// each step, before ids are reserved or released.
type requestIDs struct {
	open           map[string]bool
	executed       map[string]bool // ended since the last rotation
	executedBefore map[string]bool // ended between the two last rotations
	lastRotation   time.Time
}

func newRequestIDs() requestIDs {
	return requestIDs{
		open:           map[string]bool{},
		executed:       map[string]bool{},
		executedBefore: map[string]bool{},
	}
}

// reserve takes the id for a request that opens. It returns false if the id is reserved. Requests without an id (empty) are
// not distinguished.
func (r *requestIDs) reserve(id string) bool {
	if id == "" {
		return true
	}
	if r.open[id] || r.executed[id] || r.executedBefore[id] {
		return false
	}
	r.open[id] = true
	return true
}

// release ends the reservation of an open request's id: at once, or after executedIDLifetime if the request may have been
// executed.
func (r *requestIDs) release(id string, mayHaveExecuted bool) {
	if id == "" {
		return
	}
	delete(r.open, id)
	if mayHaveExecuted {
		r.executed[id] = true
	}
}

// expire frees ids whose lifetime has ended.
func (r *requestIDs) expire(now time.Time) {
	sinceRotation := now.Sub(r.lastRotation)
	if sinceRotation <= executedIDLifetime {
		return
	}
	r.executedBefore = r.executed
	if sinceRotation > 2*executedIDLifetime { // none has been added for a lifetime
		r.executedBefore = map[string]bool{}
	}
	r.executed = map[string]bool{}
	r.lastRotation = now
}
