package scheduler

import "container/heap"

// deadlineHeap orders requests by answerBy.
type deadlineHeap []*request

// earliest returns the request with the least answerBy, or nil.
func (h deadlineHeap) earliest() *request {
	if len(h) == 0 {
		return nil
	}
	return h[0]
}

// add inserts the request, or moves it after a change of its answerBy.
func (h *deadlineHeap) add(r *request) {
	if r.heapIndex >= 0 {
		heap.Fix(h, r.heapIndex)
	} else {
		heap.Push(h, r)
	}
}

// remove takes the request out, if it is there.
func (h *deadlineHeap) remove(r *request) {
	if r.heapIndex >= 0 {
		heap.Remove(h, r.heapIndex)
	}
}

// Len implements heap.Interface.
func (h deadlineHeap) Len() int { return len(h) }

// Less implements heap.Interface. Equal times are ordered by ID, so that the same events give the same
// actions.
func (h deadlineHeap) Less(i, j int) bool {
	if h[i].answerBy == h[j].answerBy {
		return h[i].ID < h[j].ID
	}
	return h[i].answerBy < h[j].answerBy
}

// Swap implements heap.Interface.
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	r.heapIndex = -1
	*h = (*h)[:last]
	return r
}
