package nvme

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/propertytest"
	"dapplegate/internal/upstream"
	"dapplegate/scheduler"
)

func TestMain(m *testing.M) { propertytest.Main(m) }

const (
	targetSubsystem    = "nqn.2026-12.example.test:target"    // NQN of the fake targets' subsystem
	initiatorSubsystem = "nqn.2026-12.example.test:pool"      // NQN of the initiator's subsystem
	initiatorHostNQN   = "nqn.2026-12.example.test:initiator" // NQN of the initiator as a host of the targets
	clientHostNQN      = "nqn.2026-12.example.test:client"    // NQN of a client's host
	blockSize          = 512

	// testTimeout is long enough not to expire on a busy machine.
	testTimeout = 20 * time.Second
)

var discardLog = slog.New(slog.DiscardHandler)

// closeAtEnd closes c when the test ends. The test may already have closed it.
func closeAtEnd(t *testing.T, c io.Closer) {
	t.Helper()
	t.Cleanup(func() { _ = c.Close() })
}

func testNamespace() Namespace {
	return Namespace{
		ID: 1, Volume: "00000003b4d60021", Plan: "std", Initiators: 1,
		BlockBytes: blockSize, Blocks: 1 << 20,
		StripeBlocks: 2048, Shards: []int{0}, UnitBlocks: 16,
		ReadClass: "position-read", WriteClass: "event-write",
	}
}

// serve runs a server on l until l is closed.
func serve(t *testing.T, l net.Listener, d Dispatcher, subsystem string) *Server {
	t.Helper()
	s := New(d, ServerOptions{
		Subsystem: subsystem, Namespaces: []Namespace{testNamespace()},
		QueueDepth: 8, MaxConns: 64, MaxBufferedBytes: 8 << 20,
		ClassDeadlines: map[string]time.Duration{"position-read": testTimeout, "event-write": testTimeout},
		Logger:         discardLog,
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close() // Shutdown may have closed it
		if err := <-served; err != nil {
			t.Errorf("Serve: %v", err)
		}
	})
	return s
}

// startServer runs a server on a free loopback port and returns the server and its address.
func startServer(t *testing.T, d Dispatcher, subsystem string) (*Server, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, l, d, subsystem), l.Addr().String()
}

// fakeStorage is the Dispatcher of a fake target. It stores blocks, counts the writes that it executes, and can be stalled.
type fakeStorage struct {
	received chan *IORequest // every submitted request

	mu       sync.Mutex
	blocks   map[uint64][]byte
	writes   map[string]int      // how often each text was written
	stalled  chan struct{}       // if not nil, commands wait until it is closed
	response dispatcher.Response // if its status is not Served, the response to every command, which is not executed
}

func newFakeStorage() *fakeStorage {
	return &fakeStorage{blocks: map[uint64][]byte{}, writes: map[string]int{}, received: make(chan *IORequest, 64)}
}

func (*fakeStorage) Cancel(*dispatcher.Call) {}

func (s *fakeStorage) Submit(call *dispatcher.Call) bool {
	request := call.Payload.(*IORequest)
	s.mu.Lock()
	stalled, response := s.stalled, s.response
	s.mu.Unlock()
	s.received <- request
	go func() {
		if stalled != nil {
			<-stalled
		}
		if response.Status != dispatcher.Served {
			call.Respond(response)
			return
		}
		call.Respond(dispatcher.Response{Payload: s.execute(request)})
	}()
	return true
}

// execute reads or writes blocks, and returns the data read.
func (s *fakeStorage) execute(request *IORequest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var data []byte
	if request.Write {
		s.writes[string(bytes.TrimRight(request.Data, "\x00"))]++
	}
	for i := range uint64(request.Blocks) {
		if request.Write {
			s.blocks[request.StartLBA+i] = request.Data[i*blockSize : (i+1)*blockSize]
			continue
		}
		block := s.blocks[request.StartLBA+i]
		data = append(data, append(block, make([]byte, blockSize-len(block))...)...)
	}
	return data
}

// writeCount returns how often a text was written.
func (s *fakeStorage) writeCount(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes[text]
}

// initiator combines the server, dispatcher, scheduler and host into an initiator, which the tests connect to fake targets.
type initiator struct {
	addr       string
	server     *Server
	registry   *upstream.Registry
	dispatcher *dispatcher.Dispatcher
}

func startInitiator(t *testing.T, digests bool, objective time.Duration, targets ...string) *initiator {
	t.Helper()
	sched, err := scheduler.New(schedulerSettings(objective), 1)
	if err != nil {
		t.Fatal(err)
	}
	in := &initiator{}
	host := NewHost(HostOptions{
		Subsystem: targetSubsystem, HostNQN: initiatorHostNQN, KeepAliveTimeout: time.Minute, Digests: digests,
	})
	in.registry = upstream.NewRegistry(upstream.Options{Dialer: host, DialTimeout: testTimeout, IdleTimeout: time.Minute,
		MaxConnsPerTarget: 16, MaxConns: 64, Logger: discardLog},
		func(r dispatcher.AttemptResult) { in.dispatcher.ReportResult(r) })
	in.dispatcher = dispatcher.New(sched, in.registry, dispatcher.NewClock(), dispatcher.Options{})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go in.dispatcher.Run(ctx)
	for i, addr := range targets {
		in.setTarget(fmt.Sprint("t", i), addr, scheduler.Serving)
	}
	in.server, in.addr = startServer(t, in.dispatcher, initiatorSubsystem)
	return in
}

func schedulerSettings(objective time.Duration) scheduler.Settings {
	return scheduler.Settings{
		Initiators: 1, Tick: time.Millisecond, MeanUnits: 1, MaxUnits: 8, MaxAttempts: 3,
		Plans: []scheduler.Plan{{Name: "std", ProvisionedRate: 1000, Reservation: 1000, PriorityFactor: 1}},
		Classes: []scheduler.Class{
			{Name: "position-read", LatencyObjective: objective, Deadline: testTimeout, PriorityWeight: 3},
			{Name: "event-write", LatencyObjective: objective, Deadline: testTimeout, PriorityWeight: 2,
				Idempotency: scheduler.NonIdempotent},
		},
	}
}

// setTarget updates one target, first in the registry and then in the dispatcher, as the initiator program does.
func (in *initiator) setTarget(id, addr string, state scheduler.TargetState) {
	in.registry.Apply([]upstream.Endpoint{{ID: id, Addr: addr, State: state}}, false)
	in.dispatcher.UpdateEndpoints(scheduler.EndpointList{Targets: []scheduler.Target{{ID: id, State: state}}})
}

// testHost is a client's host with an admin queue and one I/O queue, on which the test sends commands.
type testHost struct {
	t     *testing.T
	admin *hostConn
	io    *hostConn
}

func connectHost(t *testing.T, addr string, digests bool) *testHost {
	t.Helper()
	const ioQueueSize = 8
	options := HostOptions{
		Subsystem: initiatorSubsystem, HostNQN: clientHostNQN, KeepAliveTimeout: time.Minute, Digests: digests,
	}
	h := NewHost(options)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	admin, err := h.dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, admin)
	controllerID, _, err := h.enable(ctx, admin)
	if err != nil {
		t.Fatal(err)
	}
	ioConn, err := h.dial(ctx, addr)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, ioConn)
	connect := newFabricsCommand(fabricsConnect, ioConn.nextCommandID(), connectDataLen)
	connect.putU16(sqeConnectQueueID, 1)
	connect.putU16(sqeConnectQueueSize, ioQueueSize-1)
	if _, _, err := ioConn.execute(connect, connectData(options, controllerID)); err != nil {
		t.Fatal(err)
	}
	return &testHost{t: t, admin: admin, io: ioConn}
}

// send sends a command on the I/O queue and returns its ID.
func (h *testHost) send(entry *command, inCapsule []byte) uint16 {
	h.t.Helper()
	if err := h.io.sendCommand(entry, inCapsule); err != nil {
		h.t.Fatal(err)
	}
	return entry.id()
}

// sendRaw sends bytes, which need not be a valid PDU, on the I/O queue's connection.
func (h *testHost) sendRaw(b []byte) error {
	_, err := h.io.Write(b)
	return err
}

// ioCommand returns the entry for a read or write.
func (h *testHost) ioCommand(op opcode, startLBA uint64, blocks int, inCapsule bool) *command {
	entry := newCommand(op, h.io.nextCommandID(), blocks*blockSize, inCapsule)
	entry.putU32(sqeNamespaceID, 1)
	entry.putU64(sqeStartLBA, startLBA)
	entry.putU16(sqeBlocks, uint16(blocks-1))
	return entry
}

// write sends a write of one block that starts with the text, and returns the command ID.
func (h *testHost) write(lba uint64, text string) uint16 {
	h.t.Helper()
	data := make([]byte, blockSize)
	copy(data, text)
	return h.send(h.ioCommand(opWrite, lba, 1, true), data)
}

// read sends a read of one block and returns the command ID.
func (h *testHost) read(lba uint64) uint16 {
	h.t.Helper()
	return h.send(h.ioCommand(opRead, lba, 1, false), nil)
}

// nextCompletion returns the next completion on the I/O queue, and the data received before it.
func (h *testHost) nextCompletion() (completion, []byte) {
	h.t.Helper()
	var data []byte
	for {
		p := h.nextPDU()
		if p.kind == pduCapsuleResp {
			return parseCompletion(p), data
		}
		data = append(data, p.data...)
	}
}

// nextPDU returns the next PDU on the I/O queue.
func (h *testHost) nextPDU() *pdu {
	h.t.Helper()
	if err := h.io.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		h.t.Fatal(err)
	}
	p, err := h.io.receive()
	if err != nil {
		h.t.Fatalf("no PDU: %v", err)
	}
	return p
}

// roundTrip executes a command on the I/O queue with this package's host side. No other command may be in flight.
func (h *testHost) roundTrip(request *IORequest) upstream.RoundTripResult {
	h.t.Helper()
	queue := &targetQueue{
		hostConn:         h.io,
		association:      &targetAssociation{adminLock: make(chan struct{}, 1)},
		maxInCapsuleData: maxInCapsuleData,
	}
	attempt := dispatcher.Attempt{Deadline: time.Now().Add(testTimeout), Payload: request}
	return queue.RoundTrip(attempt, func() bool { return true })
}

// expectServed fails the test if the next completion is not a success. what describes the command.
func (h *testHost) expectServed(what string) {
	h.t.Helper()
	if result, _ := h.nextCompletion(); result.status != statusSuccess {
		h.t.Fatalf("%s: %+v, want success", what, result)
	}
}
