// Package clienthttp serves clients over HTTP/1.1: it accepts connections, parses requests, passes them to the dispatcher
// and writes the responses. It makes no scheduling decisions.
//
// Before the server closes a connection, it checks that no bytes are unread on it. The check and the close are one step,
// so that a request which has arrived is not left without a response. The exceptions:
//
//   - A connection far over the limit gets a response and is closed at once: see refuse.
//   - A response that announces the close, such as that to a malformed request, ends the connection even if bytes follow
//     its request. So does a response that could not be written.
//   - An incomplete request that is too slow ends its connection: see the timeouts in server.go.
//   - Bytes may arrive between the system calls of the check and the close, where the process can be held up. The client
//     then gets a 503 response: see clientConn.closeIfNothingUnread.
//   - A shutdown closes the remaining connections at its deadline: see Server.Shutdown and stopAccepting.
//
// See connState for the states of a connection, and connTable for the limits on the number of connections.
package clienthttp

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/memorybudget"
	"dapplegate/internal/runqueue"
)

// maxHeaderBytes limits the size of a request head.
const maxHeaderBytes = 16 << 10

// These are the timeouts of a client connection. A client whose request is too slow must see an error or a close within
// 3 s. The longest wait until then is requestClaimTimeout + timeoutCheckInterval = 2.65 s.
//
//	waits for                    limit                ended by    client sees    logged reason
//	first byte of the first      requestReadTimeout   clientConn  503 and close  NO_FIRST_REQUEST
//	  request
//	rest of a head               requestReadTimeout   net/http    close          REQUEST_READ_TIMEOUT
//	rest of a body               requestReadTimeout   handler     408 and close  REQUEST_READ_TIMEOUT
//	first four bytes of a        requestClaimTimeout  connTable   503 and close  REQUEST_READ_TIMEOUT
//	  further request
//	first byte of a further      keepAliveTimeout     connTable   503 and close  KEEP_ALIVE_TIMEOUT
//	  request
//	rest of a malformed request  lingerTimeout        lingerer    close after    CLOSED_BY_SERVER
//	                                                              its response
//	client to read the data      writeTimeout         net/http    close          CLIENT_WRITE_FAILED
//
// The limits of connTable are checked every timeoutCheckInterval, until the server has stopped. This package sets no
// limit for a request in flight: the dispatcher responds within the client's timeout.
const (
	// requestReadTimeout limits how long the head and the body of a request may take to arrive. For the first request it
	// starts with the connection; for a further one it starts after the first four bytes, for which net/http waits
	// separately.
	requestReadTimeout = 2 * time.Second
	// requestClaimTimeout limits the time from the first byte of a request until its handler claims the complete request.
	// It is longer than requestReadTimeout, so that it ends only requests that requestReadTimeout does not cover.
	requestClaimTimeout = requestReadTimeout + 400*time.Millisecond
	// keepAliveTimeout is how long a connection is kept idle after a response, except during shutdown.
	keepAliveTimeout = 2 * time.Second
	// timeoutCheckInterval is how often connections are checked for requestClaimTimeout and keepAliveTimeout.
	timeoutCheckInterval = keepAliveTimeout / 8
)

// readAheadShare is the fraction, as 1/readAheadShare, of Options.MaxRequestBytes that may be read ahead in addition.
const readAheadShare = 4

// Options configures a Server.
type Options struct {
	Classes        map[string]bool // request classes that are served
	Plans          map[string]bool // plans that are accepted
	MaxConns       int             // limit on open client connections
	EvictIdleAbove int             // number of open connections above which a new one evicts an idle one: see connTable
	// MaxRequestBytes limits the heads and bodies of all requests in flight together. A request beyond it is rejected.
	MaxRequestBytes int64
	MaxDeadline     time.Duration // the longest deadline of any class
	Ready           func() bool   // reports whether requests can be forwarded; nil if they always can
	ReadinessOnly   bool          // serve only the readiness check, because requests arrive over another protocol
	Logger          *slog.Logger
}

// Dispatcher takes over submitted requests and responds to each, unless its client closes the connection first.
type Dispatcher interface {
	// Submit hands a request over. If there is no capacity for the request, it returns false, and Call.Respond is never
	// called.
	Submit(*dispatcher.Call) bool
	// Cancel reports that the client of a submitted request has closed its connection.
	Cancel(*dispatcher.Call)
}

var _ Dispatcher = (*dispatcher.Dispatcher)(nil)

// Server serves clients over HTTP/1.1.
type Server struct {
	options            Options
	dispatcher         Dispatcher
	http               http.Server
	listener           atomic.Pointer[net.Listener] // set by Serve, read by Shutdown
	conns              *connTable
	lingerer           *lingerer
	runQueue           *runqueue.Queue      // of the goroutines that serve connections
	requestBudget      *memorybudget.Budget // for Options.MaxRequestBytes
	shutdownSchedule   dispatcher.ShutdownSchedule
	shutdownStartedAt  atomic.Pointer[time.Time] // when Shutdown was called; nil if it was not
	closeAfterResponse atomic.Bool               // set late in Shutdown: each response closes its connection
	stopped            chan struct{}             // closed by stop
	stopOnce           sync.Once
}

// New returns a server that submits its requests to the dispatcher.
func New(d Dispatcher, options Options) *Server {
	stopped := make(chan struct{})
	runQueue := runqueue.New(stopped)
	s := &Server{
		options:          options,
		dispatcher:       d,
		conns:            newConnTable(options.MaxConns, options.EvictIdleAbove, options.Logger),
		runQueue:         runQueue,
		requestBudget:    memorybudget.New(options.MaxRequestBytes),
		shutdownSchedule: dispatcher.NewShutdownSchedule(options.MaxDeadline),
		stopped:          stopped,
	}
	s.lingerer = newLingerer(s.conns)
	s.conns.runQueue = runQueue
	s.conns.readAheadBudget = memorybudget.New(options.MaxRequestBytes / readAheadShare)
	// The table closes idle connections. net/http's own idle timeout is longer than keepAliveTimeout and than the time
	// for which a shutdown keeps connections open, so that it takes effect only if the table has not closed the
	// connection.
	netHTTPIdleTimeout := keepAliveTimeout + keepAliveTimeout/2 + s.shutdownSchedule.ServeConnsFor
	s.http = http.Server{
		Handler:        s,
		ReadTimeout:    requestReadTimeout,
		IdleTimeout:    netHTTPIdleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ConnState:      s.conns.onConnState,
		ConnContext:    contextWithConn,
		ErrorLog:       slog.NewLogLogger(options.Logger.Handler(), slog.LevelWarn),
	}
	return s
}

// Serve accepts and serves connections until Shutdown, and then returns nil. If a permanent error of the listener stops
// it earlier, it returns that error.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Store(&l)
	go s.closeTimedOutConns()
	go s.runQueue.Run()
	go s.lingerer.run(s.stopped)
	err := s.http.Serve(&listener{Listener: l, table: s.conns})
	if s.shutdownStartedAt.Load() != nil {
		return nil // Shutdown serves the open connections and stops the server
	}
	s.stop()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// closeTimedOutConns applies the timeouts of connTable until the server has stopped. During a shutdown
// connTable.closeIdle closes idle connections, from ServeConnsFor on, and from AnswerBy on also connections whose request
// has stalled.
func (s *Server) closeTimedOutConns() {
	ticker := time.NewTicker(timeoutCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
			s.conns.closeTimedOut(keepAliveTimeout, requestClaimTimeout)
		}
	}
}

// stop ends the goroutines that Serve has started. It may be called more than once.
func (s *Server) stop() {
	s.stopOnce.Do(func() { close(s.stopped) })
}
