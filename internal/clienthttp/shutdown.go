package clienthttp

import (
	"context"
	"errors"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
)

// shutdownPollInterval is how often a graceful shutdown checks for connections without a request.
const shutdownPollInterval = 10 * time.Millisecond

// Shutdown ends the server gracefully. It reports not ready at once, accepts connections for dispatcher.AcceptGrace, serves
// the open connections for a while, and returns once no connection is left. If the context ends before, it closes the
// remaining connections and returns the context's error.
func (s *Server) Shutdown(ctx context.Context) error {
	defer s.endTimeouts()
	startedAt := time.Now()
	s.shutdownAt.Store(&startedAt)
	s.conns.beginShutdown()
	dispatcher.WaitUntil(ctx, startedAt.Add(dispatcher.AcceptGrace))
	s.stopAccepting(startedAt)
	dispatcher.WaitUntil(ctx, startedAt.Add(s.shutdown.ServeConnsFor))
	return s.closeConns(ctx, startedAt)
}

// stopAccepting closes the listener once its accept queue is empty, at the latest at AnswerBy. Connections that are still in
// the queue then are reset.
//
// Prevents the reset of connections that the kernel has accepted and this process has not, as when the grace ends before the
// accepting goroutine has run or while accept fails, because that goroutine goes on accepting until the listener closes.
func (s *Server) stopAccepting(startedAt time.Time) {
	if listener := s.listener.Load(); listener != nil {
		_ = socket.CloseListenerWhenEmpty(*listener, startedAt.Add(s.shutdown.AnswerBy))
	}
}

// closeConns closes each connection once it has no request, until none is left.
//
// It does not use http.Server.Shutdown, which closes what net/http takes for idle: such a connection may have received part
// of a request, which would get no response.
func (s *Server) closeConns(ctx context.Context, startedAt time.Time) error {
	s.closeAfterResponse.Store(true)
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		includeStalled := time.Since(startedAt) >= s.shutdown.AnswerBy
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

// beginShutdown marks that connections are closed because of the graceful shutdown from now on.
func (t *connTable) beginShutdown() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.shuttingDown = true
}

// closeIdle closes the connections without a request, and returns how many are left. With includeStalled it also closes
// those that received part of a request and nothing more for stalledTimeout; otherwise these may go on.
func (t *connTable) closeIdle(includeStalled bool) (left int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for c := range t.open {
		observed := c.state.Load()
		stalled := observed == stateReceiving && time.Since(c.lastReadTime()) > stalledTimeout
		if observed == stateIdle || observed == stateMalformed || includeStalled && stalled {
			t.closeIfStill(c, observed, reasonShutdown)
		}
	}
	return len(t.open)
}
