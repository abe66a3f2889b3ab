package clienthttp

import (
	"context"
	"errors"
	"slices"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
)

// shutdownPollInterval is how often a graceful shutdown checks for connections without a request.
const shutdownPollInterval = 10 * time.Millisecond

// Shutdown stops the server gracefully. It reports not ready at once, accepts connections for dispatcher.AcceptGrace,
// serves the open connections for a while, and returns once no connection is left. If the context ends first, it closes
// the remaining connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.stop()
	startedAt := time.Now()
	s.shutdownStartedAt.Store(&startedAt)
	s.conns.beginShutdown()
	dispatcher.WaitUntil(ctx, startedAt.Add(dispatcher.AcceptGrace))
	s.stopAccepting(startedAt)
	dispatcher.WaitUntil(ctx, startedAt.Add(s.shutdownSchedule.ServeConnsFor))
	return s.closeConns(ctx, startedAt)
}

// stopAccepting closes the listener once its accept queue is empty, at AnswerBy at the latest. Connections that are still
// in the queue then are reset.
//
// The accept queue may hold connections when the grace ends, because the accepting goroutine has not run yet or accept is
// failing. Closing the listener would reset them. The accepting goroutine therefore continues until the queue is empty.
func (s *Server) stopAccepting(startedAt time.Time) {
	if listener := s.listener.Load(); listener != nil {
		_ = socket.CloseListenerWhenEmpty(*listener, startedAt.Add(s.shutdownSchedule.AnswerBy))
	}
}

// closeConns closes each connection once it has no request, until no connection is left.
//
// It does not use http.Server.Shutdown, which closes every connection that net/http considers idle. Part of a request may
// have been received on such a connection, and the request would get no response.
func (s *Server) closeConns(ctx context.Context, startedAt time.Time) error {
	s.closeAfterResponse.Store(true)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		includeStalled := time.Since(startedAt) >= s.shutdownSchedule.AnswerBy
		if s.conns.closeIdle(includeStalled) == 0 {
			return s.http.Close()
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.http.Close())
		case <-ticker.C:
		}
	}
}

// beginShutdown records that connections are closed because of the graceful shutdown from now on.
func (t *connTable) beginShutdown() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shuttingDown = true
}

// closeIdle closes the connections without a request, and returns how many connections are left. With includeStalled it
// also closes those that have received part of a request and then nothing more for stalledTimeout.
func (t *connTable) closeIdle(includeStalled bool) (left int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range slices.Clone(t.open) { // closing a connection changes the table
		observed := c.state.Load()
		stalled := observed == stateReceiving && time.Since(c.lastReadTime()) > stalledTimeout
		if observed == stateIdle || observed == stateMalformed || includeStalled && stalled {
			t.closeIfUnchanged(c, observed, reasonShutdown)
		}
	}
	return len(t.open)
}
