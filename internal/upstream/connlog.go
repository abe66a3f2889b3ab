package upstream

import (
	"log/slog"
	"time"
)

// connLog logs the ends of connections to one target, and failed dials.
type connLog struct {
	logger   *slog.Logger
	targetID string
}

// closed logs why a connection was closed, how many attempts it carried, and the client's ID of the request that it carried
// last; clientRequestID is empty if the connection was idle.
func (l connLog) closed(uses int, reason CloseReason, clientRequestID string) {
	l.logger.Info("connection ended",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.String("reason", string(reason)),
		slog.Int("conn_attempts", uses),
		slog.String("request", clientRequestID))
}

// unrequestedData logs that the target has sent something, such as a second copy of its response, on a connection without an
// attempt. delay is how long after the response that arrived, at the most.
func (l connLog) unrequestedData(delay time.Duration) {
	l.logger.Info("unrequested data",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.Duration("after_response", delay))
}

// dialFailed logs why a dial failed.
func (l connLog) dialFailed(address string, err error) {
	l.logger.Info("connection failed",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.String("address", address),
		slog.Any("error", err))
}

// gaveUpWaiting logs that an attempt stopped waiting for its connection. The dial may go on in the background.
func (l connLog) gaveUpWaiting(clientRequestID string) {
	l.logger.Info("attempt gave up waiting for a connection",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.String("request", clientRequestID))
}

// writtenLate logs that much time passed between the last check of an attempt and the end of its write, in which its client
// may have closed its connection.
func (l connLog) writtenLate(a *inFlightAttempt, took time.Duration) {
	l.logger.Info("attempt was written late",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.Int("attempt", a.Number),
		slog.Duration("write_took", took),
		slog.String("request", a.ClientRequestID))
}
