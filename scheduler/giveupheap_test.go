package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestGiveUpHeap checks that requests are ordered by giveUpAt, also after a change of it, and by ID if
// the times are equal.
func TestGiveUpHeap(t *testing.T) {
	var giveUps giveUpHeap
	requests := map[string]*request{}
	for id, giveUpAt := range map[string]time.Duration{"a": 5, "b": 3, "c": 5, "d": 9, "e": 1} {
		requests[id] = &request{Request: Request{ID: id}, giveUpAt: giveUpAt, heapIndex: -1}
		giveUps.add(requests[id])
	}
	requests["d"].giveUpAt = 2
	giveUps.add(requests["d"])
	giveUps.remove(requests["b"])
	giveUps.remove(requests["b"])
	var order []string
	for r := giveUps.earliest(); r != nil; r = giveUps.earliest() {
		order = append(order, r.ID)
		giveUps.remove(r)
	}
	if want := []string{"e", "d", "a", "c"}; !slices.Equal(order, want) {
		t.Errorf("order %v, want %v", order, want)
	}
}
