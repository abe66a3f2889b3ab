package scheduler

import "container/heap"

// giveUpHeap orders requests by giveUpAt, the time at which they are given up unless an attempt is in
// flight.
type giveUpHeap []*request

// earliest returns the request with the earliest giveUpAt, or nil.
func (h giveUpHeap) earliest() *request {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// add inserts the request, or restores its position after a change of its giveUpAt.
func (h *giveUpHeap) add(r *request) {
	if r.heapIndex >= 0 {
		heap.Fix(h, r.heapIndex)
	} else {
		heap.Push(h, r)
	}
}

// remove removes the request, if present.
func (h *giveUpHeap) remove(r *request) {
	if r.heapIndex >= 0 {
		heap.Remove(h, r.heapIndex)
	}
}

// Len implements heap.Interface.
func (h giveUpHeap) Len() int { return len(h) }

// Less implements heap.Interface. Requests with equal times are ordered by ID, so that the same events
// produce the same actions.
func (h giveUpHeap) Less(i, j int) bool {
	if h[i].giveUpAt == h[j].giveUpAt {
		return h[i].ID < h[j].ID
	}
	return h[i].giveUpAt < h[j].giveUpAt
}

// Swap implements heap.Interface.
func (h giveUpHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *giveUpHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *giveUpHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	r.heapIndex = -1
	*h = (*h)[:last]
	return r
}
