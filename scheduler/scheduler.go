package scheduler

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// never is a time that the clock never reaches.
	never = time.Duration(math.MaxInt64)
	// maxSeconds caps durations that are computed from estimates.
	maxSeconds = 1e6
	// minMeanUnits keeps divisions by the mean size finite.
	minMeanUnits = 1e-3
)

// Scheduler makes the decisions of one initiator. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	classes  map[string]*Class
	plans    map[string]*Plan
	rng      *rand.Rand

	// Values derived from the settings.
	shortestObjective time.Duration // shortest latency objective of all classes
	highestPriority   float64       // highest priority that a request can have, see priority
	minConcurrency    float64       // lower bound of the concurrency limit of a responding target

	// State of the current step.
	now      time.Duration
	stall    time.Duration // how long the process was stalled before this step; 0: not at all
	actions  []Action
	admitted []*request // requests of the current queue that may be sent now

	// Requests.
	requests         map[string]*request
	pendingGiveUps   giveUpHeap
	shutdownDeadline time.Duration // when all requests must have ended; never: no shutdown yet
	givenUp          givenUpRequests
	serialQueues     map[string]*serialQueue // by extent
	shardQueues      []*shardQueue           // in the order in which they were created
	queuesByShard    map[int]*shardQueue
	waits            []float64 // expected wait of each shard queue, as of the last computeWaits; reused
	volumes          map[string]*volume

	// Targets.
	targets        []*target
	targetsByID    map[string]*target
	targetsByShard targetsByShard
	targetsListed  int     // how many targets have ever been listed
	queueingFactor float64 // fraction of the base latency that each request at a target adds; learned
	slowStart      slowStart
	retryBudget    retryBudget
	watcher        endpointWatcher

	timer     wakeTimer
	lastSweep time.Duration
}

// New returns a scheduler, or a *SettingsError if the settings are invalid. It copies the settings. The
// seed determines the scheduler's random decisions.
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
		targetsByShard:    targetsByShard{},
		queuesByShard:     map[int]*shardQueue{},
		queueingFactor:    initialQueueingFactor,
		slowStart:         newSlowStart(&settings),
		retryBudget:       retryBudget{RetryBudget: settings.RetryBudget, tick: settings.Tick},
		watcher:           newEndpointWatcher(settings.WatchEndpoints),
		timer:             wakeTimer{setFor: never},
	}
	s.indexClassesAndPlans()
	return s, nil
}

// indexClassesAndPlans fills the maps of classes and plans by name, and the values derived from them.
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

// Step applies the events since the last step, in the order in which they happened, and returns the
// actions for the caller. The time must not decrease from step to step. The returned slice is valid until
// the next Step.
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
	if s.watcher.startIfDue(now) {
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
		// A timer may fire slightly early because the caller rounds, so that nothing is due yet. With
		// setFor reset, the end of this step requests another timer. Otherwise no timer would be set, and
		// queued requests might never end.
		s.timer.setFor = never
	}
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

// seconds converts seconds to a duration, capped at maxSeconds so that it cannot overflow.
func seconds(x float64) time.Duration {
	return time.Duration(min(x, maxSeconds) * float64(time.Second))
}
