package faulttest

import (
	"sync"
	"time"
)

// delayEvery is how often a DelayMonitor looks.
const delayEvery = 2 * time.Millisecond

// DelayMonitor measures by how much this process itself runs late, so that its own delays are not taken for those of
// the initiators it judges.
type DelayMonitor struct {
	mu    sync.Mutex
	spans []delay
	stop  chan struct{}
	done  chan struct{}
}

// delay is a time by which the monitor woke late.
type delay struct {
	until time.Time
	late  time.Duration
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
		due := time.Now().Add(delayEvery)
		select {
		case <-m.stop:
			return
		case <-time.After(delayEvery):
		}
		now := time.Now()
		if late := now.Sub(due); late > delayEvery {
			m.mu.Lock()
			m.spans = append(m.spans, delay{now, late})
			m.mu.Unlock()
		}
	}
}

// Stop ends the monitor.
func (m *DelayMonitor) Stop() {
	close(m.stop)
	<-m.done
}

// Most is the longest delay of this process that overlaps the span, and what is always allowed.
func (m *DelayMonitor) Most(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	most := 2 * delayEvery
	for _, d := range m.spans {
		if d.until.After(from) && d.until.Add(-d.late).Before(to) {
			most = max(most, d.late+2*delayEvery)
		}
	}
	return most
}
