package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"
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

// TestQueuedNewObjectsCostLittle guards against queued new objects that each have the expected wait of every shard
// computed again in each step, which takes the processor in a large fleet.
func TestQueuedNewObjectsCostLittle(t *testing.T) {
	const targets, few, many, steps, maxFactor = 3200, 1, 100, 20, 20
	settings := testSettings()
	settings.Plans[0].Limit = 0.001 // keeps the new objects queued
	settings.Plans[0].BurstCapacity = 0.001
	timeFor := func(queued int) time.Duration {
		var entries []Target
		for shard := range targets {
			entries = append(entries, servingTarget(fmt.Sprint("n", shard), shard))
		}
		h := newHarness(t, settings, entries...)
		for i := range queued {
			request := testRequest(fmt.Sprint("w", i), "v", 1)
			request.Shard = -1
			h.step(request)
		}
		fastest := time.Duration(math.MaxInt64)
		for range 3 {
			startedAt := time.Now()
			for range steps {
				h.step(ClientClosed{RequestID: "unknown"})
			}
			fastest = min(fastest, time.Since(startedAt))
		}
		if len(h.sends)+len(h.responses) > 0 {
			t.Fatalf("%d new objects were sent and %d ended, want all queued", len(h.sends), len(h.responses))
		}
		return fastest
	}
	withFew, withMany := timeFor(few), timeFor(many)
	if withMany > maxFactor*withFew {
		t.Errorf("%d steps took %v with %d queued new objects and %v with %d", steps, withFew, few, withMany, many)
	}
}
