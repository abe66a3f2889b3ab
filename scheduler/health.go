package scheduler

// Node health: what the list, answers and load reports tell of nodes, and the depth that each may have.

import (
	"math"
	"time"
)

const (
	// latencyRise is how far above its base a node may answer before the depth shrinks: what waits there
	// can no longer be ordered. Half idles cores, double lost up to 0.05 on overloaded days.
	latencyTolerance = 1.5
	// calmAims is how many least aims without a late or set-aside request make a node calm: then it may have
	// twice the depth. Half queues more between surges, double idles cores (without: quiet days lose 0.2).
	calmObjectives = 30
	// windowGain is the part by which an answer moves depth and base. Half lags, double is noisy.
	smoothingGain = 0.1
	// windowPush is the depth that each initiator leans on a node with. Half adapts slowly, double queues.
	concurrencyIncrement = 0.25
	// errorPart is forgiven of an error: quick ones cost little, so more of them than silences mean trouble.
	errorForgiveness = 0.75
	// windowMost bounds the depth, whatever the estimates. Half would bind a lone host, double guards less.
	maxConcurrency = 16
	// spellAims is how many least aims an answer stays telling: one after a longer gap outweighs all before,
	// and the latency expected falls to the base. Half forgets others' queues, double believes them too long.
	latencyMemoryObjectives = 4
	// quietFactor is how many usual latencies without an answer make a node quiet. Half takes pauses for it.
	silenceFactor = 4
)

// onList applies the list. A draining or gone node gets nothing more from that moment on.
func (s *Scheduler) onEndpointList(e EndpointList) {
	if e.Failed {
		if s.settings.PollEndpoints {
			s.nextPoll, s.pollBackoff = s.now+s.pollBackoff, min(2*s.pollBackoff, 8*time.Second)
		}
		return
	}
	s.pollBackoff = time.Second
	named := map[string]bool{}
	for _, x := range e.Targets {
		named[x.ID] = true
		n := s.targetsByID[x.ID]
		if n == nil {
			n = &target{Target: Target{ID: x.ID}, concurrencyLimit: 2, lastHeard: s.now, reportedLoad: -1}
			s.targetsByID[x.ID] = n
			s.targets = append(s.targets, n)
		}
		if x.Started != n.Started && s.now-x.Started < s.settings.SlowStart.Duration {
			n.concurrencyLimit, n.consecutiveFailures, n.smoothedLatency = 1, 0, 0
			// Each of a crowd starts at a moment of its own, so that what was held does not come at once. The
			// cold guard bounds it to a request each: half a span is enough, half the warm-up idled the node.
			if s.sharedSlowStart {
				half := float64(s.settings.SlowStart.Window / 2)
				n.ejectedUntil = s.now + time.Duration(s.rng.Float64()*half)
			}
		}
		n.Target = x
	}
	for _, n := range s.targets {
		if e.Complete && !named[n.ID] {
			n.State = Removed
		}
	}
	for _, n := range s.targets {
		if n.State == Serving && n.Shard >= 0 {
			s.shardQueueFor(n.Shard)
		}
	}
	for _, l := range s.shardQueues {
		l.target = nil
		for _, n := range s.targets {
			if n.Shard == l.shard && n.State == Serving && (l.target == nil || n.Started > l.target.Started) {
				l.target = n
			}
		}
	}
}

// quietAfter is how long a node may owe any answer before it counts as quiet.
func (s *Scheduler) silenceTimeout(n *target) time.Duration {
	return max(s.shortestObjective, seconds(silenceFactor*n.smoothedLatency))
}

// expect is the latency to expect now: as answers or reports tell, falling to the base while none renews it,
// so that one bad spell is not believed for ever by an initiator that holds back because of it.
func (s *Scheduler) expectedLatency(n *target) float64 {
	spell := latencyMemoryObjectives * s.shortestObjective.Seconds()
	seen := (n.smoothedLatency - n.baseLatency) * math.Exp(-(s.now-n.lastHeard).Seconds()/spell)
	told := n.baseLatency * s.queueingFactor * n.reportedLoad *
		math.Exp(-(s.now-n.loadReportedAt).Seconds()/spell)
	return n.baseLatency + max(seen, told)
}

// onLoad takes a node's report for one more sign of its latency: what waits there is answered first. How
// much a waiting request adds is learned over all nodes, as a part of the base. Where reports are missing
// the answers have the word; absurd ones are ignored.
func (s *Scheduler) onLoadReport(n *target, l *LoadReport) {
	if l == nil || n.smoothedLatency == 0 {
		return
	}
	load := l.QueueDepth
	if !(load >= 0) {
		load = l.InFlight
	}
	if load >= 0 && load < 1e6 {
		n.reportedLoad, n.loadReportedAt = load, s.now
	}
}

// troubled tells whether the node is quiet (an attempt is overdue far beyond the usual and nothing was heard
// since) or failed several times with nothing served between: whatever the cause, one trial at a time.
func (s *Scheduler) isOutlier(n *target) bool {
	if n.consecutiveFailures >= 3 {
		return true
	}
	for _, r := range n.inFlight {
		if s.now-r.sentAt > s.silenceTimeout(n) && n.lastHeard <= r.sentAt {
			return true
		}
	}
	return false
}

// patience is the time-out of an attempt. It is long: the data is nowhere else, so a premature second attempt
// only adds load, even where answers get lost. It frees the slot of an attempt that was lost.
func (s *Scheduler) attemptTimeout(n *target, r *request) time.Duration {
	return max(4*r.class.LatencyObjective, seconds(2*silenceFactor*n.smoothedLatency))
}

// learn updates depth and latency from an attempt's end. The depth follows PARDA: it tends to where the
// node answers in latencyRise times its base, and grows only while it is in use.
func (s *Scheduler) recordResult(n *target, r *request, e AttemptEnded) {
	switch e.Status {
	case Succeeded:
		if s.isOutlier(n) {
			n.concurrencyLimit = 1
		}
		n.consecutiveFailures, n.ejectedUntil = 0, 0
		if s.settings.SlowStart.Window > 0 {
			n.recentlyServed = append(n.recentlyServed, unitSample{s.now, r.Units})
		}
		took := e.Latency.Seconds() / s.relativeSize(r.Units)
		if s.stall > 0 {
			n.lastHeard = s.now
			return
		}
		if n.smoothedLatency == 0 {
			n.smoothedLatency, n.baseLatency = took, took
		}
		if r.loadAtSend > 0 && n.baseLatency > 0 {
			s.queueingFactor += (max(0, took/n.baseLatency-1)/r.loadAtSend - s.queueingFactor) * smoothingGain
		}
		memory := latencyMemoryObjectives * s.shortestObjective.Seconds()
		gain := max(smoothingGain, 1-math.Exp(-(s.now-n.lastHeard).Seconds()/memory))
		if took < n.baseLatency {
			n.baseLatency += (took - n.baseLatency) * gain
		} else {
			n.baseLatency += (took - n.baseLatency) * smoothingGain / 8
		}
		n.smoothedLatency += (took - n.smoothedLatency) * gain
		n.lastHeard = s.now
		goal := latencyTolerance * n.baseLatency
		if s.now-n.lastPressure > calmObjectives*s.shortestObjective {
			goal *= 2 // what waits at the node need not be ordered
		}
		next := n.concurrencyLimit*min(2, goal/max(n.smoothedLatency, 1e-6)) + concurrencyIncrement
		if next < n.concurrencyLimit || float64(len(n.inFlight)) >= math.Floor(n.concurrencyLimit) {
			n.concurrencyLimit += (next - n.concurrencyLimit) * smoothingGain
		}
		n.concurrencyLimit = min(maxConcurrency, max(s.minConcurrency, n.concurrencyLimit))
	case Rejected:
		n.concurrencyLimit = max(1, n.concurrencyLimit/2)
		n.lastHeard = s.now
		n.ejectedUntil = s.now + seconds(n.smoothedLatency)
	case Errored, ConnectFailed, ConnectionReset, DeadlineExceeded:
		if e.Status == DeadlineExceeded && e.Latency < s.silenceTimeout(n) {
			// The client's patience was short: it tells that the node takes at least this long, no more.
			n.smoothedLatency += max(0, e.Latency.Seconds()-n.smoothedLatency) * smoothingGain
			return
		}
		n.consecutiveFailures++
		if e.Status == Errored {
			n.consecutiveFailures -= errorForgiveness
		}
		if e.Status == DeadlineExceeded {
			n.concurrencyLimit = max(1, n.concurrencyLimit/2)
			return
		}
		n.lastHeard = s.now
		sixteenths := time.Duration(max(0, min(n.consecutiveFailures, 4)-1) * 16)
		n.ejectedUntil = s.now + s.silenceTimeout(n)*sixteenths/64
	}
}
