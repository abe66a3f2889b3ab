package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// never is a time that no clock reaches.
	never = time.Duration(math.MaxInt64)
	// maxSeconds bounds durations that are computed from an estimate.
	maxSeconds = 1e6
	// minMeanUnits keeps a division by the mean size finite.
	minMeanUnits = 1e-3
)

// Scheduler decides for one initiator. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	classes  map[string]*Class
	plans    map[string]*Plan
	rng      *rand.Rand

	// Derived from the settings.
	shortestObjective time.Duration // least latency objective of the classes
	highestPriority   float64       // greatest that a request can have, see priority
	minConcurrency    float64       // least concurrency limit of a responding target

	// The current step.
	now      time.Duration
	stall    time.Duration // for how long this process stood still before the step; 0: it did not
	actions  []Action
	admitted []*request // requests of the current queue that may go to its target now

	// Requests.
	requests         map[string]*request
	giveUps          giveUpHeap
	shutdownDeadline time.Duration // no request may be open after it; never: no shutdown yet
	givenUp          givenUpRequests
	serialQueues     map[string]*serialQueue // by extent
	shardQueues      []*shardQueue
	volumes          map[string]*volume

	// Targets.
	targets        []*target
	targetsByID    map[string]*target
	queueingFactor float64 // part of the base latency that each request at a target adds; learned
	slowStart      slowStart
	retryBudget    retryBudget
	poller         endpointPoller

	timer     wakeTimer
	lastSweep time.Duration
}

// New returns a scheduler, or a *SettingsError. The settings are copied. The seed is that of its random
// decisions.
func New(settings Settings, seed uint64) (*Scheduler, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings = settings.clone()
	settings.MeanUnits = max(settings.MeanUnits, minMeanUnits)
	s := &Scheduler{
		settings:          settings,
		classes:           map[string]*Class{},
		plans:             map[string]*Plan{},
		rng:               rand.New(rand.NewPCG(seed, seed)),
		shortestObjective: never,
		minConcurrency:    max(1, sharedMinConcurrency/float64(settings.Initiators)),
		requests:          map[string]*request{},
		shutdownDeadline:  never,
		givenUp:           newGivenUpRequests(),
		serialQueues:      map[string]*serialQueue{},
		volumes:           map[string]*volume{},
		targetsByID:       map[string]*target{},
		queueingFactor:    initialQueueingFactor,
		slowStart:         newSlowStart(&settings),
		retryBudget:       retryBudget{RetryBudget: settings.RetryBudget, tick: settings.Tick},
		poller:            newEndpointPoller(settings.WatchEndpoints),
		timer:             wakeTimer{setFor: never},
	}
	s.indexClassesAndPlans()
	return s, nil
}

// indexClassesAndPlans fills the maps by name, and what is derived from classes and plans.
func (s *Scheduler) indexClassesAndPlans() {
	for i := range s.settings.Plans {
		plan := &s.settings.Plans[i]
		s.plans[plan.Name] = plan
	}
	for i := range s.settings.Classes {
		class := &s.settings.Classes[i]
		s.classes[class.Name] = class
		s.shortestObjective = min(s.shortestObjective, class.LatencyObjective)
		for _, plan := range s.settings.Plans {
			s.highestPriority = max(s.highestPriority, class.PriorityWeight*plan.PriorityFactor)
		}
	}
}

// Step takes the events up to now, in the order in which they happened, and returns what to do. Times must
// not decrease from step to step. The slice is valid until the next Step.
func (s *Scheduler) Step(now time.Duration, events []Event) []Action {
	s.now = now
	s.actions = s.actions[:0]
	s.measureStall()
	hasWork := now >= s.timer.nextWorkAt
	for _, event := range events {
		if _, isTimer := event.(Timer); !isTimer {
			hasWork = true
		}
		s.handle(event)
	}
	if hasWork {
		s.giveUpOverdue()
		s.migrateQueued()
		for _, q := range s.shardQueues {
			s.dispatchQueue(q)
		}
	}
	s.sweep()
	if s.poller.takeDue(now) {
		s.emit(Action{Kind: WatchEndpoints})
	}
	s.setTimer()
	return s.actions
}

// handle applies one event.
func (s *Scheduler) handle(event Event) {
	switch event := event.(type) {
	case EndpointList:
		s.onEndpointList(event)
	case Request:
		s.onRequest(event)
	case AttemptEnded:
		s.onAttemptEnded(event)
	case ResponseStarted:
		s.onResponseStarted(event)
	case ClientClosed:
		s.onClientClosed(event)
	case Shutdown:
		s.onShutdown(event)
	case Timer:
		// Prevents: a timer fires a little early, since the caller rounds; nothing is due yet, no other timer
		// is set, and the queued requests are never ended. Without a timer, this step requests another.
		s.timer.setFor = never
	}
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

// seconds turns seconds into a duration, bounded so that it cannot overflow.
func seconds(x float64) time.Duration {
	return time.Duration(min(x, maxSeconds) * float64(time.Second))
}
