package dispatcher

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"dapplegate/scheduler"
)

// TestTrafficIsLogged checks that the counts of an interval are logged once, without those that are 0.
func TestTrafficIsLogged(t *testing.T) {
	var buffer bytes.Buffer
	log := slog.New(slog.NewTextHandler(&buffer, nil))
	var counts trafficCounts
	begun := time.Now()
	counts.logIfDue(begun, log)
	counts.recordResponse(Served)
	counts.recordResponse(Served)
	counts.recordAttempt(scheduler.NotSent)
	counts.clientClosed++
	counts.logIfDue(begun.Add(trafficInterval/2), log)
	counts.logIfDue(begun.Add(trafficInterval), log)
	counts.logIfDue(begun.Add(2*trafficInterval), log)
	const want = "msg=traffic SERVED=2 CLIENT_CLOSED=1 attempts_NOT_SENT=1 span=10s"
	if logged := buffer.String(); strings.Count(logged, "traffic") != 1 || !strings.Contains(logged, want) {
		t.Errorf("logged %q, want one line with %q", logged, want)
	}
}
