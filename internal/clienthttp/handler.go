package clienthttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"dapplegate/internal/dispatcher"
)

const (
	// readinessPath is where the platform asks whether clients may be sent here.
	readinessPath = "/-/ready"
	// peerCheckInterval is how often a connection on which net/http no longer detects a close is checked for one: nothing
	// may be forwarded for a client 0.1 s after it has closed.
	peerCheckInterval = 25 * time.Millisecond
	// writeTimeout is how long a client may take to read a target's data.
	writeTimeout = 5 * time.Second
	// bodyDiscardTimeout and maxDiscardedBytes bound what is read and discarded of a malformed request's body, so that the
	// client can read the response before a reset.
	bodyDiscardTimeout = 3 * time.Second
	maxDiscardedBytes  = 64 << 20
	// discardBufferSize is in bytes.
	discardBufferSize = 16 << 10
)

// ServeHTTP implements http.Handler: it reads a request, hands it to the dispatcher and writes the response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connFromContext(r.Context())
	s.handle(w, r, conn)
	conn.noteResponded()
}

// handle is ServeHTTP with the client's connection. It panics with http.ErrAbortHandler if there is no response.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	if r.URL.Path == readinessPath || s.options.ReadinessOnly || conn.overLimit {
		conn.claimRequest()
		s.respondLocally(w, r)
		return
	}
	call, malformed := s.readRequest(r)
	if malformed != nil {
		respondMalformed(w, r, conn, malformed)
		return
	}
	conn.openRequestID.Store(&call.ClientRequestID)
	conn.claimRequest()
	s.logLateRead(conn, call.ClientRequestID)
	liftReadDeadline(w)
	call.ReceivedAt = conn.requestArrival()
	call.ClientTimeout = s.shutdown.LimitTimeout(call.ClientTimeout, call.ReceivedAt, s.shutdownAt.Load())
	call.ClientGone = conn.peerClosed
	s.dispatch(w, r, conn, call)
}

// respondLocally responds to a request that does not go to the dispatcher. A readiness check is answered on a connection
// over the limit as on any other, and does not close it.
func (s *Server) respondLocally(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == readinessPath:
		s.respondReadiness(w)
	case s.options.ReadinessOnly:
		http.NotFound(w, r)
	default: // the connection is over the limit
		w.Header().Set("Connection", "close")
		s.writeResponse(w, dispatcher.Overloaded)
	}
}

func (s *Server) respondReadiness(w http.ResponseWriter) {
	switch {
	case s.shutdownAt.Load() != nil:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case s.options.Ready != nil && !s.options.Ready():
		http.Error(w, "no list of targets yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// readRequest reads the head and the body of a request.
func (s *Server) readRequest(r *http.Request) (*dispatcher.Call, *requestError) {
	call, message, err := s.parseHead(r)
	if err != nil {
		return nil, err
	}
	message.Body, err = readBody(r)
	if err != nil {
		return nil, err
	}
	call.Payload = message
	return call, nil
}

// liftReadDeadline lifts the deadline for the request to arrive, which must not end the connection while the request is in
// flight.
func liftReadDeadline(w http.ResponseWriter) {
	err := http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
}

// dispatch submits the call, and writes its response or cancels it when the client closes.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, conn *clientConn, call *dispatcher.Call) {
	// The buffer keeps the dispatcher's goroutine from waiting for this one.
	responses := make(chan dispatcher.Response, 1)
	call.Respond = func(response dispatcher.Response) { responses <- response }
	if conn.isCloseUndetected() && conn.peerClosed() {
		// The client closed while this request waited behind another.
		panic(http.ErrAbortHandler)
	}
	if !s.dispatcher.Submit(call) {
		s.writeResponse(w, dispatcher.Overloaded)
		return
	}
	response, ok := awaitResponse(r.Context(), conn, responses)
	if !ok {
		conn.noteCloseReason(reasonClientAborted)
		s.dispatcher.Cancel(call)
		// After a plain return net/http would write an empty 200, a response that no target gave.
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, response)
}

// awaitResponse waits for the response, or until the client closes the connection: ok is false then.
//
// Prevents requests from being forwarded for a client that has closed, because the connection itself is checked from the
// time on at which net/http stops its background reads: it does not cancel the context any more then.
func awaitResponse(
	ctx context.Context, conn *clientConn, responses <-chan dispatcher.Response,
) (response dispatcher.Response, ok bool) {
	closeUndetected := conn.closeUndetected
	var peerCheck <-chan time.Time
	for {
		select {
		case response := <-responses:
			return response, true
		case <-closeUndetected:
			ticker := time.NewTicker(peerCheckInterval)
			defer ticker.Stop()
			peerCheck = ticker.C
			closeUndetected = nil
		case <-peerCheck:
			if conn.peerClosed() {
				return dispatcher.Response{}, false
			}
		case <-ctx.Done():
			return dispatcher.Response{}, false
		}
	}
}

// respondMalformed responds to a request that cannot be accepted, before the rest of its body has arrived, and then reads
// and discards that for a while. None of these responses is a 429 or 503: a retry would have the same result.
func respondMalformed(w http.ResponseWriter, r *http.Request, conn *clientConn, malformed *requestError) {
	conn.claimRequest()
	controller := http.NewResponseController(w)
	// Without full duplex net/http would first wait for the body, which may never arrive.
	_ = controller.EnableFullDuplex()
	w.Header().Set("Connection", "close")
	http.Error(w, malformed.Message, malformed.Status)
	flushed := controller.Flush() == nil
	conn.state.CompareAndSwap(stateInFlight, stateMalformed)
	if !flushed || malformed.Status == http.StatusRequestTimeout {
		return
	}
	if controller.SetReadDeadline(time.Now().Add(bodyDiscardTimeout)) == nil {
		discardBody(r.Body)
	}
}

// discardBody reads and discards a body, up to the read deadline and maxDiscardedBytes.
//
// Prevents a reset, after which a client that is still sending may not be able to read its response, because no unread byte
// is left when the connection closes.
func discardBody(body io.Reader) {
	discard := struct{ io.Writer }{io.Discard} // hides io.Discard's ReadFrom, which would not use the buffer
	_, _ = io.CopyBuffer(discard, io.LimitReader(body, maxDiscardedBytes), make([]byte, discardBufferSize))
}

// writeResponse writes the final response of a request. A failed write shows in the connection's close reason.
func (s *Server) writeResponse(w http.ResponseWriter, response dispatcher.Response) {
	if s.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
	switch response.Status {
	case dispatcher.Served:
		body, _ := response.Payload.([]byte)
		writeBody(w, body)
	case dispatcher.Rejected:
		if response.RetryAfter > 0 {
			w.Header().Set("Retry-After", fmt.Sprintf("%.3f", response.RetryAfter.Seconds()))
		}
		http.Error(w, "refused: trying again is harmless", http.StatusServiceUnavailable)
	case dispatcher.Duplicate:
		w.Header().Set("Connection", "close")
		http.Error(w, "Request-Id: a request of that id is open or may have run", http.StatusConflict)
	default:
		http.Error(w, "failed: it may have run", http.StatusBadGateway)
	}
}

// writeBody writes a target's data with a Content-Length, so that a client can tell a truncated response from a complete one.
func writeBody(w http.ResponseWriter, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}
