package scheduler

import "time"

const (
	// slowStartChecks is how often within the slow-start window a waiting request is checked again.
	slowStartChecks = 16
	// minInitialCapacity keeps the growth during the slow start finite.
	minInitialCapacity = 0.01
)

// slowStart bounds what this initiator sends to a target that has started recently.
type slowStart struct {
	SlowStart
	tick       time.Duration
	initiators float64
	// oneRequestPerWindow is set when the even part of the budget is less than one request of mean size. Few
	// of the initiators then have work for the target at a time, and each may send one request a window.
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

// isInSlowStart reports whether the target started within the slow-start duration: its capacity still grows.
func (p *slowStart) isInSlowStart(t *target, now time.Duration) bool {
	return t.StartedAt > 0 && now-t.StartedAt < p.Duration
}

// admitAt returns the time from which that many units may go to the target, or a time at which to ask
// again.
//
// Prevents: a target that has just started gets the full load, is overloaded and fails again. Within each
// window it gets at most what it can serve; what it did serve within the window shows that it can serve as
// much.
func (p *slowStart) admitAt(now time.Duration, t *target, units float64) time.Duration {
	// Counted after the slow start too: the endpoint list reports a start some time after it. The window is
	// one tick longer for what was sent and one shorter for what was served: steps are up to a tick late,
	// so a request leaves after the time that is counted, and was served before it.
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

// budget is the number of units within a window that a target of this age can serve for this initiator. The
// capacity grows linearly from InitialCapacity; served is what the target has served within the window.
func (p *slowStart) budget(age time.Duration, served float64) float64 {
	if p.oneRequestPerWindow {
		// The target fails at OverloadFactor times what it can serve. Half of that stays clear of it, and
		// lets what is sent grow from window to window.
		return p.OverloadFactor / 2 * served
	}
	growth := 1/max(p.InitialCapacity, minInitialCapacity) - 1
	grown := 1 + growth*max(0, age.Seconds())/p.Duration.Seconds()
	evenPart := p.Budget / p.initiators * grown
	return max(evenPart, evenPart*(1-1/max(p.OverloadFactor, 1))+served)
}

// unitHistory is a list of sizes by time, oldest first.
type unitHistory []unitSample

type unitSample struct {
	at    time.Duration
	units float64
}

func (h *unitHistory) add(now time.Duration, units float64) {
	*h = append(*h, unitSample{at: now, units: units})
}

// sumSince drops the samples before from, and returns the sum of the others.
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
