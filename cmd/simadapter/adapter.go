package main

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"dapplegate/internal/config"
	"dapplegate/scheduler"
)

// adapter runs the initiators of one process. They share nothing but the input and output.
type adapter struct {
	schedulers map[string]*scheduler.Scheduler // by initiator
}

func newAdapter() *adapter { return &adapter{schedulers: map[string]*scheduler.Scheduler{}} }

// inbox holds the events of a batch for one initiator, since its last start.
type inbox struct {
	initiatorID string
	events      []scheduler.Event
}

// inboxes holds the inbox of each initiator that a batch names, in order of first mention.
type inboxes struct {
	byInitiator map[string]*inbox
	inOrder     []*inbox
}

func (b *inboxes) of(initiatorID string) *inbox {
	in := b.byInitiator[initiatorID]
	if in == nil {
		in = &inbox{initiatorID: initiatorID}
		b.byInitiator[initiatorID] = in
		b.inOrder = append(b.inOrder, in)
	}
	return in
}

// eventError reports an event that cannot be served.
type eventError struct {
	index     int    // position in the batch, from 0
	eventType string // empty: not known
	err       error
}

func (e *eventError) Error() string {
	if e.eventType == "" {
		return fmt.Sprintf("event %d: %v", e.index, e.err)
	}
	return fmt.Sprintf("event %d (%s): %v", e.index, e.eventType, e.err)
}

func (e *eventError) Unwrap() error { return e.err }

// handle decodes one batch, steps the initiators that it names, and returns the encoded reply.
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

// receive decodes one event into the inbox of its initiator, and returns its type as far as it is known.
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
	return *event.Type, a.accept(received.of(*event.InitiatorID), &event)
}

// accept adds one event to its initiator's inbox. A start or a shutdown drops what came before.
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
		return fmt.Errorf("instance %q has no start", in.initiatorID)
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

// start replaces the initiator's scheduler.
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
	s, err := scheduler.New(settings, seed)
	if err != nil {
		return config.PrefixField("options", err)
	}
	a.schedulers[in.initiatorID] = s
	in.events = nil
	return nil
}

// parseSeed takes any integer of 64 bits, with or without sign.
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

// step lets one initiator decide at a time of the simulator's clock. A panic in the scheduler becomes an internalError in place of its
// actions, so that the other initiators of the process go on.
func (a *adapter) step(in *inbox, now time.Duration) (actions []wireAction) {
	s := a.schedulers[in.initiatorID]
	if s == nil {
		return nil
	}
	defer func() {
		if p := recover(); p != nil {
			failure := wireAction{Type: "internalError", InitiatorID: in.initiatorID, Message: fmt.Sprint(p)}
			actions = []wireAction{failure}
		}
	}()
	for _, action := range s.Step(now, in.events) {
		actions = append(actions, encodeAction(action, in.initiatorID))
	}
	return actions
}
