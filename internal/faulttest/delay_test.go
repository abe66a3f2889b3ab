package faulttest

import (
	"sync"
	"time"
)

// delayPollInterval is how long a DelayMonitor sleeps between two measurements.
const delayPollInterval = 2 * time.Millisecond

// DelayMonitor measures scheduling delays of the test process, so that the checks do not attribute them to the initiators
// under test.
type DelayMonitor struct {
	mu     sync.Mutex
	delays []delay
	stop   chan struct{}
	done   chan struct{}
}

// delay is a period in which the monitor woke up late.
type delay struct {
	end    time.Time
	length time.Duration
}

// NewDelayMonitor starts a monitor. The caller must stop it with Stop.
func NewDelayMonitor() *DelayMonitor {
	m := &DelayMonitor{stop: make(chan struct{}), done: make(chan struct{})}
	go m.run()
	return m
}

func (m *DelayMonitor) run() {
	defer close(m.done)
	for {
		expected := time.Now().Add(delayPollInterval)
		select {
		case <-m.stop:
			return
		case <-time.After(delayPollInterval):
		}
		now := time.Now()
		if late := now.Sub(expected); late > delayPollInterval {
			m.mu.Lock()
			m.delays = append(m.delays, delay{now, late})
			m.mu.Unlock()
		}
	}
}

// Stop stops the monitor and waits until it has stopped.
func (m *DelayMonitor) Stop() {
	close(m.stop)
	<-m.done
}

// Longest returns the longest delay of the test process that overlaps the period between from and to. It adds the longest
// delay that the monitor cannot detect.
func (m *DelayMonitor) Longest(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	const undetected = 2 * delayPollInterval
	longest := undetected
	for _, d := range m.delays {
		if d.end.After(from) && d.end.Add(-d.length).Before(to) {
			longest = max(longest, d.length+undetected)
		}
	}
	return longest
}
