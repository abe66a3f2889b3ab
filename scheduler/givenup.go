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

// find returns the given-up request of which r may be a client retry, or nil.
func (m *givenUpRequests) find(r *request) *request { return m.byKey[r.clientRetryKey()] }

// remove removes the given-up request of which r is a client retry.
func (m *givenUpRequests) remove(r *request) { delete(m.byKey, r.clientRetryKey()) }

// add records the request, and removes the oldest ones whose client no longer waits.
func (m *givenUpRequests) add(r *request, now time.Duration) {
	m.byKey[r.clientRetryKey()] = r
	m.inOrder = append(m.inOrder, r)
	for len(m.inOrder) > 0 {
		oldest := m.inOrder[0]
		if now <= oldest.firstArrival+oldest.class.Deadline {
			return
		}
		if m.byKey[oldest.clientRetryKey()] == oldest {
			delete(m.byKey, oldest.clientRetryKey())
		}
		m.inOrder = m.inOrder[1:]
	}
}
