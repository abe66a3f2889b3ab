package scheduler

import (
	"fmt"
	"testing"
	"time"
)

// TestAssignTags checks the start tag in each case of the bucket against values computed by hand. The
// bucket holds 11 units, which is one second of the rate plus one request of the largest size, and fills
// at 10 units per second.
func TestAssignTags(t *testing.T) {
	for _, c := range []struct {
		name         string
		before       []float64 // sizes of earlier requests that arrived at the same time
		units        float64
		wantStartTag time.Duration // relative to now
		wantTokens   float64
	}{
		{"enough tokens: now", nil, 4, 0, 7},
		{"some tokens: when the rest has been earned", []float64{8}, 5, 200 * ms, -2},
		{"no tokens: after the last request", []float64{8, 5}, 3, 500 * ms, -5},
		{"exactly empty: after the last request", []float64{11}, 2, 200 * ms, -2},
	} {
		h := newHarness(t, testSettings()) // no target: nothing is sent
		for i, units := range c.before {
			h.step(testRequest(fmt.Sprint("a", i), "v", units))
		}
		h.step(testRequest("x", "v", c.units))
		x := h.scheduler.requests["x"]
		if got := (x.startTag - h.now).Round(time.Microsecond); got != c.wantStartTag {
			t.Errorf("%s: start tag %v from now, want %v", c.name, got, c.wantStartTag)
		}
		if x.finishTag-x.startTag != 400*ms {
			t.Errorf("%s: finish tag %v after the start tag, want the latency objective",
				c.name, x.finishTag-x.startTag)
		}
		if got := x.volume.bucket.tokens; got < c.wantTokens-1e-9 || got > c.wantTokens+1e-9 {
			t.Errorf("%s: %v tokens left, want %v", c.name, got, c.wantTokens)
		}
	}
}

// TestUseOfSpareCapacityIsNotPenalized replays the first example of the RFQ paper. One volume has used
// spare capacity far beyond its rate when another volume begins. Both must be served. With plain fair
// queuing, the first would starve until the other has caught up.
func TestUseOfSpareCapacityIsNotPenalized(t *testing.T) {
	settings := testSettings()
	settings.Classes[0] = Class{Name: "get", LatencyObjective: 10 * time.Second, Deadline: 60 * time.Second}
	settings.Plans[0].ProvisionedRate = 50
	settings.Plans[0].Reservation = 50
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	state := h.target()
	arrive := func(volume string, count int) {
		for range count {
			number := len(h.scheduler.requests) + len(h.sends)
			request := testRequest(fmt.Sprint(volume, "-", number), volume, 1)
			request.Timeout = time.Minute
			h.step(request)
		}
	}
	served := map[byte]int{}   // by the first byte of the request ID, which is the volume
	serve := func(steps int) { // the target serves one request every 10 ms, in the order sent
		for range steps {
			h.now += 10 * ms
			state.concurrencyLimit = 1
			if len(state.inFlight) > 0 {
				id := state.inFlight[0].ID
				served[id[0]]++
				h.endAttempt(id, Succeeded, 10*ms)
			}
		}
	}
	arrive("1", 200)
	serve(200)
	if served['1'] < 195 {
		t.Fatalf("%d of 200 requests served from spare capacity, want at least 195", served['1'])
	}
	served = map[byte]int{}
	arrive("2", 100)
	for range 50 {
		arrive("1", 1)
		serve(2)
	}
	if served['1'] < 20 || served['2'] < 20 {
		t.Fatalf("served %v by volume in the next second, want at least 20 each", served)
	}
}
