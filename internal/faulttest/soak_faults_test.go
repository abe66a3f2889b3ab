package faulttest

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// maxPause is the longest that an initiator is paused for.
	maxPause = 145 * time.Millisecond
	// maxShortage is the longest that an initiator has no descriptor to open. Past half a second no request of a client that
	// waits some milliseconds could have its response in time.
	maxShortage = 400 * time.Millisecond
	// oldDiscoveryGrace is how long a discovery that was left keeps its open connections.
	oldDiscoveryGrace = 1500 * time.Millisecond
	// newConnectionGrace is how long after SIGTERM clients open new connections.
	newConnectionGrace = 400 * time.Millisecond
	// maxMovesInARow is the most configurations that follow one another.
	maxMovesInARow = 3
)

// addTarget starts a target for a shard, in place of the one that served it.
func (s *soak) addTarget(shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index := len(s.targets)
	id := fmt.Sprintf("s-%d", index)
	behaviour := targetBehaviour(s.random(targetStream + uint64(index)))
	target, err := NewTarget(id, s.seed<<8+uint64(index), s.ledger, behaviour)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.serving[shard] = index
	s.targets = append(s.targets, target)
	s.discovery.Set(Entry{ID: id, Addr: target.Addr().String(), Cell: shard, State: Serving})
}

// targetBehaviour draws how often a target does what, and returns what draws its behaviour.
func targetBehaviour(plan *rand.Rand) func(*rand.Rand) Behaviour {
	faults := plan.Float64() * 0.15
	hangs := 0.0
	if plan.IntN(4) == 0 {
		hangs = plan.Float64() * 0.3
	}
	repeats := plan.Float64() * 0.3
	meanDelayMs := 1 + plan.Float64()*15
	faulty := []Reply{RespondError, RespondRejected, ResetConnection, RespondGarbage, StopMidResponse, RespondWithoutLength,
		CutWithoutLength}
	return func(rng *rand.Rand) Behaviour {
		b := Behaviour{Delay: time.Duration(rng.ExpFloat64() * meanDelayMs * float64(time.Millisecond))}
		switch p := rng.Float64(); {
		case p < hangs:
			b.Reply = Hang
		case p < hangs+faults:
			b.Reply = faulty[rng.IntN(len(faulty))]
		default:
			b.CloseAfter = rng.IntN(50) == 0
			switch {
			case rng.IntN(20) == 0:
				b.CloseIdleAfter = time.Duration(1+rng.IntN(100)) * time.Millisecond
			case rng.Float64() < repeats:
				b.RepeatAfter = time.Duration(1+rng.IntN(8000)) * time.Microsecond
			}
		}
		return b
	}
}

// runPauses has the process stand still now and then.
func (s *soak) runPauses(rng *rand.Rand) {
	for s.wait(time.Duration(200+rng.IntN(500)) * time.Millisecond) {
		s.signalMu.Lock()
		process, _ := s.current()
		process.Pause(time.Duration(rng.Int64N(int64(maxPause))), nil)
		s.signalMu.Unlock()
	}
}

// runShortages leaves the process no descriptors now and then.
func (s *soak) runShortages(rng *rand.Rand) {
	for s.wait(time.Duration(1000+rng.IntN(2000)) * time.Millisecond) {
		process, _ := s.current()
		err := process.ExhaustDescriptors(time.Duration(rng.Int64N(int64(maxShortage))))
		if err != nil && !errors.Is(err, syscall.ESRCH) {
			s.t.Error(err)
		}
	}
}

// runDrains replaces targets: one drains, another takes its shard, and the first is removed later on.
func (s *soak) runDrains(rng *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	for s.wait(time.Duration(500+rng.IntN(1000)) * time.Millisecond) {
		shard := rng.IntN(soakShards)
		s.mu.Lock()
		old := s.targets[s.serving[shard]]
		s.mu.Unlock()
		s.discovery.Set(Entry{ID: old.ID, Addr: old.Addr().String(), Cell: shard, State: Draining})
		s.addTarget(shard)
		drainTime := time.Duration(1500+rng.IntN(1500)) * time.Millisecond
		open.Go(func() {
			if s.wait(drainTime) {
				s.discovery.Set(Entry{ID: old.ID, State: Deleted})
				old.Stop()
			}
		})
	}
}

// runDiscoveryMoves suspends discovery, and moves it by new configurations, some in a row.
func (s *soak) runDiscoveryMoves(rng *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	defer s.discovery.Resume()
	for s.wait(time.Duration(1000+rng.IntN(2000)) * time.Millisecond) {
		if rng.IntN(3) == 0 {
			s.discovery.Suspend()
			time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
			s.discovery.Resume()
		}
		for range 1 + rng.IntN(maxMovesInARow) {
			open.Go(s.moveDiscovery())
			time.Sleep(time.Duration(rng.IntN(50)) * time.Millisecond)
		}
	}
}

// moveDiscovery moves discovery once, and returns what ends the old address.
func (s *soak) moveDiscovery() func() {
	next, err := s.discovery.Listen()
	if err != nil {
		s.t.Error(err)
		return func() {}
	}
	s.signalMu.Lock()
	old := s.discoveryAddr
	s.discoveryAddr = next
	s.config.Discovery = next
	process, _ := s.current()
	if err := process.Configure(s.config); err != nil {
		s.t.Error(err)
	}
	process.Signal(syscall.SIGHUP)
	s.signalMu.Unlock()
	return func() {
		time.Sleep(oldDiscoveryGrace)
		s.discovery.CloseAddress(old)
	}
}

// runRestart ends the process once, most times with notice, and starts its successor.
func (s *soak) runRestart(rng *rand.Rand) {
	time.Sleep(soakDuration/4 + time.Duration(rng.Int64N(int64(soakDuration/4))))
	process, client := s.current()
	if rng.IntN(4) == 0 {
		client.Killed(true)
		s.signalMu.Lock()
	} else {
		s.terminate(process, client, rng)
		s.signalMu.Lock()
	}
	process.Kill()
	defer s.signalMu.Unlock()
	client.StopConnecting()
	s.start()
}

// terminate sends SIGTERM, some times more than once, and waits until the process ends or SIGKILL may come.
func (s *soak) terminate(process *Process, client *Client, rng *rand.Rand) {
	begun := time.Now()
	for range 1 + rng.IntN(3) {
		process.Signal(syscall.SIGTERM)
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
	time.AfterFunc(newConnectionGrace-time.Since(begun), client.StopConnecting)
	process.Await(time.Until(begun.Add(s.killAfter)))
}
