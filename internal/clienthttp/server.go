// Package clienthttp serves clients over HTTP/1.1: it accepts connections, parses requests, hands them to the dispatcher
// and writes its responses. It takes no scheduling decision.
//
// A connection is closed only after a check, in one step with the close, that nothing is unread on it, so that no request is
// closed over without a response. The exceptions:
//
//   - a connection that is far over the limit is closed at once, with a response (connTable.markOverLimit);
//   - a response that announces the close, as that to a malformed request does, or that could not be written ends the
//     connection whatever follows its request;
//   - an incomplete request that is too slow ends its connection (see the timeouts in server.go);
//   - bytes may arrive between the two system calls of the check and the close: the client gets a reset;
//   - the deadline of a shutdown: see Server.Shutdown and stopAccepting.
//
// See connState for the states of a connection, and connTable for the limits of their number.
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
)

// maxHeaderBytes is the size of the largest request head.
const maxHeaderBytes = 16 << 10

// These are the timeouts of a client connection. A client whose request is too slow has to see an error or a close within
// 3 s; the longest wait until then is requestClaimTimeout + timeoutCheckInterval = 2.65 s.
//
//	waits for                    limit                ended by    client sees    logged reason
//	first byte of the first      requestReadTimeout   clientConn  503 and close  NO_FIRST_REQUEST
//	  request
//	rest of a head               requestReadTimeout   net/http    close          REQUEST_READ_TIMEOUT
//	rest of a body               requestReadTimeout   handler     408 and close  REQUEST_READ_TIMEOUT
//	first four bytes of a        requestClaimTimeout  connTable   503 and close  REQUEST_READ_TIMEOUT
//	  further request
//	first byte of a further      keepAliveTimeout     connTable   close          KEEP_ALIVE_TIMEOUT
//	  request
//	rest of a malformed request  bodyDiscardTimeout   handler     close after    CLOSED_BY_SERVER
//	                                                              its response
//	client to read the data      writeTimeout         net/http    close          CLIENT_WRITE_FAILED
//
// The limits of connTable are checked every timeoutCheckInterval, until the server has ended. A request in flight has no
// limit here: the dispatcher responds within the client's timeout.
const (
	// requestReadTimeout is how long a request, head and body, may take to arrive: the first one from the connection's start,
	// a further one from its first four bytes, for which net/http waits before it starts this limit.
	requestReadTimeout = 2 * time.Second
	// requestClaimTimeout is how long after its first byte a request must have reached its handler complete. It is longer than
	// requestReadTimeout, so that it ends only what that does not cover.
	requestClaimTimeout = requestReadTimeout + 400*time.Millisecond
	// keepAliveTimeout is how long a connection is kept idle after a response, except during shutdown.
	keepAliveTimeout = 2 * time.Second
	// timeoutCheckInterval is how often connections are checked for requestClaimTimeout and keepAliveTimeout.
	timeoutCheckInterval = keepAliveTimeout / 8
)

// Options configure a Server.
type Options struct {
	Classes        map[string]bool // classes of requests that are served
	Plans          map[string]bool // plans that are known
	MaxConns       int             // client connections at a time
	EvictIdleAbove int             // connections above which each new one evicts one that has been idle long enough
	MaxDeadline    time.Duration   // the longest deadline of any class
	Ready          func() bool     // whether requests can be forwarded; nil: always
	ReadinessOnly  bool            // serve the readiness check alone: requests arrive over another protocol
	Logger         *slog.Logger
}

// Dispatcher owns each request from Submit until its response.
type Dispatcher interface {
	// Submit hands a request over. False rejects it for lack of capacity, and Call.Respond is not called.
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
	shutdown           dispatcher.ShutdownSchedule
	shutdownAt         atomic.Pointer[time.Time] // when Shutdown was called; nil: it was not
	closeAfterResponse atomic.Bool               // set late in Shutdown: each response closes its connection
	timeoutsEnded      chan struct{}             // closed by endTimeouts, by way of endTimeoutsOnce
	endTimeoutsOnce    sync.Once
}

// New returns a server that hands its requests to the dispatcher.
func New(d Dispatcher, options Options) *Server {
	s := &Server{
		options:    options,
		dispatcher: d,
		conns:      newConnTable(options.MaxConns, options.EvictIdleAbove, options.Logger),
		shutdown:   dispatcher.NewShutdownSchedule(options.MaxDeadline),

		timeoutsEnded: make(chan struct{}),
	}
	// The table closes idle connections. net/http's own timeout is longer than the table's and than the time for which a
	// shutdown keeps connections, so that it takes effect only if the table has not closed the connection.
	netHTTPIdleTimeout := keepAliveTimeout + keepAliveTimeout/2 + s.shutdown.ServeConnsFor
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

// Serve accepts and serves connections until Shutdown, and returns nil then. Otherwise it returns the permanent error of the
// listener that ended it.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Store(&l)
	go s.closeTimedOutConns()
	err := s.http.Serve(&listener{Listener: l, table: s.conns})
	if s.shutdownAt.Load() != nil {
		return nil // Shutdown serves what is open, and ends the timeouts
	}
	s.endTimeouts()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// closeTimedOutConns applies the timeouts of connTable until endTimeouts. In a shutdown, connTable.closeIdle closes idle
// connections from ServeConnsFor on, and from AnswerBy on also those whose request has stalled.
func (s *Server) closeTimedOutConns() {
	ticker := time.NewTicker(timeoutCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.timeoutsEnded:
			return
		case <-ticker.C:
			s.conns.closeTimedOut(keepAliveTimeout, requestClaimTimeout)
		}
	}
}

// endTimeouts ends closeTimedOutConns. It may be called more than once.
func (s *Server) endTimeouts() {
	s.endTimeoutsOnce.Do(func() { close(s.timeoutsEnded) })
}
