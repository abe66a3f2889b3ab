package scheduler

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// statusInFlight is the status of an attempt that has not ended.
const statusInFlight AttemptStatus = -1

// observedRequest is what the simulation knows about a request, from events and actions only.
type observedRequest struct {
	Request
	class            Class
	deadline         time.Duration
	attempts         []observedAttempt
	ended            bool
	mayStillRunSince time.Duration // end of the last attempt that may still be running at its target; 0: none
}

type observedAttempt struct {
	Action
	sentAt time.Duration
	status AttemptStatus
}

func (r *observedRequest) isInFlight() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].status == statusInFlight
}

// firstExecution returns the first attempt that may have been executed, or nil. An attempt in flight
// counts.
func (r *observedRequest) firstExecution() *observedAttempt {
	for i := range r.attempts {
		switch r.attempts[i].status {
		case Rejected, ConnectFailed, NotSent:
		default:
			return &r.attempts[i]
		}
	}
	return nil
}

// simulation passes random valid events to one scheduler and checks the seven rules. It does not model
// targets: the outcomes of attempts and their times are random.
type simulation struct {
	rng       *rand.Rand
	settings  Settings
	scheduler *Scheduler
	now       time.Duration
	timers    []time.Duration

	targets    map[string]Target
	notServing map[string]bool // targets listed as draining or removed, or missing from a complete list

	requests     map[string]*observedRequest
	open         []*observedRequest            // not ended or with an attempt in flight
	serialized   map[string][]*observedRequest // by extent, in order of arrival
	requestCount int                           // number of requests so far

	// Counted by the checks of the rules.
	arrivals  []time.Duration
	retries   []time.Duration
	slowStart map[string]unitHistory // sent to targets in slow start, by target
	served    map[string]unitHistory // by target
	charged   map[string]unitHistory // first attempts, by volume

	violations []string
}

func newSimulation(seed uint64, mask settingsMask) *simulation {
	settings := invariantSettings(mask)
	scheduler, err := New(settings, seed)
	if err != nil {
		panic(err)
	}
	return &simulation{
		rng:        rand.New(rand.NewPCG(seed, 7)),
		settings:   settings,
		scheduler:  scheduler,
		now:        time.Second,
		targets:    map[string]Target{},
		notServing: map[string]bool{},
		requests:   map[string]*observedRequest{},
		serialized: map[string][]*observedRequest{},
		slowStart:  map[string]unitHistory{},
		served:     map[string]unitHistory{},
		charged:    map[string]unitHistory{},
	}
}

// randomBool returns true with the given probability.
func (s *simulation) randomBool(probability float64) bool { return s.rng.Float64() < probability }

// nextEvents generates the events of one step.
func (s *simulation) nextEvents(step int) []Event {
	failureRates := []float64{0.05, 0.5, 0.95}
	events := s.endAttempts(failureRates[step/700%len(failureRates)])
	if s.randomBool(0.01) || step == 0 {
		events = append(events, s.nextEndpointList())
	}
	for step < simulationSteps-quietSteps && s.randomBool(0.25) {
		events = append(events, s.nextRequest())
	}
	if r := s.randomOpen(); r != nil && s.randomBool(0.01) && !r.ended {
		r.ended = true
		events = append(events, ClientClosed{RequestID: r.ID})
	}
	if s.randomBool(0.02) && len(s.open) > 0 {
		events = append(events, s.staleEvents()...)
	}
	if s.takeDueTimers() {
		events = append(events, Timer{})
	}
	return events
}

// staleEvents returns events that the scheduler must ignore: an early timer, the end of an attempt that
// was never sent, and a closed connection of an unknown request's client.
func (s *simulation) staleEvents() []Event {
	id := s.open[s.rng.IntN(len(s.open))].ID
	return []Event{
		Timer{},
		AttemptEnded{RequestID: id, Attempt: 9, Status: ConnectionReset},
		ClientClosed{RequestID: id + "x"},
	}
}

func (s *simulation) randomOpen() *observedRequest {
	if len(s.open) == 0 {
		return nil
	}
	return s.open[s.rng.IntN(len(s.open))]
}

// takeDueTimers removes the timers that are due and reports whether there were any.
func (s *simulation) takeDueTimers() bool {
	isDue := func(at time.Duration) bool { return at <= s.now }
	hasDue := slices.ContainsFunc(s.timers, isDue)
	s.timers = slices.DeleteFunc(s.timers, isDue)
	return hasDue
}

// nextEndpointList generates a failure, or generates and records a list with one changed target.
func (s *simulation) nextEndpointList() EndpointList {
	if s.randomBool(0.1) {
		return EndpointList{Failed: true}
	}
	list := EndpointList{Complete: s.randomBool(0.3)}
	changed := s.nextTarget()
	list.Targets = []Target{changed}
	if list.Complete {
		for _, id := range slices.Sorted(maps.Keys(s.targets)) {
			if id != changed.ID && s.randomBool(0.8) {
				list.Targets = append(list.Targets, s.targets[id])
			}
		}
	}
	s.recordEndpointList(list)
	return list
}

// nextTarget generates a change of one of eight targets, which serve four shards in two zones.
func (s *simulation) nextTarget() Target {
	number := s.rng.IntN(8)
	id := fmt.Sprintf("n%d", number)
	t := s.targets[id]
	t.ID = id
	t.Shard = number % 4
	t.Zone = []string{"a", "b"}[number/4]
	t.State = TargetState(s.rng.IntN(3))
	if t.State == Serving && s.randomBool(0.5) {
		t.StartedAt = s.now - time.Duration(s.rng.IntN(500))*ms
	}
	return t
}

func (s *simulation) recordEndpointList(list EndpointList) {
	listed := map[string]bool{}
	for _, t := range list.Targets {
		s.targets[t.ID] = t
		listed[t.ID] = true
		s.notServing[t.ID] = t.State != Serving
	}
	for id := range s.targets {
		if list.Complete && !listed[id] {
			s.notServing[id] = true
		}
	}
}

func (s *simulation) nextRequest() Request {
	s.requestCount++
	class := s.settings.Classes[s.rng.IntN(len(s.settings.Classes))]
	volume := s.rng.IntN(6)
	request := Request{
		ID:         fmt.Sprintf("r%d", s.requestCount),
		Class:      class.Name,
		Plan:       s.settings.Plans[volume%2].Name,
		Volume:     fmt.Sprintf("v%d", volume),
		Extent:     fmt.Sprintf("k%d", s.rng.IntN(5)),
		Shard:      s.rng.IntN(5) - 1,
		Units:      float64(1 + s.rng.IntN(6)),
		Initiators: 2,
		Timeout:    class.Deadline * time.Duration(1+s.rng.IntN(4)) / 4,
	}
	r := &observedRequest{Request: request, class: class, deadline: s.now + request.Timeout}
	s.requests[r.ID] = r
	s.open = append(s.open, r)
	s.arrivals = append(s.arrivals, s.now)
	if class.Serialized {
		s.serialized[r.Extent] = append(s.serialized[r.Extent], r)
	}
	return request
}

// endAttempts ends some of the attempts in flight, and all whose timeout has passed.
func (s *simulation) endAttempts(failureRate float64) []Event {
	var events []Event
	for _, r := range s.open {
		if !r.isInFlight() {
			continue
		}
		number := len(r.attempts) - 1
		attempt := &r.attempts[number]
		hasTimedOut := s.now >= min(attempt.sentAt+attempt.Timeout, r.deadline)
		if !hasTimedOut && !s.randomBool(0.1) {
			continue
		}
		attempt.status = s.nextStatus(hasTimedOut, failureRate)
		s.recordStatus(r, attempt)
		events = append(events, AttemptEnded{
			RequestID:    r.ID,
			Attempt:      number,
			Target:       attempt.Target,
			Status:       attempt.status,
			Latency:      s.now - attempt.sentAt,
			RequestEnded: r.ended,
			VolumeUsage:  s.rng.IntN(200),
		})
	}
	return events
}

func (s *simulation) nextStatus(hasTimedOut bool, failureRate float64) AttemptStatus {
	if hasTimedOut {
		return DeadlineExceeded
	}
	if !s.randomBool(failureRate) {
		return Succeeded
	}
	failures := []AttemptStatus{Errored, Rejected, ConnectFailed, ConnectionReset, Cancelled, NotSent}
	return failures[s.rng.IntN(len(failures))]
}

func (s *simulation) recordStatus(r *observedRequest, attempt *observedAttempt) {
	switch attempt.status {
	case DeadlineExceeded, ConnectionReset, Cancelled:
		r.mayStillRunSince = s.now
	case Succeeded:
		r.ended = true
		addUnits(s.served, attempt.Target, s.now, r.Units)
	}
}

func addUnits(histories map[string]unitHistory, key string, now time.Duration, units float64) {
	histories[key] = append(histories[key], unitSample{at: now, units: units})
}

// sumAfter returns the sum of the samples that are later than after and not earlier than earliest.
func sumAfter(history unitHistory, after, earliest time.Duration) float64 {
	sum := 0.0
	for _, sample := range history {
		if sample.at > after && sample.at >= earliest {
			sum += sample.units
		}
	}
	return sum
}
