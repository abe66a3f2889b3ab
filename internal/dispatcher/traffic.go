package dispatcher

import (
	"context"
	"log/slog"
	"time"

	"dapplegate/scheduler"
)

// trafficInterval is how often the counts of the traffic are logged, unless there was none.
const trafficInterval = 10 * time.Second

// trafficCounts counts how requests and attempts ended since the counts were last logged.
type trafficCounts struct {
	since        time.Time // when the counts began; zero before the first step
	responses    [Duplicate + 1]int
	clientClosed int // requests that ended because their clients closed
	attempts     [scheduler.NotSent + 1]int
}

func (c *trafficCounts) recordResponse(status Status) { c.responses[status]++ }

func (c *trafficCounts) recordAttempt(status scheduler.AttemptStatus) { c.attempts[status]++ }

// logIfDue logs the counts once trafficInterval has passed, and begins new ones.
func (c *trafficCounts) logIfDue(now time.Time, log *slog.Logger) {
	if c.since.IsZero() {
		c.since = now
	}
	span := now.Sub(c.since)
	if span < trafficInterval {
		return
	}
	if attrs := c.attributes(); len(attrs) > 0 {
		attrs = append(attrs, slog.Duration("span", span))
		log.LogAttrs(context.Background(), slog.LevelInfo, "traffic", attrs...)
	}
	*c = trafficCounts{since: now}
}

// attributes returns the counts that are not 0, with the names of their statuses.
func (c *trafficCounts) attributes() []slog.Attr {
	var attrs []slog.Attr
	for status, count := range c.responses {
		if count > 0 {
			attrs = append(attrs, slog.Int(Status(status).String(), count))
		}
	}
	if c.clientClosed > 0 {
		attrs = append(attrs, slog.Int(reasonClientClosed, c.clientClosed))
	}
	for status, count := range c.attempts {
		if count > 0 {
			attrs = append(attrs, slog.Int("attempts_"+scheduler.AttemptStatus(status).String(), count))
		}
	}
	return attrs
}
