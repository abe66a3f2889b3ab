package scheduler

// The scheduler: its settings, and the steps by which it takes events and returns actions. The interface is
// in api.go; what is kept, in state.go. The decisions are in tagging.go, release.go, health.go,
// attempts.go, retries.go, guards.go, slowstart.go and placement.go. The mechanism is RFQ as published; a
// comment that says ours marks what was added.

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// sharedMinConcurrency is the least concurrency limit of a target, of all initiators together; each has
	// one attempt in any case. Requests differ in size, so responses exceed the base latency with nothing
	// queued.
	sharedMinConcurrency = 4
	// timersPerObjective is how many timers fit in the shortest objective, so that a pause of the process
	// shows.
	timersPerObjective = 8
	// idleStateObjectives is for how many shortest objectives idle state is kept.
	idleStateObjectives = 60
)

// Scheduler decides for one initiator. It is not safe for concurrent use.
type Scheduler struct {
	settings          Settings
	rng               *rand.Rand
	now               time.Duration
	classes           map[string]*Class
	plans             map[string]*Plan
	rejected          map[retryKey]*request // turned away, and may come again
	rejectedInOrder   []*request            // the same by time
	shortestObjective time.Duration
	highestWeight     float64 // what a unit earns at most
	minConcurrency    float64 // a node's least depth here
	sharedSlowStart   bool    // the even part of what a cold node bears is under one mean request
	volumes           map[string]*volume
	requests          map[string]*request
	shardQueues       []*shardQueue
	targets           []*target
	targetsByID       map[string]*target
	serialQueues      map[string]*serialQueue
	deadlines         deadlineHeap
	// For the attempt budget; the next timer and what it is for, the last sweep, how long this initiator
	// stood still before this step (0: not), when to ask for the list and how long to wait after that.
	firstAttempts    []time.Duration
	retries          []time.Duration
	timerAt          time.Duration
	nextWorkAt       time.Duration
	lastSweep        time.Duration
	stall            time.Duration
	nextPoll         time.Duration
	pollBackoff      time.Duration
	shutdownDeadline time.Duration // no request may be open after that

	queueingFactor float64    // part of the base latency that a request waiting at a node adds
	eligible       []*request // what the gate lets through at the lane in hand
	actions        []Action
}

// New returns a scheduler for the given settings, or an error if they cannot be served.
func New(set Settings, seed uint64) (*Scheduler, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	s := &Scheduler{
		settings:          set.clone(),
		rng:               rand.New(rand.NewPCG(seed, seed)),
		classes:           map[string]*Class{},
		plans:             map[string]*Plan{},
		rejected:          map[retryKey]*request{},
		shortestObjective: never,
		volumes:           map[string]*volume{},
		requests:          map[string]*request{},
		targetsByID:       map[string]*target{},
		serialQueues:      map[string]*serialQueue{},
		timerAt:           never,
		queueingFactor:    0.5, // two served at once, until seen
		nextPoll:          never,
		shutdownDeadline:  never,
		pollBackoff:       time.Second,
	}
	s.settings.MeanUnits = max(set.MeanUnits, 1e-3)
	s.minConcurrency = max(1, sharedMinConcurrency/float64(set.Initiators))
	s.sharedSlowStart = set.SlowStart.Budget < s.settings.MeanUnits*float64(set.Initiators)
	if set.PollEndpoints {
		s.nextPoll = 0
	}
	for i := range s.settings.Classes {
		c := &s.settings.Classes[i]
		s.classes[c.Name] = c
		s.shortestObjective = min(s.shortestObjective, c.LatencyObjective)
		for i := range set.Plans {
			s.plans[set.Plans[i].Name] = &s.settings.Plans[i]
			s.highestWeight = max(s.highestWeight, c.PriorityWeight*set.Plans[i].PriorityFactor)
		}
	}
	return s, nil
}

// Step takes what happened up to now and returns what to do. The slice is valid until the next Step.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	// A timer that comes late: this initiator stood still, and what it finds has waited here, at no node.
	s.stall = 0
	if late := now - s.timerAt; late >= 0 {
		s.timerAt = never
		if late > s.shortestObjective/timersPerObjective {
			s.stall = late
		}
	}
	idle := now < s.nextWorkAt // but for what the events bring
	for _, e := range events {
		_, beat := e.(Timer)
		idle = idle && beat
		switch e := e.(type) {
		case EndpointList:
			s.onEndpointList(e)
		case Request:
			s.onRequest(e)
		case AttemptEnded:
			s.onAttemptEnded(e)
		case ResponseStarted:
			if r := s.requests[e.RequestID]; r != nil && r.heapIndex >= 0 {
				heap.Remove(&s.deadlines, r.heapIndex)
			}
		case ClientClosed:
			if r := s.requests[e.RequestID]; r != nil && !r.answered {
				s.finish(r)
			}
		case Shutdown:
			s.onShutdown(e)
		case Timer: // also one a little early: whoever drives the module may round
			s.timerAt = never
		}
	}
	if !idle {
		s.giveUpOverdue()
		s.migrateQueued()
		for _, l := range s.shardQueues {
			s.dispatchQueue(l)
		}
	}
	if now-s.lastSweep > idleStateObjectives*s.shortestObjective {
		s.sweep(s.lastSweep) // what was idle for that long starts afresh, as after a synchronization point
		s.lastSweep = now
	}
	s.setTimer()
	return s.actions
}
