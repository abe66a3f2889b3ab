// Package front is the platform's HTTP/1.1 side: it accepts, parses and answers, and decides nothing.
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
	maxHead = 16 << 10
	// requestWithin is how long a request, head and body, may take to come: from its first byte, or from the
	// connection's start. A client that is slower, or says nothing, is owed an end within 3 s.
	requestWithin = 2 * time.Second
	// stopWithin is how long a client may stop in the middle of a request: past requestWithin, which ends most of them with a
	// word on what is missing.
	stopWithin = requestWithin + 400*time.Millisecond
	// idleFor is how long a connection is kept for a next request, but while the program leaves. Clients count it among
	// the few they may hold.
	idleFor = 2 * time.Second
	// drainFor and drainMost bound what is read of a refused body, to be thrown away: the client must be able to
	// read its answer before a reset takes it.
	drainFor  = 3 * time.Second
	drainMost = 64 << 20
	// endEvery is how often an end that is under way looks for connections without a request.
	endEvery = 10 * time.Millisecond
	// lookEvery is how often a client that sent more than one request at a time is looked for: nothing may be sent on for
	// it 0.1 s after it has gone.
	lookEvery = 25 * time.Millisecond
	// writeWithin is how long a client may take to read its answer.
	writeWithin = 5 * time.Second
)

// Options set up the front.
type Options struct {
	Classes      map[string]bool
	Plans        map[string]bool
	MaxConns     int           // clients' connections at a time
	MaxIdleConns int           // of these, how many may be without a request
	MaxDeadline  time.Duration // that any client waits
	Ready        func() bool   // whether requests can be sent on; nil: from the start
	HealthOnly   bool          // requests come in by another front
	Logger       *slog.Logger
}

// Core is what the front needs of the core.
type Dispatcher interface {
	Submit(*dispatcher.Call) bool
	Cancel(*dispatcher.Call)
}

// Server is the front.
type Server struct {
	options    Options
	dispatcher Dispatcher
	http       http.Server
	listener   atomic.Pointer[net.Listener]
	conns      *connTable
	shutdown   dispatcher.ShutdownSchedule
	left       atomic.Pointer[time.Time] // when Stop was called
	ending     atomic.Bool               // each answer is its connection's last
}

// New returns a front for the core.
func New(c Dispatcher, opt Options) *Server {
	s := &Server{options: opt, dispatcher: c, conns: newConnTable(opt.MaxConns, opt.MaxIdleConns, opt.Logger),
		shutdown: dispatcher.NewShutdownSchedule(opt.MaxDeadline)}
	s.http = http.Server{Handler: s, ReadTimeout: requestWithin, IdleTimeout: idleFor + idleFor/2 + s.shutdown.ServeConnsFor, MaxHeaderBytes: maxHead,
		ConnState: s.conns.state, ConnContext: withConn, ErrorLog: slog.NewLogLogger(opt.Logger.Handler(), slog.LevelWarn)}
	return s
}

// Serve accepts until Stop.
func (s *Server) Serve(l net.Listener) error {
	s.listener.Store(&l)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		tick := time.NewTicker(idleFor / 8)
		defer tick.Stop()
		for {
			select {
			case <-ended:
				return
			case <-tick.C:
				s.conns.endIdle(idleFor, stopWithin)
			}
		}
	}()
	err := s.http.Serve(&listener{Listener: l, table: s.conns})
	if errors.Is(err, http.ErrServerClosed) || s.left.Load() != nil {
		return nil
	}
	return err
}

var _ Dispatcher = (*dispatcher.Dispatcher)(nil)
