package faulttest

import (
	"sync"
	"time"
)

// delayPollInterval is the time between two looks of a DelayMonitor.
const delayPollInterval = 2 * time.Millisecond

// DelayMonitor measures by how much this process itself runs late, so that its own delays are not taken for those of
// the initiators it judges.
type DelayMonitor struct {
	mu     sync.Mutex
	delays []delay
	stop   chan struct{}
	done   chan struct{}
}

// delay is one late wake-up of the monitor.
type delay struct {
	until time.Time
	by    time.Duration
}

// NewDelayMonitor starts a monitor; Stop ends it.
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

// Stop ends the monitor.
func (m *DelayMonitor) Stop() {
	close(m.stop)
	<-m.done
}

// Max returns the longest delay of this process that overlaps the span, plus what the monitor cannot see.
func (m *DelayMonitor) Max(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	const unseen = 2 * delayPollInterval
	longest := unseen
	for _, d := range m.delays {
		if d.until.After(from) && d.until.Add(-d.by).Before(to) {
			longest = max(longest, d.by+unseen)
		}
	}
	return longest
}
