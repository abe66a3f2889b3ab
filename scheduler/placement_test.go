package scheduler

import (
	"fmt"
	"testing"
)

// TestNewObjectsStayWithKnownTargets checks that new objects go to targets that have responded, as long
// as the expected wait there is less than an objective. Otherwise each new object would go to another
// target, and take up one of the few connections that a target accepts.
func TestNewObjectsStayWithKnownTargets(t *testing.T) {
	h := newHarness(t, testSettings(),
		servingTarget("a", 0), servingTarget("b", 1), servingTarget("c", 2),
		servingTarget("d", 3), servingTarget("e", 4))
	newObject := func(id string) Request {
		request := testRequest(id, "v", 1)
		request.Shard = -1
		return request
	}
	used := map[string]bool{}
	for i := range 40 {
		id := fmt.Sprint("w", i)
		h.step(newObject(id))
		h.now += 20 * ms
		h.endAttempt(id, Succeeded, 20*ms)
		h.advance(200 * ms)
		used[h.sends[len(h.sends)-1].Target] = true
	}
	if len(used) != 1 {
		t.Fatalf("new objects went to %v while one target responded quickly", used)
	}
	for i := range 100 {
		h.step(newObject(fmt.Sprint("x", i)))
	}
	for _, action := range h.sends {
		used[action.Target] = true
	}
	if len(used) < 2 {
		t.Error("a hundred new objects at once all went to one target")
	}
}
