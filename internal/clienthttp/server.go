// Package clienthttp serves clients over HTTP/1.1: it accepts connections, parses requests, hands them to the dispatcher
// and writes its responses. It takes no scheduling decision.
//
// A request is never lost between its arrival and its response: a connection is closed only after a check, in one step with
// the close, that nothing is unread on it. See connState for the states of a connection, and connTable for their limits.
package clienthttp

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
)

const (
	// maxHeaderBytes is the size of the largest request head.
	maxHeaderBytes = 16 << 10
	// requestReadTimeout is how long a request, head and body, may take to arrive, from its first byte or, for the first one,
	// from the connection's start. A client that is slower, or sends nothing, has to see an end within 3 s.
	requestReadTimeout = 2 * time.Second
	// requestPauseTimeout is how long a client may pause within a request. It is longer than requestReadTimeout, which
	// ends most such requests with a response that says what is missing.
	requestPauseTimeout = requestReadTimeout + 400*time.Millisecond
	// keepAliveTimeout is how long a connection is kept idle after a response, except during shutdown. Clients count
	// idle connections among the few that they may open.
	keepAliveTimeout = 2 * time.Second
	// timeoutCheckInterval is how often connections are checked for requestPauseTimeout and keepAliveTimeout.
	timeoutCheckInterval = keepAliveTimeout / 8
)

// Options configure a Server.
type Options struct {
	Classes       map[string]bool // classes of requests that are served
	Plans         map[string]bool // plans that are known
	MaxConns      int             // client connections at a time
	MaxIdleConns  int             // of these, how many may be without a request in flight
	MaxDeadline   time.Duration   // the longest timeout of any client
	Ready         func() bool     // whether requests can be forwarded; nil: always
	ReadinessOnly bool            // serve the readiness check alone: requests arrive over another protocol
	Logger        *slog.Logger
}

// Dispatcher owns each request from Submit until its response.
type Dispatcher interface {
	// Submit hands a request over. False rejects it for lack of capacity, and Call.Respond is not called.
	Submit(*dispatcher.Call) bool
	// Cancel tells that the client of a submitted request has closed its connection.
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
}

// New returns a server that hands its requests to the dispatcher.
func New(d Dispatcher, options Options) *Server {
	s := &Server{
		options:    options,
		dispatcher: d,
		conns:      newConnTable(options.MaxConns, options.MaxIdleConns, options.Logger),
		shutdown:   dispatcher.NewShutdownSchedule(options.MaxDeadline),
	}
	// The table closes idle connections, after a check that nothing is unread. net/http's own timeout, which checks nothing,
	// is longer than the table's and than the time for which a shutdown keeps connections.
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
	ended := make(chan struct{})
	defer close(ended)
	go s.closeTimedOutConns(ended)
	err := s.http.Serve(&listener{Listener: l, table: s.conns})
	if errors.Is(err, http.ErrServerClosed) || s.shutdownAt.Load() != nil {
		return nil
	}
	return err
}

// closeTimedOutConns closes connections whose time is over, until the channel is closed.
func (s *Server) closeTimedOutConns(ended <-chan struct{}) {
	ticker := time.NewTicker(timeoutCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
			s.conns.closeTimedOut(keepAliveTimeout, requestPauseTimeout)
		}
	}
}
