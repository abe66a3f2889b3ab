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

// ServerOptions set up the controller side.
type ServerOptions struct {
	Subsystem  string // NQN under which hosts connect
	Namespaces []Namespace
	QueueDepth int // entries of an I/O queue
	MaxConns   int // hosts' connections at a time
	// MaxBufferedBytes bounds the data of the commands without a completion, in bytes; reads and writes beyond it are rejected.
	// Data counts from the command's arrival until its completion is queued for sending: data that waits in a connection's
	// outbox is no longer counted.
	MaxBufferedBytes int64
	// ClassDeadlines is how long hosts wait for a command of each class: NVMe commands carry no deadline of their own.
	ClassDeadlines map[string]time.Duration
	Logger         *slog.Logger
}

// Dispatcher takes the commands as calls. Submit returns false if it is not taking calls any more; it does not wait, and
// never calls Respond itself. Cancel ends a call whose host no longer waits.
type Dispatcher interface {
	Submit(*dispatcher.Call) bool
	Cancel(*dispatcher.Call)
}

const (
	acceptRetryInterval  = 10 * time.Millisecond // after a failed accept, which would else be retried in a busy loop
	shutdownPollInterval = 2 * time.Millisecond
)

// Reasons of the log lines about ended connections.
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
	options    ServerOptions
	dispatcher Dispatcher
	namespaces map[uint32]*Namespace
	schedule   dispatcher.ShutdownSchedule

	bufferedBytes atomic.Int64              // data that counts against MaxBufferedBytes
	openCommands  atomic.Int64              // commands at the dispatcher
	shutdownAt    atomic.Pointer[time.Time] // when Shutdown was called; nil: not yet
	rejecting     atomic.Bool               // new commands are rejected

	mu               sync.Mutex
	associations     map[uint16]*controllerAssociation // by controller ID
	queues           map[*controllerQueue]bool
	lastControllerID uint16
	listener         net.Listener
}

// New returns a server that hands its commands to d. Options.Namespaces must be valid.
func New(d Dispatcher, opt ServerOptions) *Server {
	s := &Server{
		options:      opt,
		dispatcher:   d,
		namespaces:   map[uint32]*Namespace{},
		associations: map[uint16]*controllerAssociation{},
		queues:       map[*controllerQueue]bool{},
	}
	var longest time.Duration
	for _, deadline := range opt.ClassDeadlines {
		longest = max(longest, deadline)
	}
	s.schedule = dispatcher.NewShutdownSchedule(longest)
	for i := range opt.Namespaces {
		s.namespaces[opt.Namespaces[i].ID] = &opt.Namespaces[i]
	}
	return s
}

// maxNamespaceID returns the highest namespace ID in use.
func (s *Server) maxNamespaceID() uint32 {
	highest := uint32(0)
	for id := range s.namespaces {
		highest = max(highest, id)
	}
	return highest
}

// Serve accepts connections on l until l is closed, by Shutdown or another, and then returns nil. Any other error of Accept is
// retried for as long as it lasts: running out of file descriptors passes when connections end.
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
			time.Sleep(acceptRetryInterval) // open connections are still served
			continue
		}
		q := newQueue(s, conn)
		if !s.admit(q) {
			_ = conn.Close() // nothing was read from it yet
			s.logEnd(q, reasonConnectionLimit)
			continue
		}
		go q.writeLoop()
		go q.readLoop()
	}
}

// admit adds a connection, and evicts another if there are MaxConns. It returns false if none can be evicted. An evicted
// connection is no longer counted, but stays open until its writer has sent its outbox.
func (s *Server) admit(q *controllerQueue) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queues) >= s.options.MaxConns && !s.evictUnconnected() {
		return false
	}
	s.queues[q] = true
	return true
}

// evictUnconnected ends the connection that has been longest without a Connect, and returns false if there is none. Without
// it, silent connections up to the limit would shut out all hosts: each is refused until the handshake timeout ends one of
// them. A connection whose Connect has completed is never evicted, so that no command is lost: a host sends none before that.
// One whose Connect is being handled may still be evicted. The caller holds mu.
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

// Shutdown ends the server in steps: it accepts connections for dispatcher.AcceptGrace, serves open ones for the time that
// the shutdown schedule gives them, then rejects new commands, waits for those in flight and closes all connections. If ctx
// ends first, its error is returned, and commands in flight get no completion.
func (s *Server) Shutdown(ctx context.Context) error {
	start := time.Now()
	s.shutdownAt.Store(&start)
	dispatcher.WaitUntil(ctx, start.Add(dispatcher.AcceptGrace))
	s.drainListener(start.Add(s.schedule.AnswerBy))
	dispatcher.WaitUntil(ctx, start.Add(s.schedule.ServeConnsFor))
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

// drainListener closes the listener once the connections that wait in it are accepted, at the latest at the given time.
func (s *Server) drainListener(latest time.Time) {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = socket.CloseListenerWhenEmpty(listener, latest) // it is closed either way
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

func (s *Server) logEnd(q *controllerQueue, reason string) {
	s.options.Logger.Info("connection ended",
		slog.String("side", "host"),
		slog.String("peer", q.conn.RemoteAddr().String()),
		slog.String("reason", reason),
		slog.Int("commands", q.commandCount),
		slog.Int("queue", int(q.id)))
}
