package upstream

import "log/slog"

// connLog logs how the connections to one target end, and why one did not come up.
type connLog struct {
	logger   *slog.Logger
	targetID string
}

// closed logs why a connection ended, after how many attempts, and the client's ID of the request that it carried; empty if
// it was idle.
func (l connLog) closed(uses int, reason CloseReason, clientRequestID string) {
	l.logger.Info("connection ended",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.String("reason", string(reason)),
		slog.Int("conn_attempts", uses),
		slog.String("request", clientRequestID))
}

// dialFailed logs why no connection came up.
func (l connLog) dialFailed(address string, err error) {
	l.logger.Info("connection failed",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.String("address", address),
		slog.Any("error", err))
}

// dialOverdue logs that an attempt no longer waits for its connection, which may still come up.
func (l connLog) dialOverdue(clientRequestID string) {
	l.logger.Info("connection overdue",
		slog.String("side", "target"),
		slog.String("target", l.targetID),
		slog.String("request", clientRequestID))
}
