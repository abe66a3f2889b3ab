package main

import (
	"fmt"

	"dapplegate/internal/config"
	"dapplegate/scheduler"
)

// decodeEvent converts an event to the scheduler's type. It returns nil for an event that the scheduler does not need.
func decodeEvent(event *wireEvent) (scheduler.Event, error) {
	switch *event.Type {
	case "members":
		return decodeEndpointList(event)
	case "newRequest":
		return decodeRequest(event)
	case "result":
		return decodeAttemptEnded(event)
	case "underWay":
		if err := require(field("rid", event.Rid)); err != nil {
			return nil, err
		}
		return scheduler.ResponseStarted{RequestID: *event.Rid}, nil
	case "clientGone":
		if err := require(field("rid", event.Rid)); err != nil {
			return nil, err
		}
		return scheduler.ClientClosed{RequestID: *event.Rid}, nil
	case "reminder":
		return scheduler.Timer{}, nil
	case "message", "healthResult":
		return nil, nil
	}
	return nil, fmt.Errorf("type: unknown event %q", *event.Type)
}

func decodeRequest(event *wireEvent) (scheduler.Event, error) {
	err := require(
		field("rid", event.Rid),
		field("tier", event.Tier),
		field("vol", event.Vol),
		field("grade", event.Grade),
		field("budgetUs", event.BudgetUs),
		field("weight", event.Weight),
		field("groupNo", event.GroupNo),
	)
	if err != nil {
		return nil, err
	}
	request := scheduler.Request{
		ID:      *event.Rid,
		Class:   *event.Grade,
		Plan:    *event.Tier,
		Volume:  *event.Vol,
		Shard:   *event.GroupNo,
		Units:   *event.Weight,
		Timeout: config.Microseconds(*event.BudgetUs),
	}
	if event.Chunk != nil {
		request.Extent = *event.Chunk
	}
	if event.Writers != nil {
		request.Initiators = int(*event.Writers)
	}
	return request, nil
}

func decodeAttemptEnded(event *wireEvent) (scheduler.Event, error) {
	err := require(
		field("rid", event.Rid),
		field("leg", event.Leg),
		field("target", event.Target),
		field("stateCode", event.StateCode),
		field("spentUs", event.SpentUs),
		field("complete", event.Complete),
	)
	if err != nil {
		return nil, err
	}
	status, err := decodeStatus(*event.StateCode)
	if err != nil {
		return nil, err
	}
	ended := scheduler.AttemptEnded{
		RequestID:    *event.Rid,
		Attempt:      *event.Leg,
		Target:       *event.Target,
		Status:       status,
		Latency:      config.Microseconds(*event.SpentUs),
		RequestEnded: *event.Complete,
		LoadReport:   decodeLoadReport(event.ServerStats),
	}
	if event.Used != nil {
		ended.VolumeUsage = *event.Used
	}
	return ended, nil
}

// notReported is the scheduler's value for a figure that is absent from a load report.
const notReported = -1

// decodeLoadReport converts a target's load report. It returns nil if there is none.
func decodeLoadReport(wire *wireLoadReport) *scheduler.LoadReport {
	if wire == nil {
		return nil
	}
	report := &scheduler.LoadReport{QueueDepth: notReported, InFlight: notReported}
	if wire.Depth != nil {
		report.QueueDepth = *wire.Depth
	}
	if wire.Concurrent != nil {
		report.InFlight = *wire.Concurrent
	}
	return report
}

func decodeStatus(stateCode string) (scheduler.AttemptStatus, error) {
	switch stateCode {
	case "delivered":
		return scheduler.Succeeded, nil
	case "app_error":
		return scheduler.Errored, nil
	case "shed":
		return scheduler.Rejected, nil
	case "expired":
		return scheduler.DeadlineExceeded, nil
	case "dial_failed":
		return scheduler.ConnectFailed, nil
	case "dropped":
		return scheduler.ConnectionReset, nil
	case "revoked":
		return scheduler.Cancelled, nil
	case "unused":
		return scheduler.NotSent, nil
	}
	return 0, fmt.Errorf("stateCode: unknown status %q", stateCode)
}

func decodeEndpointList(event *wireEvent) (scheduler.Event, error) {
	if err := require(field("mode", event.Mode)); err != nil {
		return nil, err
	}
	var list scheduler.EndpointList
	switch *event.Mode {
	case "broken":
		return scheduler.EndpointList{Failed: true}, nil
	case "whole", "stale_copy":
		list.Complete = true
	case "patch":
	default:
		return nil, fmt.Errorf("mode: unknown list kind %q", *event.Mode)
	}
	for i, record := range event.Records {
		target, err := decodeTarget(&record)
		if err != nil {
			return nil, fmt.Errorf("records[%d]: %w", i, err)
		}
		list.Targets = append(list.Targets, target)
	}
	return list, nil
}

func decodeTarget(record *wireRecord) (scheduler.Target, error) {
	err := require(
		field("target", record.Target),
		field("cohort", record.Cohort),
		field("mode", record.Mode),
	)
	if err != nil {
		return scheduler.Target{}, err
	}
	state, err := decodeTargetState(*record.Mode)
	if err != nil {
		return scheduler.Target{}, err
	}
	target := scheduler.Target{
		ID:    *record.Target,
		Zone:  record.FailureDomain,
		Shard: *record.Cohort,
		State: state,
	}
	if record.LaunchedUs != nil {
		target.StartedAt = config.Microseconds(*record.LaunchedUs)
	}
	return target, nil
}

func decodeTargetState(mode string) (scheduler.TargetState, error) {
	switch mode {
	case "up":
		return scheduler.Serving, nil
	case "draining":
		return scheduler.Draining, nil
	case "removed":
		return scheduler.Removed, nil
	}
	return 0, fmt.Errorf("mode: unknown state %q", mode)
}
