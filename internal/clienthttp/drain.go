package clienthttp

import (
	"context"
	"errors"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
)

// Stop leaves ready at once, keeps accepting while clients may still come, serves them for a while on the connections
// they have, and then finishes what was taken until the context ends.
func (s *Server) Shutdown(ctx context.Context) error {
	now := time.Now()
	s.left.Store(&now)
	s.conns.leave()
	dispatcher.WaitUntil(ctx, now.Add(dispatcher.AcceptGrace))
	if l := s.listener.Load(); l != nil {
		// The time may be over before the goroutine that accepts has run, or while accept fails: what waits there is a
		// client's.
		socket.DrainListener(*l, now.Add(s.shutdown.AnswerBy))
	}
	dispatcher.WaitUntil(ctx, now.Add(s.shutdown.ServeConnsFor))
	// Not by http.Server.Shutdown: it closes what net/http calls idle, and that may have a request half read.
	s.ending.Store(true)
	tick := time.NewTicker(endEvery)
	defer tick.Stop()
	for s.conns.endUnasked(time.Since(now) >= s.shutdown.AnswerBy) > 0 {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.http.Close())
		case <-tick.C:
		}
	}
	return s.http.Close()
}

// leave marks that connections end from now on because the program does.
func (t *connTable) leave() {
	t.mu.Lock()
	t.left = true
	t.mu.Unlock()
}

// endUnasked closes what has no request open, and with all also what has part of one and stalls, which is otherwise let come
// in whole. It returns how many connections are left.
func (t *connTable) endUnasked(all bool) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.open {
		phase := c.phase.Load()
		stalled := phase == reading && time.Since(c.lastRead()) > stalledFor
		if phase == quiet || phase == spent || all && stalled {
			t.evict(c, phase, "LEAVING")
		}
	}
	return len(t.open)
}
