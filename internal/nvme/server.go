package nvme

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
)

// ServerOptions configures the controller side.
type ServerOptions struct {
	Subsystem  string // NQN of the subsystem that hosts connect to
	Namespaces []Namespace
	QueueDepth int // maximum number of entries of an I/O queue
	MaxConns   int // maximum number of open connections from hosts
	// MaxBufferedBytes limits the total data length of the commands in flight, in bytes; reads and writes beyond it are
	// rejected. A command counts from its arrival until its completion is queued for sending: data that waits in a connection's
	// outbox no longer counts.
	MaxBufferedBytes int64
	// ClassDeadlines is the deadline of the commands of each class, since NVMe commands carry none.
	ClassDeadlines map[string]time.Duration
	Logger         *slog.Logger
}

// Dispatcher executes commands, which it receives as calls. Submit neither blocks nor calls Call.Respond before it returns.
// It returns false if there is no capacity for the call, and then Respond is never called. Cancel reports that the host no
// longer waits for the response of a submitted call.
type Dispatcher interface {
	Submit(*dispatcher.Call) bool
	Cancel(*dispatcher.Call)
}

const (
	acceptRetryInterval  = 10 * time.Millisecond // pause after a failed Accept, to avoid a busy loop
	shutdownPollInterval = 2 * time.Millisecond
)

// Values of the log attribute "reason" for connections that ended.
const (
	reasonConnectionLimit  = "CONNECTION_LIMIT"
	reasonShutdown         = "SHUTDOWN"
	reasonHandshakeTimeout = "HANDSHAKE_TIMEOUT"
	reasonKeepAliveTimeout = "KEEP_ALIVE_TIMEOUT"
	reasonDataTimeout      = "HOST_DATA_TIMEOUT"
	reasonWriteFailed      = "HOST_WRITE_FAILED"
	reasonHostClosed       = "HOST_CLOSED"
	reasonHostReset        = "HOST_RESET"
	reasonHostTerminated   = "HOST_TERMINATED"
	reasonProtocolError    = "PROTOCOL_ERROR"
	reasonAssociationEnded = "ASSOCIATION_ENDED"
	reasonControllerReset  = "CONTROLLER_RESET"
)

// Server is the controller side: an NVMe subsystem that hosts connect to over TCP.
type Server struct {
	options          ServerOptions
	dispatcher       Dispatcher
	namespaces       map[uint32]*Namespace
	shutdownSchedule dispatcher.ShutdownSchedule

	bufferedBytes atomic.Int64              // data length that counts against MaxBufferedBytes
	openCommands  atomic.Int64              // commands submitted to the dispatcher and not completed
	shutdownAt    atomic.Pointer[time.Time] // when Shutdown was called; nil: not yet
	rejecting     atomic.Bool               // new reads and writes are rejected, because of the shutdown

	mu               sync.Mutex
	associations     map[uint16]*controllerAssociation // by controller ID
	queues           map[*controllerQueue]bool         // connections that count against MaxConns
	lastControllerID uint16                            // the ID assigned last
	listener         net.Listener
}

// New returns a server that submits its reads and writes to d. The namespaces in the options must be valid.
func New(d Dispatcher, opts ServerOptions) *Server {
	s := &Server{
		options:      opts,
		dispatcher:   d,
		namespaces:   map[uint32]*Namespace{},
		associations: map[uint16]*controllerAssociation{},
		queues:       map[*controllerQueue]bool{},
	}
	var maxDeadline time.Duration
	for _, deadline := range opts.ClassDeadlines {
		maxDeadline = max(maxDeadline, deadline)
	}
	s.shutdownSchedule = dispatcher.NewShutdownSchedule(maxDeadline)
	for i := range opts.Namespaces {
		s.namespaces[opts.Namespaces[i].ID] = &opts.Namespaces[i]
	}
	return s
}

// maxNamespaceID returns the highest namespace ID.
func (s *Server) maxNamespaceID() uint32 {
	highest := uint32(0)
	for id := range s.namespaces {
		highest = max(highest, id)
	}
	return highest
}

// Serve accepts connections on l until l is closed, by Shutdown or elsewhere, and then returns nil. After any other error it
// retries Accept indefinitely, since a shortage of file descriptors, for instance, ends when connections are closed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryInterval) // open connections are served meanwhile
			continue
		}
		q := newControllerQueue(s, conn)
		if !s.admit(q) {
			_ = conn.Close() // nothing has been read from it
			s.logConnectionEnd(q, reasonConnectionLimit)
			continue
		}
		go q.writeLoop()
		go q.readLoop()
	}
}

// admit adds a connection. If there are MaxConns connections already, it evicts one of them, and returns false if none can be
// evicted. An evicted connection no longer counts against MaxConns, but stays open until its writer has sent the outbox.
func (s *Server) admit(q *controllerQueue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queues) >= s.options.MaxConns && !s.evictUnconnected() {
		return false
	}
	s.queues[q] = true
	return true
}

// evictUnconnected ends the oldest connection without a completed Connect, and returns false if there is none. Without this
// eviction, MaxConns connections that send nothing would keep all hosts out until the handshake timeout ends one of those
// connections. A connection whose Connect has completed is never evicted, so no command is lost: a host sends no other command
// before its Connect completes. A connection may still be evicted while its Connect is being handled. The caller must hold mu.
func (s *Server) evictUnconnected() bool {
	var oldest *controllerQueue
	for q := range s.queues {
		if !q.connected.Load() && (oldest == nil || q.acceptedAt.Before(oldest.acceptedAt)) {
			oldest = q
		}
	}
	if oldest == nil {
		return false
	}
	delete(s.queues, oldest)
	oldest.end(reasonConnectionLimit)
	return true
}

// Shutdown shuts the server down gracefully. It continues to accept connections for dispatcher.AcceptGrace, and to serve open
// connections for as long as the shutdown schedule allows. Then it rejects new reads and writes, waits for those in flight
// and closes all connections. If ctx ends first, Shutdown returns its error, and commands in flight get no completion.
func (s *Server) Shutdown(ctx context.Context) error {
	start := time.Now()
	s.shutdownAt.Store(&start)
	dispatcher.WaitUntil(ctx, start.Add(dispatcher.AcceptGrace))
	s.drainListener(start.Add(s.shutdownSchedule.AnswerBy))
	dispatcher.WaitUntil(ctx, start.Add(s.shutdownSchedule.ServeConnsFor))
	s.rejecting.Store(true)
	for s.openCommands.Load() > 0 && ctx.Err() == nil {
		time.Sleep(shutdownPollInterval)
	}
	err := ctx.Err()
	for _, q := range s.allQueues() {
		q.end(reasonShutdown)
		<-q.done
	}
	return err
}

// drainListener closes the listener once its accept queue is empty, or at the deadline.
func (s *Server) drainListener(deadline time.Time) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = socket.CloseListenerWhenEmpty(listener, deadline) // the listener is closed even if this returns an error
	}
}

func (s *Server) allQueues() []*controllerQueue {
	s.mu.Lock()
	defer s.mu.Unlock()
	queues := make([]*controllerQueue, 0, len(s.queues))
	for q := range s.queues {
		queues = append(queues, q)
	}
	return queues
}

func (s *Server) logConnectionEnd(q *controllerQueue, reason string) {
	s.options.Logger.Info("connection ended",
		slog.String("side", "host"),
		slog.String("peer", q.conn.RemoteAddr().String()),
		slog.String("reason", reason),
		slog.Int("commands", q.commandCount),
		slog.Int("queue", int(q.id)))
}
