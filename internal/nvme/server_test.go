package nvme

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplegate/internal/dispatcher"
	"dapplegate/scheduler"
)

// TestCompletionStatus checks the status for each kind of response. DNR must be set if the command failed and may have been
// executed, so that the host does not retry it. Only hosts that have enabled Advanced Command Retry get a retry delay.
func TestCompletionStatus(t *testing.T) {
	rejected := func(retryAfter time.Duration) dispatcher.Response {
		return dispatcher.Response{Status: dispatcher.Rejected, RetryAfter: retryAfter}
	}
	failed := func(last scheduler.AttemptStatus) dispatcher.Response {
		return dispatcher.Response{Status: dispatcher.Failed, LastAttemptStatus: last}
	}
	for _, c := range []struct {
		name          string
		response      dispatcher.Response
		advancedRetry bool
		want          status
	}{
		{"served", dispatcher.Response{}, true, statusSuccess},
		{"rejected", rejected(200 * time.Millisecond), false, statusNamespaceNotReady},
		{"rejected with a delay", rejected(200 * time.Millisecond), true, statusNamespaceNotReady.withRetryDelay(2)},
		{"rejected for longer than the longest delay", rejected(time.Minute), true, statusNamespaceNotReady.withRetryDelay(3)},
		{"deadline exceeded", failed(scheduler.DeadlineExceeded), true, statusTransientTransport | statusDoNotRetry},
		{"error", failed(scheduler.Errored), true, statusInternalError | statusDoNotRetry},
	} {
		if got := completionStatus(c.response, c.advancedRetry); got != c.want {
			t.Errorf("%s: %#x, want %#x", c.name, uint16(got), uint16(c.want))
		}
	}
}

// TestRetryDelay checks that a rejected command has a retry delay only after the host has enabled Advanced Command Retry.
func TestRetryDelay(t *testing.T) {
	storage := newFakeStorage()
	storage.response = dispatcher.Response{Status: dispatcher.Rejected, RetryAfter: 100 * time.Millisecond}
	_, addr := startServer(t, storage, initiatorSubsystem)
	h := connectHost(t, addr, false)
	h.read(0)
	if result, _ := h.nextCompletion(); result.status != statusNamespaceNotReady {
		t.Errorf("status before enabling ACRE: %#x", uint16(result.status))
	}
	set := newCommand(opSetFeatures, h.admin.nextCommandID(), hostBehaviorLen, true)
	set.putU32(sqeFeatureID, featureHostBehavior)
	enable := make([]byte, hostBehaviorLen)
	enable[0] = 1
	if _, _, err := h.admin.execute(set, enable); err != nil {
		t.Fatal(err)
	}
	h.read(0)
	if result, _ := h.nextCompletion(); result.status != statusNamespaceNotReady.withRetryDelay(1) ||
		result.status&statusDoNotRetry != 0 {
		t.Errorf("status after enabling ACRE: %#x", uint16(result.status))
	}
}

// TestUnsupportedCommands checks that invalid commands, and commands outside the subset, are completed with the right error
// status and leave the connection open.
func TestUnsupportedCommands(t *testing.T) {
	_, addr := startServer(t, newFakeStorage(), initiatorSubsystem)
	h := connectHost(t, addr, false)
	for _, c := range []struct {
		name   string
		modify func(*command)
		want   status
	}{
		{"flush", func(c *command) { c[0] = 0 }, statusInvalidCommandOpcode},
		{"unknown namespace", func(c *command) { c.putU32(sqeNamespaceID, 9) }, statusInvalidNamespace},
		{"block past the end", func(c *command) { c.putU64(sqeStartLBA, 1<<20) }, statusLBAOutOfRange},
		{"fused command", func(c *command) { c[sqeFlags] |= 1 }, statusInvalidFieldInCommand},
		{"PRPs", func(c *command) { c[sqeFlags] = 0 }, statusInvalidFieldInCommand},
		{"SGL length unequal to the blocks", func(c *command) { c.putU32(sqeSGLLength, 4) }, statusInvalidFieldInCommand},
		{"second Connect", func(c *command) { c[0], c[sqeFabricsType] = byte(opFabrics), fabricsConnect },
			statusCommandSequenceError},
	} {
		entry := h.ioCommand(opRead, 0, 1, false)
		c.modify(entry)
		id := h.send(entry, nil)
		if result, _ := h.nextCompletion(); result.commandID != id || result.status != c.want|statusDoNotRetry {
			t.Errorf("%s: %+v, want %#x", c.name, result, uint16(c.want|statusDoNotRetry))
		}
	}
	const opAsyncEventRequest opcode = 0x0C
	asyncEvent := newCommand(opAsyncEventRequest, h.admin.nextCommandID(), 0, false)
	var commandErr *commandError
	_, _, err := h.admin.execute(asyncEvent, nil)
	if !errors.As(err, &commandErr) || commandErr.status != statusInvalidCommandOpcode|statusDoNotRetry {
		t.Errorf("Asynchronous Event Request: %v", err)
	}
	if _, _, err := h.admin.execute(newCommand(opKeepAlive, h.admin.nextCommandID(), 0, false), nil); err != nil {
		t.Errorf("Keep Alive: %v", err)
	}
	h.read(0)
	h.expectServed("valid command after the invalid ones")
}

// TestAbort aborts a command by its queue ID and command ID. The command must be completed exactly once, also when its
// response arrives after the Abort.
func TestAbort(t *testing.T) {
	storage := newFakeStorage()
	storage.stalled = make(chan struct{})
	_, addr := startServer(t, storage, initiatorSubsystem)
	h := connectHost(t, addr, false)
	id := h.write(1, "x")
	<-storage.received
	abort := func(want uint64) {
		t.Helper()
		entry := newCommand(opAbort, h.admin.nextCommandID(), 0, false)
		entry.putU16(sqeAbortQueueID, 1)
		entry.putU16(sqeAbortCommandID, id)
		if result, _, err := h.admin.execute(entry, nil); err != nil || result.result != want {
			t.Errorf("Abort: result %d, %v; want %d", result.result, err, want)
		}
	}
	abort(0)
	if result, _ := h.nextCompletion(); result.commandID != id || result.status != statusAbortRequested|statusDoNotRetry {
		t.Errorf("aborted command: %+v", result)
	}
	abort(1)
	close(storage.stalled)
	other := h.read(5)
	if result, _ := h.nextCompletion(); result.commandID != other {
		t.Errorf("completion of command %d, want only that of %d", result.commandID, other)
	}
}

// TestTerminationRequest checks that a violation of the transport protocol is answered with a termination request that has
// the right fatal error status.
func TestTerminationRequest(t *testing.T) {
	_, addr := startServer(t, newFakeStorage(), initiatorSubsystem)
	dataPDU := func(header transfer, flags byte, data []byte) []byte {
		return appendPDU(nil, framing{}, pduH2CData, flags, header.header(), data)
	}
	for _, c := range []struct {
		name string
		send func(*testHost) error
		want fatalErrorStatus
	}{
		{"unknown PDU type", func(h *testHost) error { return h.sendRaw([]byte{0x42, 0, 8, 0, 8, 0, 0, 0}) }, fesInvalidHeader},
		{"PDU type of a controller", func(h *testHost) error {
			header := transfer{commandID: 1, ttag: 1, length: 1}.header()
			return h.sendRaw(appendPDU(nil, framing{}, pduR2T, 0, header, nil))
		}, fesSequence},
		{"data that was not requested", func(h *testHost) error {
			return h.sendRaw(dataPDU(transfer{commandID: 9, ttag: 9, length: 1}, flagLastPDU, []byte("x")))
		}, fesInvalidHeader},
		{"data out of range", func(h *testHost) error {
			const blocks = 32
			id := h.send(h.ioCommand(opWrite, 0, blocks, false), nil)
			p, err := h.io.receive()
			if err != nil || p.kind != pduR2T || p.u32(offsetTransferLength) != blocks*blockSize {
				return errors.Join(errors.New("no R2T"), err)
			}
			header := transfer{commandID: id, ttag: p.u16(offsetTTAG), offset: 512, length: 512}
			return h.sendRaw(dataPDU(header, 0, make([]byte, 512)))
		}, fesOutOfRange},
	} {
		h := connectHost(t, addr, false)
		if err := c.send(h); err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		p := h.nextPDU()
		if p.kind != pduC2HTermReq || fatalErrorStatus(p.u16(offsetFatalErrorStatus)) != c.want {
			t.Errorf("%s: %+v; want a termination request with %#x", c.name, p, uint16(c.want))
		}
	}
}

// TestMalformedPDUs sends random, possibly truncated PDUs to a controller, on a new connection each time. The controller must
// end every connection and go on serving another host.
func TestMalformedPDUs(t *testing.T) {
	_, addr := startServer(t, newFakeStorage(), initiatorSubsystem)
	other := connectHost(t, addr, false)
	types := []pduType{pduICReq, pduCapsuleCmd, pduH2CData, pduH2CTermReq, pduR2T, 0x55}
	rapid.Check(t, func(rt *rapid.T) {
		out := icPDU(pduICReq, 0, 0)
		for range rapid.IntRange(1, 4).Draw(rt, "PDUs") {
			kind := rapid.SampledFrom(types).Draw(rt, "type")
			headerLen := max(kind.headerLen(), transferHeaderLen) - commonHeaderLen
			header := rapid.SliceOfN(rapid.Byte(), headerLen, headerLen).Draw(rt, "header")
			if kind == pduCapsuleCmd && rapid.Bool().Draw(rt, "connect") {
				copy(header, []byte{byte(opFabrics), flagsUseSGL, 1, 0, fabricsConnect})
			}
			out = appendPDU(out, framing{}, kind, 0, header, rapid.SliceOfN(rapid.Byte(), 0, 1100).Draw(rt, "data"))
		}
		sendUntilClosed(rt, addr, out[:rapid.IntRange(0, len(out)).Draw(rt, "length")])
	})
	other.read(1)
	other.expectServed("command of another host")
}

// sendUntilClosed sends bytes on a new connection, and fails the test if the controller does not end the connection.
func sendUntilClosed(t *rapid.T, addr string, b []byte) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	// The controller may end the connection after any byte, so errors are ignored except for a timeout.
	_, _ = conn.Write(b)
	_ = conn.(*net.TCPConn).CloseWrite()
	if _, err := io.Copy(io.Discard, conn); errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the controller did not end the connection")
	}
}

// TestInvalidConnect checks that a Connect to an unknown subsystem, and one of an I/O queue without an association, is
// rejected with the status for invalid parameters. DNR must be set, since a retry of the same Connect would fail again.
func TestInvalidConnect(t *testing.T) {
	_, addr := startServer(t, newFakeStorage(), initiatorSubsystem)
	h := NewHost(HostOptions{Subsystem: "nqn.other", HostNQN: "nqn.host", KeepAliveTimeout: time.Minute})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	conn, err := h.dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, conn)
	expectRejected := func(what string, err error) {
		t.Helper()
		const want = statusConnectInvalidParameters | statusDoNotRetry
		var commandErr *commandError
		if !errors.As(err, &commandErr) || commandErr.opcode != opFabrics || commandErr.status != want {
			t.Errorf("%s: %v, want status %#x", what, err, uint16(want))
		}
	}
	_, err = conn.connect(h.options, 0, anyControllerID)
	expectRejected("Connect to an unknown subsystem", err)
	_, err = conn.connect(HostOptions{Subsystem: initiatorSubsystem, HostNQN: "nqn.host"}, 1, 77)
	expectRejected("Connect of an I/O queue without an association", err)
}

// TestSilentConnectionsAreEvicted opens more connections that send nothing than MaxConns allows. A host must still be able to
// connect, and the queues of an association must not be evicted. Once Connect has completed on all connections, another
// connection must be closed.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	s, addr := startServer(t, newFakeStorage(), initiatorSubsystem)
	s.mu.Lock()
	s.options.MaxConns = 4
	s.mu.Unlock()
	dial := func() net.Conn {
		t.Helper()
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		closeAtEnd(t, conn)
		return conn
	}
	first := connectHost(t, addr, false)
	for range 50 {
		dial()
	}
	second := connectHost(t, addr, false)
	fifth := dial()
	if err := fifth.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := fifth.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("fifth connection while four queues are connected: %v, want it closed", err)
	}
	for _, h := range []*testHost{first, second} {
		h.read(1)
		h.expectServed("command of a connected host")
	}
}

// TestShutdown checks that a graceful shutdown completes the commands in flight, goes on serving new commands on open
// connections for a while, and then rejects new commands.
func TestShutdown(t *testing.T) {
	storage := newFakeStorage()
	storage.stalled = make(chan struct{})
	s, addr := startServer(t, storage, initiatorSubsystem)
	h := connectHost(t, addr, false)
	inFlight := h.read(1)
	<-storage.received
	shutdownErr := make(chan error)
	go func() { shutdownErr <- s.Shutdown(context.Background()) }()
	time.Sleep(dispatcher.AcceptGrace + 100*time.Millisecond)
	during := h.read(3)
	if request := <-storage.received; request.StartLBA != 3 {
		t.Errorf("block %d was read during the shutdown, want 3", request.StartLBA)
	}
	for !s.rejecting.Load() {
		time.Sleep(time.Millisecond)
	}
	late := h.read(2)
	if result, _ := h.nextCompletion(); result.commandID != late || result.status.code() != statusNamespaceNotReady ||
		result.status&statusDoNotRetry != 0 {
		t.Errorf("command after the serving time: %+v, want it rejected", result)
	}
	close(storage.stalled)
	for range 2 {
		result, _ := h.nextCompletion()
		if result.commandID != inFlight && result.commandID != during || result.status != statusSuccess {
			t.Errorf("completion of a command accepted earlier: %+v, want success", result)
		}
	}
	if err := <-shutdownErr; err != nil {
		t.Error(err)
	}
}

// TestIdentify checks the data structures that a host reads first. The offsets are literals from the specification, so that
// the test detects a wrong offset constant.
func TestIdentify(t *testing.T) {
	_, addr := startServer(t, newFakeStorage(), initiatorSubsystem)
	h := connectHost(t, addr, true)
	for cns, check := range map[uint32]func([]byte) bool{
		cnsNamespace: func(data []byte) bool {
			return binary.LittleEndian.Uint64(data) == 1<<20 && data[130] == 9
		},
		cnsController: func(data []byte) bool {
			return bytes.HasPrefix(data[768:], []byte(initiatorSubsystem)) && data[512] == 0x66
		},
		cnsActiveNamespaces: func(data []byte) bool {
			return binary.LittleEndian.Uint32(data) == 1 && data[4] == 0
		},
		cnsNamespaceDescriptors: func(data []byte) bool {
			return data[0] == 1 && hex.EncodeToString(data[4:12]) == testNamespace().Volume
		},
	} {
		entry := newCommand(opIdentify, h.admin.nextCommandID(), identifyDataLen, false)
		if cns != cnsActiveNamespaces {
			entry.putU32(sqeNamespaceID, 1)
		}
		entry.putU32(sqeIdentifyCNS, cns)
		_, data, err := h.admin.execute(entry, nil)
		if err != nil || len(data) != identifyDataLen || !check(data) {
			t.Errorf("CNS %d: %d bytes, %v", cns, len(data), err)
		}
	}
}
