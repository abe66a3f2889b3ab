package nvme

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"dapplegate/scheduler"
)

// TestEndToEnd reads back what was written, through initiator and target: a small write, whose data is in the capsule, and a
// large one, whose data the initiator asks the client for, and the target the initiator, by R2T; with digests and without.
func TestEndToEnd(t *testing.T) {
	for _, digests := range []bool{false, true} {
		_, target := startServer(t, newStorage(), targetNQN)
		in := startInitiator(t, digests, 5*time.Second, target)
		h := connectHost(t, in.addr, digests)
		id := h.write(7, "small")
		if result, _ := h.next(); result.commandID != id || result.status != statusSuccess {
			t.Fatalf("write: %+v", result)
		}
		h.read(7)
		if result, data := h.next(); result.status != statusSuccess || string(bytes.TrimRight(data, "\x00")) != "small" {
			t.Fatalf("read: %+v, %q", result, data)
		}

		const blocks = 200
		large := bytes.Repeat([]byte("0123456789abcdef"), blocks*blockSize/16)
		write := &IORequest{Write: true, NamespaceID: 1, StartLBA: 100, Blocks: blocks, DataLen: len(large), Data: large}
		result := h.roundTrip(write)
		if result.Status != scheduler.Succeeded {
			t.Fatalf("large write: %+v", result)
		}
		result = h.roundTrip(&IORequest{NamespaceID: 1, StartLBA: 100, Blocks: blocks, DataLen: len(large)})
		if data, _ := result.Payload.([]byte); result.Status != scheduler.Succeeded || !bytes.Equal(data, large) {
			t.Fatalf("large read: %v, %d bytes, %s", result.Status, len(data), result.CloseReason)
		}
	}
}

// TestQueueDepth has several commands in flight on one queue: each gets exactly one completion, and is executed once.
func TestQueueDepth(t *testing.T) {
	const commands = 6
	storage := newStorage()
	storage.stalled = make(chan struct{})
	_, target := startServer(t, storage, targetNQN)
	in := startInitiator(t, false, 5*time.Second, target)
	h := connectHost(t, in.addr, false)
	pending := map[uint16]bool{}
	for i := range commands {
		pending[h.write(uint64(i), fmt.Sprint("text ", i))] = true
	}
	<-storage.received
	close(storage.stalled)
	for range commands {
		result, _ := h.next()
		if !pending[result.commandID] || result.status != statusSuccess {
			t.Fatalf("completion %+v, pending %v", result, pending)
		}
		delete(pending, result.commandID)
	}
	for i := range commands {
		if n := storage.writeCount(fmt.Sprint("text ", i)); n != 1 {
			t.Errorf("write %d was executed %d times", i, n)
		}
	}
}

// TestTargetStallsAndDrains lets a target stall with a write in flight, and then lists it as draining. The timeout that the
// scheduler gives the attempt, a multiple of the latency objective of 300 ms, ends the write before its class deadline. The
// write may have been executed by then: it has one completion, with DNR, so that the host does not send it again, and it is
// not sent to another target. Later commands go to the target's successor and to nowhere else, also after the stalled target
// has resumed.
func TestTargetStallsAndDrains(t *testing.T) {
	stalled, successor := newStorage(), newStorage()
	stalled.stalled = make(chan struct{})
	_, stalledAddr := startServer(t, stalled, targetNQN)
	_, successorAddr := startServer(t, successor, targetNQN)
	in := startInitiator(t, false, 300*time.Millisecond, stalledAddr)
	h := connectHost(t, in.addr, false)
	first := h.write(1, "event")
	<-stalled.received
	in.setTarget("t0", stalledAddr, scheduler.Draining)
	in.setTarget("t1", successorAddr, scheduler.Serving)
	second := h.write(2, "later")
	third := h.read(3)

	statuses := map[uint16]status{}
	for range 3 {
		result, _ := h.next()
		if _, twice := statuses[result.commandID]; twice {
			t.Fatalf("command %d completed twice", result.commandID)
		}
		statuses[result.commandID] = result.status
	}
	if s := statuses[first]; s.code() == statusSuccess || s&statusDoNotRetry == 0 {
		t.Errorf("the write that may have executed ended with %#x, want a failure with DNR", uint16(s))
	}
	if statuses[second] != statusSuccess || statuses[third] != statusSuccess {
		t.Errorf("later commands ended with %#x and %#x", uint16(statuses[second]), uint16(statuses[third]))
	}

	close(stalled.stalled) // it executes the commands that it has received
	h.write(4, "last")
	h.expectServed("after the target has resumed")
	if len(stalled.received) != 0 {
		t.Errorf("the draining target was sent another command")
	}
	for text, want := range map[string]int{"event": 0, "later": 1, "last": 1} {
		if n := successor.writeCount(text); n != want {
			t.Errorf("%q was executed %d times at the successor, want %d", text, n, want)
		}
	}
	if n := stalled.writeCount("event"); n > 1 {
		t.Errorf("the write was executed %d times", n)
	}
}
