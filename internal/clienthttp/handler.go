package clienthttp

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"dapplegate/internal/dispatcher"
)

const (
	// peerCheckInterval is how often a client that sent more than one request at a time is checked for a close: nothing may
	// be forwarded for it 0.1 s after it has closed.
	peerCheckInterval = 25 * time.Millisecond
	// writeTimeout is how long a client may take to read its response.
	writeTimeout = 5 * time.Second
	// bodyDrainTimeout and maxDrainedBytes bound what is read and discarded of a rejected request's body, so that the client
	// can read the response before a reset.
	bodyDrainTimeout = 3 * time.Second
	maxDrainedBytes  = 64 << 20
)

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connFromContext(r.Context())
	arrived := conn.receivedAt()
	if ready := r.URL.Path == "/-/ready"; ready || s.options.HealthOnly || conn.overLimit {
		conn.claimRequest()
		switch {
		case ready:
			s.ready(w)
		case s.options.HealthOnly:
			http.NotFound(w, r)
		default:
			w.Header().Set("Connection", "close")
			s.write(w, dispatcher.Overloaded)
		}
		return
	}
	j, m, f := s.parseHead(r)
	if f == nil {
		m.Body, f = readBody(r)
	}
	if f != nil {
		refuseBad(w, r, conn, f)
		return
	}
	conn.openRequestID.Store(&j.ClientRequestID)
	conn.claimRequest()
	if len(m.Body) > 0 {
		arrived = conn.receivedAt()
	}
	// The time for the request to come must not run out on it while it is open.
	if err := http.NewResponseController(w).SetReadDeadline(time.Time{}); err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
	j.ClientTimeout = s.shutdown.LimitTimeout(j.ClientTimeout, arrived, s.shutdownAt.Load())
	// The core's goroutine must not wait for a client: the answer has a place of its own.
	final := make(chan dispatcher.Response, 1)
	j.ReceivedAt, j.Payload, j.Respond, j.ClientGone = arrived, m, func(a dispatcher.Response) { final <- a }, conn.peerClosed
	ahead := conn.pipelined
	select {
	case <-ahead:
		if conn.peerClosed() { // with this request unread
			panic(http.ErrAbortHandler)
		}
	default:
	}
	if !s.dispatcher.Submit(j) {
		// Nothing of it was taken or sent: a repeat is harmless.
		s.write(w, dispatcher.Overloaded)
		return
	}
	left := r.Context().Done()
	var look <-chan time.Time
	for {
		select {
		case a := <-final:
			s.write(w, a)
			return
		case <-ahead:
			tick := time.NewTicker(peerCheckInterval)
			defer tick.Stop()
			ahead, look = nil, tick.C
			continue
		case <-look:
			if !conn.peerClosed() {
				continue
			}
		case <-left:
		}
		conn.noteCloseReason(reasonClientAborted)
		s.dispatcher.Cancel(j)
		// A plain return would be answered with an empty 200, which no target made.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) ready(w http.ResponseWriter) {
	switch {
	case s.shutdownAt.Load() != nil:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case s.options.Ready != nil && !s.options.Ready():
		http.Error(w, "no list of targets yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// refuseBad answers what could not be taken, before what is left of its body, and then reads that away for a while. None
// of these is a 429 or 503: a repeat would fare no better.
func refuseBad(w http.ResponseWriter, r *http.Request, conn *clientConn, f *RequestError) {
	conn.claimRequest()
	rc := http.NewResponseController(w)
	// Without it net/http would first wait for the body, which may never come.
	rc.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	http.Error(w, f.Message, f.Status)
	flushed := rc.Flush() == nil
	conn.state.CompareAndSwap(stateInFlight, stateRejected)
	if flushed && f.Status != http.StatusRequestTimeout && rc.SetReadDeadline(time.Now().Add(bodyDrainTimeout)) == nil {
		io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(r.Body, maxDrainedBytes), make([]byte, 16<<10))
	}
}

// write gives the one final answer. Its length is told ahead, so that a cut one shows.
func (s *Server) write(w http.ResponseWriter, a dispatcher.Response) {
	if s.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
	switch a.Status {
	case dispatcher.Served:
		body, _ := a.Payload.([]byte)
		http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		h := w.Header()
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(http.StatusOK)
		w.Write(body)
	case dispatcher.Rejected:
		if a.RetryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", a.RetryAfter.Seconds()))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	case dispatcher.Duplicate:
		w.Header().Set("Connection", "close")
		http.Error(w, "Request-Id: a request of that id is open or may have run", http.StatusConflict)
	default:
		http.Error(w, "failed: it may have run", http.StatusBadGateway)
	}
}
