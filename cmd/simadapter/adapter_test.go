package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"

	"dapplegate/internal/config"
	"dapplegate/scheduler"
)

const testOptions = `{"peersTotal":1,"tickUs":1000,"surprise":7,"classes":[{"name":"get","promiseUs":400000,` +
	`"deadlineUs":2000000,"effect":"pure","worth":1}],"contracts":[{"name":"std","usualRate":10,"pays":1}],` +
	`"extra":{"meanUnits":1,"largest":1},"registryMode":"pushed"}`

const startEvent = `{"type":"start","initiatorId":"i_0","initSeed":18446744073709551615,"options":` + testOptions + `}`

const listEvent = `{"type":"members","initiatorId":"i_0","mode":"whole","gen":1,"records":[{"target":"n","cohort":0,"mode":"up"}]}`

// batch returns a line of input. Its time is 1 s plus one millisecond for each frame.
func batch(frame int, events ...string) string {
	return batchAt(1000000+frame*1000, frame, events...)
}

// batchAt returns a line of input with the given time.
func batchAt(wallUs, frame int, events ...string) string {
	return fmt.Sprintf(`{"wallUs":%d,"frame":%d,"inbox":[%s]}`+"\n", wallUs, frame, strings.Join(events, ","))
}

// requestEvent returns a request event without the named field. If the name is empty, no field is left out.
func requestEvent(without string) string {
	fields := []string{
		`"rid":"r1"`,
		`"tier":"std"`,
		`"vol":"v"`,
		`"grade":"get"`,
		`"budgetUs":900000`,
		`"weight":1`,
		`"groupNo":0`,
		`"chunk":"k"`,
		`"writers":1`,
	}
	event := `{"type":"newRequest","initiatorId":"i_0"`
	for _, field := range fields {
		if !strings.HasPrefix(field, `"`+without+`"`) {
			event += "," + field
		}
	}
	return event + "}"
}

// TestRequestIsSent runs a start, an endpoint list and a request, and checks the attempt in the reply.
func TestRequestIsSent(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(batch(1, startEvent, listEvent)+batch(2, requestEvent(""))), &out); err != nil {
		t.Fatal(err)
	}
	want := `"type":"relay","initiatorId":"i_0","rid":"r1","target":"n","maxWaitUs":900000`
	if got := out.String(); !strings.Contains(got, want) || !strings.HasPrefix(got, `{"frame":1,"outbox":[`) {
		t.Fatalf("replies %s, want one with %s", got, want)
	}
}

// TestRetryAfterIsSent has a client retry after a rejection, when the latency objective has passed. The second rejection
// must advise the client to wait until the deadline.
func TestRetryAfterIsSent(t *testing.T) {
	first := strings.Replace(requestEvent(""), `"groupNo":0`, `"groupNo":5`, 1) // a shard without targets
	retry := strings.NewReplacer(`"r1"`, `"r2"`, "900000", "300000").Replace(first)
	var out bytes.Buffer
	in := batchAt(1000000, 1, startEvent, listEvent) + batchAt(1001000, 2, first) +
		batchAt(1500000, 3, `{"type":"reminder","initiatorId":"i_0","keyBack":"step"}`) + batchAt(1600000, 4, retry)
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"type":"decline","initiatorId":"i_0","rid":"r1"`,
		`"type":"decline","initiatorId":"i_0","rid":"r2","holdOffUs":300000`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("replies %s, want one with %s", out.String(), want)
		}
	}
}

// TestMalformedInput checks the error for each kind of input that cannot be processed.
func TestMalformedInput(t *testing.T) {
	result := func(code string) string {
		return `{"type":"result","initiatorId":"i_0","rid":"r1","leg":0,"target":"n","stateCode":"` + code +
			`","spentUs":5,"complete":true}`
	}
	for _, c := range []struct{ name, in, want string }{
		{"not JSON", "nonsense\n", "decoding batch"},
		{"no time", `{"frame":1,"inbox":[]}`, "wallUs: required field is missing"},
		{"no frame", `{"wallUs":1,"inbox":[]}`, "frame: required field is missing"},
		{"no inbox", `{"wallUs":1,"frame":1}`, "inbox: required field is missing"},
		{"no type", batch(1, `{"initiatorId":"i_0"}`), "type: required field is missing"},
		{"no initiator ID", batch(1, `{"type":"reminder"}`), "initiatorId: required field is missing"},
		{"unknown event", batch(1, startEvent, `{"type":"gossip","initiatorId":"i_0"}`), `unknown event "gossip"`},
		{"no start", batch(1, listEvent), `initiator "i_0" has not been started`},
		{"no seed", batch(1, strings.Replace(startEvent, "initSeed", "seed", 1)), "initSeed: required field is missing"},
		{"invalid seed", batch(1, strings.Replace(startEvent, "18446744073709551615", "1.5", 1)), "initSeed"},
		{"no options", batch(1, strings.Replace(startEvent, "options", "opts", 1)), "options: required field is missing"},
		{"no number of initiators", batch(1, strings.Replace(startEvent, "peersTotal", "peers", 1)),
			"options.peersTotal: required field is missing"},
		{"invalid options", batch(1, strings.Replace(startEvent, `"promiseUs":400000`, `"promiseUs":0`, 1)), "needs a latency objective"},
		{"unknown effect", batch(1, strings.Replace(startEvent, "pure", "odd", 1)), `options.classes[0].effect: unknown effect "odd"`},
		{"unknown group", batch(1, strings.Replace(startEvent, `"pure"`, `"token","group":"odd"`, 1)), `unknown group "odd"`},
		{"unknown status", batch(1, startEvent, result("odd")), `unknown status "odd"`},
		{"wrong type", batch(1, startEvent, strings.Replace(requestEvent(""), "900000", `"soon"`, 1)), "budgetUs"},
		{"no list kind", batch(1, startEvent, strings.Replace(listEvent, `"mode":"whole",`, "", 1)), "mode: required field"},
		{"unknown list kind", batch(1, startEvent, strings.Replace(listEvent, "whole", "odd", 1)), `unknown list kind "odd"`},
		{"entry without shard", batch(1, startEvent, strings.Replace(listEvent, `"cohort":0,`, "", 1)), "records[0]: cohort"},
		{"unknown state", batch(1, startEvent, strings.Replace(listEvent, `"up"`, `"odd"`, 1)), `unknown state "odd"`},
		{"response start without request ID", batch(1, startEvent, `{"type":"underWay","initiatorId":"i_0"}`), "rid: required field"},
		{"client close without request ID", batch(1, startEvent, `{"type":"clientGone","initiatorId":"i_0"}`), "rid: required field"},
	} {
		err := run(strings.NewReader(c.in), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q in it", c.name, err, c.want)
		}
	}
	for _, name := range []string{"rid", "tier", "vol", "grade", "budgetUs", "weight", "groupNo"} {
		err := run(strings.NewReader(batch(1, startEvent, requestEvent(name))), &bytes.Buffer{})
		if err == nil || !strings.Contains(err.Error(), name+": required field is missing") {
			t.Errorf("request without %s: error %v, want one that names the missing field", name, err)
		}
	}
}

// TestEventErrorNamesEvent checks that the error for an event names the event's position and type and wraps the cause.
func TestEventErrorNamesEvent(t *testing.T) {
	err := run(strings.NewReader(batch(1, startEvent, requestEvent("rid"))), &bytes.Buffer{})
	var eventErr *eventError
	if !errors.As(err, &eventErr) || eventErr.index != 1 || eventErr.eventType != "newRequest" {
		t.Errorf("error %v, want an eventError of the second event", err)
	}
	if !errors.Is(err, config.ErrMissing) {
		t.Errorf("error %v does not wrap config.ErrMissing", err)
	}
	if want := "batch 1: event 1 (newRequest): rid: required field is missing"; err.Error() != want {
		t.Errorf("error %q, want %q", err, want)
	}
}

// TestClosedInput checks that an empty input is not an error.
func TestClosedInput(t *testing.T) {
	if err := run(strings.NewReader(""), &bytes.Buffer{}); err != nil {
		t.Fatalf("closed input: %v", err)
	}
}

// FuzzDecode checks that no input makes the adapter or the scheduler panic.
func FuzzDecode(f *testing.F) {
	f.Add(batch(2, requestEvent("")))
	f.Add(batch(2, listEvent, `{"type":"result","initiatorId":"i_0","rid":"r1","leg":0,"target":"n","stateCode":"shed","spentUs":1,"complete":false}`))
	f.Add("{}")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		_ = run(strings.NewReader(batch(1, startEvent, listEvent)+in), &out)
		if strings.Contains(out.String(), `"internalError"`) {
			t.Fatalf("the scheduler panicked: %s", out.String())
		}
	})
}

// TestLoadReport decodes load reports. Absent figures must be marked as not reported, and unknown ones ignored.
func TestLoadReport(t *testing.T) {
	for _, c := range []struct {
		in   string
		want *scheduler.LoadReport
	}{
		{`null`, nil},
		{`{}`, &scheduler.LoadReport{QueueDepth: -1, InFlight: -1}},
		{`{"depth":3,"odd":9}`, &scheduler.LoadReport{QueueDepth: 3, InFlight: -1}},
		{`{"concurrent":0.5,"load_share":1}`, &scheduler.LoadReport{QueueDepth: -1, InFlight: 0.5}},
	} {
		var event wireEvent
		in := `{"type":"result","rid":"r","leg":0,"target":"n","stateCode":"delivered","spentUs":5,"complete":true,"serverStats":` +
			c.in + `}`
		if err := json.Unmarshal([]byte(in), &event); err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeEvent(&event)
		if err != nil {
			t.Fatal(err)
		}
		if got := decoded.(scheduler.AttemptEnded).LoadReport; (got == nil) != (c.want == nil) || got != nil && *got != *c.want {
			t.Errorf("%s: %+v, want %+v", c.in, got, c.want)
		}
	}
}
