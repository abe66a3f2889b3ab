package scheduler

import "time"

const (
	// slowStartChecks is how often a waiting request is checked again within the slow-start window.
	slowStartChecks = 16
	// minInitialCapacity keeps the growth during slow start finite.
	minInitialCapacity = 0.01
)

// slowStart limits what this initiator sends to a recently started target.
type slowStart struct {
	SlowStart
	tick       time.Duration
	initiators float64
	// oneRequestPerWindow is set if an equal share of the budget is less than one request of mean size.
	// At any time, only a few of the initiators then have requests for the target, and each may send one
	// request per window.
	oneRequestPerWindow bool
}

func newSlowStart(settings *Settings) slowStart {
	initiators := float64(settings.Initiators)
	return slowStart{
		SlowStart:           settings.SlowStart,
		tick:                settings.Tick,
		initiators:          initiators,
		oneRequestPerWindow: settings.SlowStart.Budget < settings.MeanUnits*initiators,
	}
}

// isInSlowStart reports whether the target started less than the slow-start duration ago, so that its
// capacity is still growing.
func (p *slowStart) isInSlowStart(t *target, now time.Duration) bool {
	return t.StartedAt > 0 && now-t.StartedAt < p.Duration
}

// admissionTime returns the time from which that many units may go to the target, or a time at which to
// check again.
//
// Without this rule, a target that has just started would get the full load, become overloaded and fail
// again. Within each window it gets at most what it can serve; what it has served within the window shows
// that it can serve as much again.
func (p *slowStart) admissionTime(now time.Duration, t *target, units float64) time.Duration {
	// The units are counted outside slow start as well, since the endpoint list reports a start with a
	// delay. The window is one tick longer for sent units and one tick shorter for served ones. Steps are
	// up to one tick late, so a request is sent after its recorded time and was served before its
	// recorded time.
	sent := t.recentlySent.sumSince(now - p.Window - p.tick)
	served := t.recentlyServed.sumSince(now - p.Window + p.tick)
	if p.Window <= 0 || !p.isInSlowStart(t, now) {
		return 0
	}
	if p.oneRequestPerWindow && sent == 0 || sent+units <= p.budget(now-t.StartedAt, served) {
		return 0
	}
	return now + p.Window/slowStartChecks
}

// budget is the number of units that a target of this age can serve within a window for this initiator.
// The capacity grows linearly from InitialCapacity; served is the number of units that the target has
// served within the window. The budget is an equal share of the capacity or, if that is more, a part of
// the equal share plus the served units.
func (p *slowStart) budget(age time.Duration, served float64) float64 {
	if p.oneRequestPerWindow {
		// The target fails at OverloadFactor times what it can serve. Half of that keeps a safe distance
		// and still lets the sent units grow from window to window.
		return p.OverloadFactor / 2 * served
	}
	totalGrowth := 1/max(p.InitialCapacity, minInitialCapacity) - 1
	capacityFactor := 1 + totalGrowth*max(0, age.Seconds())/p.Duration.Seconds()
	equalShare := p.Budget / p.initiators * capacityFactor
	return max(equalShare, equalShare*(1-1/max(p.OverloadFactor, 1))+served)
}

// unitHistory records sizes in units with their times, oldest first.
type unitHistory []unitSample

type unitSample struct {
	at    time.Duration
	units float64
}

func (h *unitHistory) add(now time.Duration, units float64) {
	*h = append(*h, unitSample{at: now, units: units})
}

// sumSince removes the samples before from and returns the sum of the others.
func (h *unitHistory) sumSince(from time.Duration) float64 {
	for len(*h) > 0 && (*h)[0].at < from {
		*h = (*h)[1:]
	}
	sum := 0.0
	for _, sample := range *h {
		sum += sample.units
	}
	return sum
}
