package clienthttp

import (
	"log/slog"
	"time"
)

// lateReadThreshold is how long a request must have waited at this machine for the wait to be logged.
const lateReadThreshold = 50 * time.Millisecond

// logLateRead logs, at debug level, that a request waited at this machine before it reached its handler. Beside
// "step was late" of the dispatcher it tells what it waited for:
//
//   - unread_for longer than accepted_ago: in the accept queue, where accept_took says how long the accept that took
//     the connection had been waiting;
//   - otherwise: behind another request of the connection, or for the process, which stood still.
func (s *Server) logLateRead(conn *clientConn, requestID string) {
	unreadFor := time.Since(conn.requestArrival())
	if unreadFor < lateReadThreshold {
		return
	}
	s.options.Logger.Debug("request was read late",
		slog.String("request", requestID),
		slog.Duration("unread_for", unreadFor),
		slog.Duration("accepted_ago", time.Since(conn.acceptedAt)),
		slog.Duration("accept_took", conn.acceptTook))
}
