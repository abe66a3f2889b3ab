package upstream

import (
	"strconv"
	"strings"

	"dapplegate/scheduler"
)

// maxReportedRequests is more than a target ever has queued or in flight. A reported value of this much or more is ignored.
const maxReportedRequests = 1e5

// notReported is what the scheduler expects for a value that a load report does not contain.
const notReported = -1

// parseLoadReport parses a load report such as "inflight=7,queue=2", in requests. It skips unknown and invalid fields, and
// returns nil if there are no others.
func parseLoadReport(header string) *scheduler.LoadReport {
	report := &scheduler.LoadReport{QueueDepth: notReported, InFlight: notReported}
	for field := range strings.SplitSeq(header, ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(field), "=")
		value, err := strconv.ParseFloat(text, 64)
		usable := err == nil && value >= 0 && value < maxReportedRequests // false for NaN
		if !usable {
			continue
		}
		switch name {
		case "queue":
			report.QueueDepth = value
		case "inflight":
			report.InFlight = value
		}
	}
	if report.QueueDepth == notReported && report.InFlight == notReported {
		return nil
	}
	return report
}
