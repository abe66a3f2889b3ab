package clienthttp

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"dapplegate/internal/dispatcher"
)

const (
	// readinessPath is the path of the platform's readiness check: whether clients may be sent to this server.
	readinessPath = "/-/ready"
	// closeCheckInterval is how often a connection is checked for a close that net/http can no longer detect. Nothing may
	// be forwarded for a client later than 0.1 s after the client has closed its connection.
	closeCheckInterval = 25 * time.Millisecond
	// writeTimeout limits how long a client may take to read a target's data.
	writeTimeout = 5 * time.Second
)

// ServeHTTP implements http.Handler: it reads a request, submits it to the dispatcher and writes the response.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connFromContext(r.Context())
	s.handle(w, r, conn)
	conn.recordResponded()
}

// handle implements ServeHTTP for the given client connection. It panics with http.ErrAbortHandler if there is no
// response.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, conn *clientConn) {
	if r.URL.Path == readinessPath || s.options.ReadinessOnly || conn.overLimit {
		if len(r.TransferEncoding) > 0 { // the end of such a request is known to net/http alone
			s.respondMalformed(w, conn, errTransferEncoding)
			return
		}
		conn.claimRequest()
		s.respondLocally(w, r)
		return
	}
	if r.ContentLength > 0 && conn.clientClosed() {
		// The client has left while its request waited. What it has sent of the body is not worth reading.
		conn.recordCloseReason(reasonClientClosed)
		panic(http.ErrAbortHandler)
	}
	memory := requestMemory{budget: s.requestBudget}
	defer memory.release()
	call, err := s.readRequest(r, &memory)
	var malformed *requestError
	switch {
	case errors.As(err, &malformed):
		s.respondMalformed(w, conn, malformed)
		return
	case err != nil:
		s.respondOutOfMemory(w, conn)
		return
	}
	conn.inFlightRequestID.Store(&call.ClientRequestID)
	conn.claimRequest()
	s.logLateRead(conn, call.ClientRequestID)
	liftReadDeadline(w)
	call.ReceivedAt = conn.requestArrival()
	call.ClientTimeout = s.shutdownSchedule.LimitTimeout(call.ClientTimeout, call.ReceivedAt, s.shutdownStartedAt.Load())
	call.ClientClosed = conn.mayHaveClosed
	s.dispatch(w, r, conn, call)
}

// respondLocally responds to a request that does not go to the dispatcher. A readiness check on a connection over the
// limit gets its usual response, which does not close the connection.
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
	case s.shutdownStartedAt.Load() != nil:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case s.options.Ready != nil && !s.options.Ready():
		http.Error(w, "no list of targets yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// readRequest reads the head and the body of a request into a call for the dispatcher. Its error is a *requestError if the
// request is malformed, or else errOutOfMemory.
func (s *Server) readRequest(r *http.Request, memory *requestMemory) (*dispatcher.Call, error) {
	call, forwarded, malformed := s.parseHead(r)
	if malformed != nil {
		return nil, malformed
	}
	if err := memory.acquire(headBytes(r)); err != nil {
		return nil, err
	}
	body, err := readBody(r, memory)
	if err != nil {
		return nil, err
	}
	forwarded.Body = body
	call.Payload = forwarded
	return call, nil
}

// respondOutOfMemory rejects a request for which there is no memory. net/http reads the rest of its body before it writes the
// response, so that the connection can carry further requests.
func (s *Server) respondOutOfMemory(w http.ResponseWriter, conn *clientConn) {
	conn.claimRequest()
	s.writeResponse(w, dispatcher.Overloaded)
}

// liftReadDeadline removes the deadline for the arrival of the request, so that it does not end the connection while the
// request is in flight.
func liftReadDeadline(w http.ResponseWriter) {
	err := http.NewResponseController(w).SetReadDeadline(time.Time{})
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		panic(http.ErrAbortHandler)
	}
}

// dispatch submits the call and writes its response, or cancels the call when the client closes the connection.
func (s *Server) dispatch(w http.ResponseWriter, r *http.Request, conn *clientConn, call *dispatcher.Call) {
	// The buffer lets the dispatcher's goroutine respond without waiting for this one.
	responses := make(chan dispatcher.Response, 1)
	call.Respond = func(response dispatcher.Response) { responses <- response }
	presence := conn.checkPresence()
	if presence == clientGone {
		// The client closed the connection while this request waited behind another.
		panic(http.ErrAbortHandler)
	}
	if presence == clientUnknown || !s.dispatcher.Submit(call) {
		s.writeResponse(w, dispatcher.Overloaded)
		return
	}
	response, ok := awaitResponse(r.Context(), conn, responses)
	if !ok {
		if !conn.clientClosed() {
			s.options.Logger.Warn("request was abandoned although its client has not closed the connection",
				slog.String("request", call.ClientRequestID))
		}
		conn.recordCloseReason(reasonClientAborted)
		s.dispatcher.Cancel(call)
		// If the handler returned normally, net/http would write an empty 200, a response that no target gave.
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, response)
}

// awaitResponse waits for the response. If the client closes the connection first, ok is false.
//
// Once net/http has stopped its background reads, it no longer cancels the context when the client closes. From then on
// the connection itself is checked, so that no request is forwarded for a client that has closed.
func awaitResponse(
	ctx context.Context, conn *clientConn, responses <-chan dispatcher.Response,
) (response dispatcher.Response, ok bool) {
	closeDetectionLost := conn.closeDetectionLost
	var closeCheck <-chan time.Time
	for {
		select {
		case response := <-responses:
			return response, true
		case <-closeDetectionLost:
			ticker := time.NewTicker(closeCheckInterval)
			defer ticker.Stop()
			closeCheck = ticker.C
			closeDetectionLost = nil
		case <-closeCheck:
			conn.readFurtherAhead()
			if conn.clientClosed() {
				return dispatcher.Response{}, false
			}
		case <-ctx.Done():
			return dispatcher.Response{}, false
		}
	}
}

// writeResponse writes the final response to a request. A failed write is recorded as the connection's close reason.
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

// writeBody writes a target's data with a Content-Length, so that the client can detect a truncated response.
func writeBody(w http.ResponseWriter, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(body)
}
