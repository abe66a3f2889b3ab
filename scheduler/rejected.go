package scheduler

import "time"

// rejectedRequests remembers requests that were given up here, until their client's deadline, so that a
// retry by the client is recognized.
type rejectedRequests struct {
	byKey   map[retryKey]*request // the last one of each key
	inOrder []*request            // in the order given up
}

func newRejectedRequests() rejectedRequests {
	return rejectedRequests{byKey: map[retryKey]*request{}}
}

// find returns the request of which this one may be a retry, or nil.
func (m *rejectedRequests) find(r *request) *request { return m.byKey[r.retryKey()] }

// remove forgets the request of which this one is a retry.
func (m *rejectedRequests) remove(r *request) { delete(m.byKey, r.retryKey()) }

// add remembers the request, and forgets those in front whose client waits no longer.
func (m *rejectedRequests) add(r *request, now time.Duration) {
	m.byKey[r.retryKey()] = r
	m.inOrder = append(m.inOrder, r)
	for len(m.inOrder) > 0 {
		oldest := m.inOrder[0]
		if now <= oldest.firstArrival+oldest.class.Deadline {
			return
		}
		if m.byKey[oldest.retryKey()] == oldest {
			delete(m.byKey, oldest.retryKey())
		}
		m.inOrder = m.inOrder[1:]
	}
}
