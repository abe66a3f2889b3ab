package main

import (
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	"dapplegate/internal/config"
	"dapplegate/scheduler"
)

// TestEventSamples decodes a sample of each event type, with all fields that the simulator's protocol description, the WIRE
// page, lists.
func TestEventSamples(t *testing.T) {
	for _, c := range []struct {
		in   string
		want scheduler.Event
	}{
		{`{"type":"members","initiatorId":"initiator_3","mode":"stale_copy","gen":41,"records":[` +
			`{"target":"target_abuevth","failureDomain":"treforest","classOfHost":"node-std","cohort":0,"mode":"up","nominal":1,"launchedUs":null},` +
			`{"target":"target_azkaesv","failureDomain":"treforest","classOfHost":"node-std","cohort":4,"mode":"up","nominal":1.5,"launchedUs":6100000}]}`,
			scheduler.EndpointList{Complete: true, Targets: []scheduler.Target{
				{ID: "target_abuevth", Zone: "treforest", Shard: 0, State: scheduler.Serving},
				{ID: "target_azkaesv", Zone: "treforest", Shard: 4, State: scheduler.Serving, StartedAt: 6100 * time.Millisecond}}}},
		{`{"type":"members","initiatorId":"initiator_3","mode":"whole","gen":42,"records":[]}`, scheduler.EndpointList{Complete: true}},
		{`{"type":"members","initiatorId":"initiator_3","mode":"patch","gen":43,"records":[` +
			`{"target":"a","failureDomain":"z","classOfHost":"k","cohort":1,"mode":"draining","nominal":1,"launchedUs":0},` +
			`{"target":"b","failureDomain":"z","classOfHost":"k","cohort":2,"mode":"removed","nominal":1}]}`,
			scheduler.EndpointList{Targets: []scheduler.Target{
				{ID: "a", Zone: "z", Shard: 1, State: scheduler.Draining}, {ID: "b", Zone: "z", Shard: 2, State: scheduler.Removed}}}},
		{`{"type":"members","initiatorId":"initiator_3","mode":"broken","gen":0,"records":null}`, scheduler.EndpointList{Failed: true}},
		{`{"type":"newRequest","initiatorId":"initiator_3","rid":"5d3a91c4-2a23-4366-a739-1c9f14177928","tier":"standard","update":false,` +
			`"isRetry":false,"writers":3,"chunk":"91f03b7c55d20a64","vol":"2b8e6401d9f37c10","budgetUs":240000,"weight":2,"grade":"file-read","groupNo":7}`,
			scheduler.Request{ID: "5d3a91c4-2a23-4366-a739-1c9f14177928", Class: "file-read", Plan: "standard", Volume: "2b8e6401d9f37c10",
				Extent: "91f03b7c55d20a64", Shard: 7, Units: 2, Initiators: 3, Timeout: 240 * time.Millisecond}},
		{`{"type":"underWay","initiatorId":"initiator_3","rid":"r","leg":0,"target":"t","spentUs":7}`, scheduler.ResponseStarted{RequestID: "r"}},
		{`{"type":"result","initiatorId":"initiator_3","rid":"r","leg":2,"target":"target_abuevth","stateCode":"delivered","spentUs":18500,` +
			`"complete":true,"used":86,"delta":3,"serverStats":{"load_share":0.62,"mean_ms":14.5,"depth":3,"concurrent":5}}`,
			scheduler.AttemptEnded{RequestID: "r", Attempt: 2, Target: "target_abuevth", Status: scheduler.Succeeded, Latency: 18500 * time.Microsecond,
				RequestEnded: true, VolumeUsage: 86, LoadReport: &scheduler.LoadReport{QueueDepth: 3, InFlight: 5}}},
		{`{"type":"clientGone","initiatorId":"initiator_5","rid":"0e6f2b19"}`, scheduler.ClientClosed{RequestID: "0e6f2b19"}},
		{`{"type":"reminder","initiatorId":"initiator_3","keyBack":"sweep"}`, scheduler.Timer{}},
		{`{"type":"message","initiatorId":"initiator_3","author":2,"raw":"6869"}`, nil},
		{`{"type":"healthResult","initiatorId":"initiator_3","target":"t","stateCode":"delivered","spentUs":9}`, nil},
	} {
		var event wireEvent
		if err := json.Unmarshal([]byte(c.in), &event); err != nil {
			t.Errorf("%s: %v", c.in, err)
			continue
		}
		if got, err := decodeEvent(&event); err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, %v, want %+v", c.in, got, err, c.want)
		}
	}
}

// TestStatusSamples decodes each status of an attempt that the WIRE page lists and checks which of them rule out that the
// request was executed.
func TestStatusSamples(t *testing.T) {
	for stateCode, want := range map[string]struct {
		status          scheduler.AttemptStatus
		mayHaveExecuted bool
	}{
		"delivered":   {scheduler.Succeeded, true},
		"app_error":   {scheduler.Errored, true},
		"shed":        {scheduler.Rejected, false},
		"expired":     {scheduler.DeadlineExceeded, true},
		"dial_failed": {scheduler.ConnectFailed, false},
		"dropped":     {scheduler.ConnectionReset, true},
		"revoked":     {scheduler.Cancelled, true},
		"unused":      {scheduler.NotSent, false},
	} {
		status, err := decodeStatus(stateCode)
		if err != nil || status != want.status || status.MayHaveExecuted() != want.mayHaveExecuted {
			t.Errorf("%s: %v, %v, may have executed %v", stateCode, status, err, status.MayHaveExecuted())
		}
	}
}

// TestActionSamples encodes each action and compares it with the message on the WIRE page.
func TestActionSamples(t *testing.T) {
	for _, c := range []struct {
		action scheduler.Action
		want   string
	}{
		{scheduler.Action{Kind: scheduler.Send, RequestID: "r", Target: "target_abuevth", Timeout: 80 * time.Millisecond},
			`{"type":"relay","initiatorId":"initiator_3","rid":"r","target":"target_abuevth","maxWaitUs":80000}`},
		{scheduler.Action{Kind: scheduler.Reject, RequestID: "r", RetryAfter: 250 * time.Millisecond},
			`{"type":"decline","initiatorId":"initiator_3","rid":"r","holdOffUs":250000}`},
		{scheduler.Action{Kind: scheduler.Reject, RequestID: "r"}, `{"type":"decline","initiatorId":"initiator_3","rid":"r"}`},
		{scheduler.Action{Kind: scheduler.Fail, RequestID: "r"}, `{"type":"lose","initiatorId":"initiator_3","rid":"r"}`},
		{scheduler.Action{Kind: scheduler.SetTimer, Delay: 500 * time.Millisecond},
			`{"type":"remind","initiatorId":"initiator_3","keyBack":"step","fromNowUs":500000}`},
		{scheduler.Action{Kind: scheduler.WatchEndpoints}, `{"type":"streamChanges","initiatorId":"initiator_3","on":true}`},
	} {
		if got, err := json.Marshal(encodeAction(c.action, "initiator_3")); err != nil || string(got) != c.want {
			t.Errorf("%s, %v, want %s", got, err, c.want)
		}
	}
	reply, err := newAdapter().handle([]byte(`{"wallUs":8412250,"frame":1,"inbox":[]}`))
	if want := `{"frame":1,"outbox":[]}`; err != nil || string(reply) != want {
		t.Errorf("empty batch: %s, %v, want %s", reply, err, want)
	}
}

// TestSettingsSample reads the example settings of the WIRE page, extended by the optional keys that the example lacks.
func TestSettingsSample(t *testing.T) {
	raw, err := os.ReadFile("testdata/settings.json")
	if err != nil {
		t.Fatal(err)
	}
	var wire config.WireSettings
	if err := json.Unmarshal(raw, &wire); err != nil {
		t.Fatal(err)
	}
	got, err := wire.SchedulerSettings()
	want := scheduler.Settings{
		Initiators: 3, Tick: 2 * time.Millisecond, MaxAttempts: 3, MeanUnits: 1.98, MaxUnits: 6,
		WithinShareFactor: 0.35, BeyondShareFactor: 0.1, UsageReportPeriod: time.Second, WatchEndpoints: true,
		Classes: []scheduler.Class{
			{Name: "file-read", LatencyObjective: 200 * time.Millisecond, Deadline: 1200 * time.Millisecond, DedupWindow: 5 * time.Second, PriorityWeight: 2},
			{Name: "file-write", LatencyObjective: 300 * time.Millisecond, Deadline: 2 * time.Second, Idempotency: scheduler.IdempotencyKey,
				DedupScope: scheduler.DedupShard, DedupWindow: 5 * time.Second, PriorityWeight: 2, Serialized: true},
			{Name: "bulk-export", LatencyObjective: 1500 * time.Millisecond, Deadline: 5 * time.Second, Idempotency: scheduler.NonIdempotent,
				DedupScope: scheduler.DedupZone, DedupWindow: 5 * time.Second, PriorityWeight: 1},
		},
		Plans: []scheduler.Plan{
			{Name: "standard", ProvisionedRate: 4.1, Reservation: 2, PriorityFactor: 0.8, Limit: 8, BurstCapacity: 12},
			{Name: "express", ProvisionedRate: 12, Reservation: 14, PriorityFactor: 1.5},
		},
		SlowStart: scheduler.SlowStart{Budget: 38, InitialCapacity: 0.21, Duration: 18 * time.Second, Window: 3 * time.Second,
			OverloadFactor: 4},
		RetryBudget: scheduler.RetryBudget{Enabled: true, Minimum: 5, Ratio: 0.2, Window: 10 * time.Second},
		SettleTime:  400 * time.Millisecond,
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v\nwant %+v", got, err, want)
	}
}
