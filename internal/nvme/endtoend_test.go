package nvme

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"dapplegate/scheduler"
)

// TestEndToEnd writes data through the initiator to a target and reads it back, with and without digests. The data of the
// small write is in the capsule. The data of the large write is requested with R2Ts, by the initiator from the client and by
// the target from the initiator.
func TestEndToEnd(t *testing.T) {
	for _, digests := range []bool{false, true} {
		_, target := startServer(t, newFakeStorage(), targetSubsystem)
		in := startInitiator(t, digests, 5*time.Second, target)
		h := connectHost(t, in.addr, digests)
		id := h.write(7, "small")
		if result, _ := h.nextCompletion(); result.commandID != id || result.status != statusSuccess {
			t.Fatalf("write: %+v", result)
		}
		h.read(7)
		if result, data := h.nextCompletion(); result.status != statusSuccess || string(bytes.TrimRight(data, "\x00")) != "small" {
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

// TestQueueDepth checks that each of several commands in flight on one queue is executed once and completed exactly once.
func TestQueueDepth(t *testing.T) {
	const commands = 6
	storage := newFakeStorage()
	storage.stalled = make(chan struct{})
	_, target := startServer(t, storage, targetSubsystem)
	in := startInitiator(t, false, 5*time.Second, target)
	h := connectHost(t, in.addr, false)
	pending := map[uint16]bool{}
	for i := range commands {
		pending[h.write(uint64(i), fmt.Sprint("text ", i))] = true
	}
	<-storage.received
	close(storage.stalled)
	for range commands {
		result, _ := h.nextCompletion()
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

// TestTargetStallsAndDrains has a target stall with a write in flight, and then lists the target as draining. The write ends
// before the deadline of its class, because the scheduler sets a shorter timeout for the attempt, a multiple of the latency
// objective of 300 ms. Since the write may have been executed by then, it must be completed once, with DNR so that the host
// does not retry it, and must not be sent to another target. Later commands must go to the target's successor only, also
// after the stalled target has resumed.
func TestTargetStallsAndDrains(t *testing.T) {
	stalled, successor := newFakeStorage(), newFakeStorage()
	stalled.stalled = make(chan struct{})
	_, stalledAddr := startServer(t, stalled, targetSubsystem)
	_, successorAddr := startServer(t, successor, targetSubsystem)
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
		result, _ := h.nextCompletion()
		if _, completed := statuses[result.commandID]; completed {
			t.Fatalf("command %d completed twice", result.commandID)
		}
		statuses[result.commandID] = result.status
	}
	if s := statuses[first]; s.code() == statusSuccess || s&statusDoNotRetry == 0 {
		t.Errorf("status of the write that may have been executed: %#x, want a failure with DNR", uint16(s))
	}
	if statuses[second] != statusSuccess || statuses[third] != statusSuccess {
		t.Errorf("status of the later commands: %#x and %#x, want success", uint16(statuses[second]), uint16(statuses[third]))
	}

	close(stalled.stalled) // the target executes the commands that it has received
	h.write(4, "last")
	h.expectServed("after the target has resumed")
	if len(stalled.received) != 0 {
		t.Errorf("the draining target received another command")
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
