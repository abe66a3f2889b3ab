package scheduler

import (
	"container/list"
	"time"
)

// maxGivenUpRequests limits the number of given-up requests that are kept. Beyond it the oldest is dropped,
// and its client retry, if there is one, counts as a new request. Clients that send requests at full speed
// and are refused cannot make the process exceed its memory.
const maxGivenUpRequests = 8192

// givenUpRequest is what is kept of a request that was given up.
type givenUpRequest struct {
	key          clientRetryKey
	firstArrival time.Duration // see request
	expiresAt    time.Duration // the client's deadline
}

// givenUpRequests holds the requests that were given up here, rejected or failed, until the client's
// deadline, so that a client retry is recognized. It holds the latest request of each key, and at most
// maxGivenUpRequests in all.
type givenUpRequests struct {
	byKey   map[clientRetryKey]*list.Element // elements of inOrder
	inOrder *list.List                       // of *givenUpRequest, in the order in which they were given up
}

func newGivenUpRequests() givenUpRequests {
	return givenUpRequests{byKey: map[clientRetryKey]*list.Element{}, inOrder: list.New()}
}

// len returns the number of requests that are kept.
func (g *givenUpRequests) len() int { return g.inOrder.Len() }

// find returns the given-up request of which r may be a client retry, or nil.
func (g *givenUpRequests) find(r *request) *givenUpRequest {
	if element := g.byKey[r.clientRetryKey()]; element != nil {
		return element.Value.(*givenUpRequest)
	}
	return nil
}

// remove removes the given-up request of which r is a client retry.
func (g *givenUpRequests) remove(r *request) {
	if element := g.byKey[r.clientRetryKey()]; element != nil {
		g.removeElement(element)
	}
}

// add records the request in place of an earlier one with the same key. It removes the oldest requests
// whose client no longer waits, and those beyond the limit.
func (g *givenUpRequests) add(r *request, now time.Duration) {
	g.remove(r)
	key := r.clientRetryKey()
	g.byKey[key] = g.inOrder.PushBack(&givenUpRequest{
		key:          key,
		firstArrival: r.firstArrival,
		expiresAt:    r.firstArrival + r.class.Deadline,
	})
	for g.hasExcess(now) {
		g.removeElement(g.inOrder.Front())
	}
}

// hasExcess reports whether the oldest request has to be removed.
func (g *givenUpRequests) hasExcess(now time.Duration) bool {
	oldest := g.inOrder.Front()
	if oldest == nil {
		return false
	}
	return g.len() > maxGivenUpRequests || now > oldest.Value.(*givenUpRequest).expiresAt
}

func (g *givenUpRequests) removeElement(element *list.Element) {
	removed := g.inOrder.Remove(element).(*givenUpRequest)
	delete(g.byKey, removed.key)
}
