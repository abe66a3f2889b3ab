package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"dapplegate/internal/config"
	"dapplegate/scheduler"
)

// adapter runs the schedulers of the initiators in one process. The initiators share only the input and output.
type adapter struct {
	schedulers map[string]*scheduler.Scheduler // by initiator ID
}

func newAdapter() *adapter { return &adapter{schedulers: map[string]*scheduler.Scheduler{}} }

// inbox holds the events of a batch for one initiator, except those before its last start or shutdown.
type inbox struct {
	initiatorID string
	events      []scheduler.Event
}

// inboxes holds the inbox of each initiator that a batch names.
type inboxes struct {
	byInitiator map[string]*inbox
	inOrder     []*inbox // in the order of their first events
}

// forInitiator returns the inbox of an initiator, and creates it if there is none yet.
func (b *inboxes) forInitiator(initiatorID string) *inbox {
	in := b.byInitiator[initiatorID]
	if in == nil {
		in = &inbox{initiatorID: initiatorID}
		b.byInitiator[initiatorID] = in
		b.inOrder = append(b.inOrder, in)
	}
	return in
}

// eventError is the error of an event that cannot be processed.
type eventError struct {
	index     int    // position in the batch, from 0
	eventType string // empty if not known
	err       error
}

func (e *eventError) Error() string {
	if e.eventType == "" {
		return fmt.Sprintf("event %d: %v", e.index, e.err)
	}
	return fmt.Sprintf("event %d (%s): %v", e.index, e.eventType, e.err)
}

func (e *eventError) Unwrap() error { return e.err }

// handle decodes a batch, runs one step of each initiator that it names, and returns the encoded reply.
func (a *adapter) handle(line []byte) ([]byte, error) {
	var batch wireBatch
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("decoding batch: %w", err)
	}
	err := require(
		field("wallUs", batch.WallUs),
		field("frame", batch.Frame),
		requiredField{name: "inbox", present: batch.Inbox != nil},
	)
	if err != nil {
		return nil, err
	}
	received := inboxes{byInitiator: map[string]*inbox{}}
	for i, raw := range batch.Inbox {
		if eventType, err := a.receive(&received, raw); err != nil {
			return nil, &eventError{index: i, eventType: eventType, err: err}
		}
	}
	reply := wireReply{Frame: *batch.Frame, Outbox: []wireAction{}}
	for _, in := range received.inOrder {
		reply.Outbox = append(reply.Outbox, a.step(in, config.Microseconds(*batch.WallUs))...)
	}
	return json.Marshal(reply)
}

// receive decodes an event and passes it to accept. It also returns the event's type, to be named in the error; the type is
// empty if it could not be decoded.
func (a *adapter) receive(received *inboxes, raw json.RawMessage) (eventType string, err error) {
	var event wireEvent
	if err := json.Unmarshal(raw, &event); err != nil {
		return "", err
	}
	if err := require(field("type", event.Type)); err != nil {
		return "", err
	}
	if err := require(field("initiatorId", event.InitiatorID)); err != nil {
		return *event.Type, err
	}
	return *event.Type, a.accept(received.forInitiator(*event.InitiatorID), &event)
}

// accept starts or shuts down the initiator, or adds any other event to its inbox. A start or a shutdown drops the earlier
// events in the inbox.
func (a *adapter) accept(in *inbox, event *wireEvent) error {
	switch *event.Type {
	case "start":
		return a.start(in, event)
	case "shutdown":
		delete(a.schedulers, in.initiatorID)
		in.events = nil
		return nil
	}
	if a.schedulers[in.initiatorID] == nil {
		return fmt.Errorf("initiator %q has not been started", in.initiatorID)
	}
	decoded, err := decodeEvent(event)
	if err != nil {
		return err
	}
	if decoded != nil {
		in.events = append(in.events, decoded)
	}
	return nil
}

// start gives the initiator a new scheduler, which replaces an earlier one.
func (a *adapter) start(in *inbox, event *wireEvent) error {
	if err := require(field("initSeed", event.InitSeed), field("options", event.Options)); err != nil {
		return err
	}
	seed, err := parseSeed(*event.InitSeed)
	if err != nil {
		return err
	}
	settings, err := event.Options.SchedulerSettings()
	if err != nil {
		return config.PrefixField("options", err)
	}
	sched, err := scheduler.New(settings, seed)
	if err != nil {
		return config.PrefixField("options", err)
	}
	a.schedulers[in.initiatorID] = sched
	in.events = nil
	return nil
}

// parseSeed parses a signed or unsigned 64-bit integer. A negative one is converted to its two's complement.
func parseSeed(n json.Number) (uint64, error) {
	if seed, err := strconv.ParseUint(n.String(), 10, 64); err == nil {
		return seed, nil
	}
	seed, err := n.Int64()
	if err != nil {
		return 0, fmt.Errorf("initSeed: %q is not an integer", n)
	}
	return uint64(seed), nil
}

// step runs one step of the initiator's scheduler. The time is that of the simulator's clock. If the scheduler panics, an
// internalError replaces the initiator's actions, so that the other initiators in the process keep running.
func (a *adapter) step(in *inbox, now time.Duration) (actions []wireAction) {
	sched := a.schedulers[in.initiatorID]
	if sched == nil {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			failure := wireAction{Type: "internalError", InitiatorID: in.initiatorID, Message: fmt.Sprint(p)}
			actions = []wireAction{failure}
		}
	}()
	for _, action := range sched.Step(now, in.events) {
		actions = append(actions, encodeAction(action, in.initiatorID))
	}
	return actions
}
