package scheduler

import "time"

// givenUpRequests holds the requests that were given up here, rejected or failed, until the client's
// deadline, so that a client retry is recognized.
type givenUpRequests struct {
	byKey   map[clientRetryKey]*request // the latest request of each key
	inOrder []*request                  // in the order in which they were given up
}

func newGivenUpRequests() givenUpRequests {
	return givenUpRequests{byKey: map[clientRetryKey]*request{}}
}

// len returns the number of requests that are kept.
func (g *givenUpRequests) len() int { return len(g.inOrder) }

// find returns the given-up request of which r may be a client retry, or nil.
func (g *givenUpRequests) find(r *request) *request { return g.byKey[r.clientRetryKey()] }

// remove removes the given-up request of which r is a client retry.
func (g *givenUpRequests) remove(r *request) { delete(g.byKey, r.clientRetryKey()) }

// add records the request, and removes the oldest ones whose client no longer waits.
func (g *givenUpRequests) add(r *request, now time.Duration) {
	g.byKey[r.clientRetryKey()] = r
	g.inOrder = append(g.inOrder, r)
	for len(g.inOrder) > 0 {
		oldest := g.inOrder[0]
		if now <= oldest.firstArrival+oldest.class.Deadline {
			return
		}
		if g.byKey[oldest.clientRetryKey()] == oldest {
			delete(g.byKey, oldest.clientRetryKey())
		}
		g.inOrder = g.inOrder[1:]
	}
}
