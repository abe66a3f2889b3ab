package upstream

import "log/slog"

// connLog logs how the connections to one target end.
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
