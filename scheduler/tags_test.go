package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestAssignTags works the cases of the start tag by hand, with a bucket of 11 units (one second of the
// rate and one request of the largest size) that fills at 10 units per second.
func TestAssignTags(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []float64 // sizes of earlier requests, at the same time
		units  float64
		start  time.Duration // after now
		left   float64
	}{
		{"enough tokens: now", nil, 4, 0, 7},
		{"some tokens: when the rest is there", []float64{8}, 5, 200 * ms, -2},
		{"none left: after the last", []float64{8, 5}, 3, 500 * ms, -5},
		{"exactly empty: after the last", []float64{11}, 2, 200 * ms, -2},
	} {
		h := newHarness(t, testSettings()) // no target: nothing is sent
		for i, units := range c.before {
			h.step(testRequest(fmt.Sprint("a", i), "v", units))
		}
		h.step(testRequest("x", "v", c.units))
		x := h.scheduler.requests["x"]
		if got := (x.startTag - h.now).Round(time.Microsecond); got != c.start {
			t.Errorf("%s: start tag %v after now, want %v", c.name, got, c.start)
		}
		if x.finishTag-x.startTag != 400*ms {
			t.Errorf("%s: finish tag %v after start, want the latency objective", c.name, x.finishTag-x.startTag)
		}
		if got := x.volume.bucket.tokens; got < c.left-1e-9 || got > c.left+1e-9 {
			t.Errorf("%s: %v tokens left, want %v", c.name, got, c.left)
		}
	}
}

// TestSpareCapacityIsNotHeldAgainstVolume replays the first example of the RFQ paper. One volume has used
// spare capacity far beyond its rate; then another volume begins. With plain fair queuing the first would
// starve until the other has caught up. Both must be served.
func TestSpareCapacityIsNotHeldAgainstVolume(t *testing.T) {
	settings := testSettings()
	settings.Classes[0] = Class{Name: "get", LatencyObjective: 10 * time.Second, Deadline: 60 * time.Second}
	settings.Plans[0].ProvisionedRate = 50
	settings.Plans[0].Reservation = 50
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	n := h.target()
	arrive := func(volume string, count int) {
		for range count {
			serial := len(h.scheduler.requests) + len(h.sends)
			request := testRequest(fmt.Sprint(volume, "-", serial), volume, 1)
			request.Timeout = time.Minute
			h.step(request)
		}
	}
	served := map[byte]int{}  // by the first byte of the ID, which is that of the volume
	play := func(steps int) { // the target serves one request each 10 ms, in the order sent
		for range steps {
			h.now += 10 * ms
			n.concurrencyLimit = 1
			if len(n.inFlight) > 0 {
				id := n.inFlight[0].ID
				served[id[0]]++
				h.endAttempt(id, Succeeded, 10*ms)
			}
		}
	}
	arrive("1", 200)
	play(200)
	if served['1'] < 195 {
		t.Fatalf("%d of 200 served from spare capacity", served['1'])
	}
	served = map[byte]int{}
	arrive("2", 100)
	for range 50 {
		arrive("1", 1)
		play(2)
	}
	if served['1'] < 20 || served['2'] < 20 {
		t.Fatalf("in the second after: %v, want neither volume starved", served)
	}
}
