package scheduler

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// testTarget is the ID of the target in tests with a single target.
const testTarget = "n"

// testSettings returns settings with one idempotent class, one plan of 10 units per second, and all rules
// disabled.
func testSettings() Settings {
	return Settings{
		Initiators:        1,
		Tick:              ms,
		MeanUnits:         1,
		MaxUnits:          1,
		UsageReportPeriod: time.Second,
		Classes: []Class{
			{Name: "get", LatencyObjective: 400 * ms, Deadline: 2 * time.Second, PriorityWeight: 1},
		},
		Plans: []Plan{{Name: "std", ProvisionedRate: 10, Reservation: 10, PriorityFactor: 1}},
	}
}

// harness drives one scheduler and records its actions.
type harness struct {
	scheduler *Scheduler
	now       time.Duration
	sends     []Action
	responses []Action       // Reject and Fail
	attempts  map[string]int // by request ID
}

// newHarness returns a harness whose scheduler has received the targets as its complete endpoint list.
func newHarness(t *testing.T, settings Settings, targets ...Target) *harness {
	t.Helper()
	return newSeededHarness(t, settings, 1, targets...)
}

func newSeededHarness(t *testing.T, settings Settings, seed uint64, targets ...Target) *harness {
	t.Helper()
	scheduler, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{scheduler: scheduler, now: time.Second, attempts: map[string]int{}}
	h.step(EndpointList{Complete: true, Targets: targets})
	return h
}

// step passes the events to the scheduler at the current time and returns its actions.
func (h *harness) step(events ...Event) []Action {
	actions := h.scheduler.Step(h.now, events)
	for _, action := range actions {
		switch action.Kind {
		case Send:
			h.sends = append(h.sends, action)
			h.attempts[action.RequestID]++
		case Reject, Fail:
			h.responses = append(h.responses, action)
		}
	}
	return actions
}

// advance moves the time forward, with a Timer event every 5 ms.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now += 5 * ms
		h.step(Timer{})
	}
}

// endAttempt ends the last attempt of the request.
func (h *harness) endAttempt(id string, status AttemptStatus, latency time.Duration) {
	h.step(AttemptEnded{
		RequestID:    id,
		Attempt:      h.attempts[id] - 1,
		Status:       status,
		Latency:      latency,
		RequestEnded: status == Succeeded,
	})
}

// sentIDs returns the request IDs of all attempts, in the order sent.
func (h *harness) sentIDs() []string {
	var ids []string
	for _, action := range h.sends {
		ids = append(ids, action.RequestID)
	}
	return ids
}

// target returns the scheduler's state of testTarget.
func (h *harness) target() *target { return h.scheduler.targetsByID[testTarget] }

func testRequest(id, volume string, units float64) Request {
	return Request{
		ID:         id,
		Class:      "get",
		Plan:       "std",
		Volume:     volume,
		Units:      units,
		Initiators: 1,
		Timeout:    2 * time.Second,
	}
}

func servingTarget(id string, shard int) Target { return Target{ID: id, Shard: shard} }
