package clienthttp

import (
	"log/slog"
	"time"
)

// lateReadThreshold is how long a request must have waited on this machine for the wait to be logged.
const lateReadThreshold = 50 * time.Millisecond

// logLateRead logs, at debug level, that a request waited on this machine before it reached its handler. Together with
// the dispatcher's "step was late" it shows what the request waited for:
//
//   - If unread_for is longer than accepted_ago, it waited in the accept queue. accept_took is how long the accept that
//     returned its connection took.
//   - Otherwise it waited behind another request of the connection, or for the process to run.
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
