package upstream

import (
	"strconv"
	"strings"

	"dapplegate/scheduler"
)

// maxReportedRequests exceeds the requests that a target ever has queued or in flight: a figure of this much or more is ignored.
const maxReportedRequests = 1e5

// notReported is the scheduler's value of a figure that a load report lacks.
const notReported = -1

// parseLoadReport reads a load report such as "inflight=7,queue=2", in requests. Unknown and unusable
// fields are skipped; nil if there is no other.
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
