package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestDeadlineHeap checks the order, also after a change, and that equal times are ordered by ID.
func TestDeadlineHeap(t *testing.T) {
	var deadlines deadlineHeap
	requests := map[string]*request{}
	for id, answerBy := range map[string]time.Duration{"a": 5, "b": 3, "c": 5, "d": 9, "e": 1} {
		requests[id] = &request{Request: Request{ID: id}, answerBy: answerBy, heapIndex: -1}
		deadlines.add(requests[id])
	}
	requests["d"].answerBy = 2
	deadlines.add(requests["d"])
	deadlines.remove(requests["b"])
	deadlines.remove(requests["b"])
	var order []string
	for r := deadlines.earliest(); r != nil; r = deadlines.earliest() {
		order = append(order, r.ID)
		deadlines.remove(r)
	}
	if want := []string{"e", "d", "a", "c"}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}
