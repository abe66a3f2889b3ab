package clienthttp

import "sync/atomic"

// connState is the state of a client connection. These are all transitions. Each is a compare-and-swap, so that a
// connection is never evicted once the handler has claimed a request on it:
//
//	from       to         made by     when
//	idle       receiving  reader      bytes of a request have been read
//	receiving  received   reader      net/http has been given all of the request
//	received   inFlight   handler     it claims the request
//	receiving  inFlight   handler     the same, without having read all of the request: see claimRequest
//	inFlight   responded  handler     it has written the response
//	inFlight   malformed  handler     the request is malformed; the lingerer reads and discards the rest of it
//	responded  idle       state hook  net/http has finished the response, and nothing of a further request has been read
//	responded  receiving  state hook  the same, and bytes of a further request have been read ahead
//	idle       closed     table       eviction, keep-alive timeout or shutdown, if nothing is unread
//	receiving  closed     table       the same, or the request takes too long, if nothing is unread
//	received   closed     table       the handler has not claimed the request for too long, if nothing is unread
//	malformed  closed     table       eviction or shutdown, even if bytes are unread
//	malformed  closed     lingerer    the client has closed, or may not send any more
//	idle       closed     reader      the deadline of a read has passed, and nothing is unread
//
// The reader is the goroutine that reads from the connection, the table is connTable, and the state hook is
// connTable.onConnState. If net/http responds without calling the handler, the state hook makes the transition from
// whatever state the connection is in. A new connection far over the limit is the one exception to the compare-and-swaps:
// its state is stored as closed before anything is read.
type connState int32

const (
	// stateIdle: net/http waits for a request, and no byte of it has been read.
	stateIdle connState = iota
	// stateReceiving: part of a request has been read.
	stateReceiving
	// stateReceived: net/http has been given all of a request, and the handler has not claimed it yet.
	stateReceived
	// stateInFlight: the handler has claimed the request and not responded to it yet.
	stateInFlight
	// stateResponded: the handler has written the response, and net/http has not finished the request.
	stateResponded
	// stateMalformed: the response to a malformed request has been sent, the rest of the request is discarded, and no
	// further request is served.
	stateMalformed
	// stateClosed: closed by this side; whatever is read later is ignored.
	stateClosed
)

var connStateNames = [...]string{
	stateIdle:      "IDLE",
	stateReceiving: "RECEIVING",
	stateReceived:  "RECEIVED",
	stateInFlight:  "IN_FLIGHT",
	stateResponded: "RESPONDED",
	stateMalformed: "MALFORMED",
	stateClosed:    "CLOSED",
}

// String returns the name of the state in logs.
func (s connState) String() string {
	return connStateNames[s]
}

// atomicConnState is a connState for use by several goroutines. Its zero value is stateIdle.
type atomicConnState struct {
	value atomic.Int32
}

func (a *atomicConnState) Load() connState {
	return connState(a.value.Load())
}

func (a *atomicConnState) Store(state connState) {
	a.value.Store(int32(state))
}

func (a *atomicConnState) CompareAndSwap(from, to connState) (swapped bool) {
	return a.value.CompareAndSwap(int32(from), int32(to))
}

// closeReason is the reason in the log line for the end of a connection.
type closeReason string

const (
	// reasonNone: no reason is recorded; CLOSED_BY_SERVER or SHUTDOWN is logged.
	reasonNone closeReason = ""
	// reasonConnectionLimit: evicted to make room for another connection, or accepted over the limit.
	reasonConnectionLimit closeReason = "CONNECTION_LIMIT"
	// reasonNoFirstRequest: nothing arrived on a new connection within requestReadTimeout.
	reasonNoFirstRequest closeReason = "NO_FIRST_REQUEST"
	// reasonKeepAliveTimeout: no further request arrived within keepAliveTimeout.
	reasonKeepAliveTimeout closeReason = "KEEP_ALIVE_TIMEOUT"
	// reasonRequestReadTimeout: a request did not arrive completely within requestReadTimeout, or did not reach its
	// handler within requestClaimTimeout.
	reasonRequestReadTimeout closeReason = "REQUEST_READ_TIMEOUT"
	// reasonTooManyFields: the head of a request has more than maxHeadLines lines.
	reasonTooManyFields closeReason = "TOO_MANY_FIELDS"
	// reasonUncertainEnd: the head of a request does not tell for certain where the request ends.
	reasonUncertainEnd closeReason = "UNCERTAIN_END"
	// reasonShutdown: closed for the graceful shutdown.
	reasonShutdown closeReason = "SHUTDOWN"
	// reasonClosedByServer: closed after a response that announces the close, or because of bytes that are not a request.
	// Also logged if there is no other reason.
	reasonClosedByServer closeReason = "CLOSED_BY_SERVER"
	// reasonClientClosed: a read found that the client had closed the connection or its write side, with or without a
	// request in flight.
	reasonClientClosed closeReason = "CLIENT_CLOSED"
	// reasonClientAborted: the client closed the connection with a request in flight. The handler's own check found this,
	// not a read, because net/http had stopped its background reads.
	reasonClientAborted closeReason = "CLIENT_ABORTED"
	// reasonClientReset: the client reset the connection.
	reasonClientReset closeReason = "CLIENT_RESET"
	// reasonReadFailed: a read failed with any other error. It is recorded but never logged: see loggedCloseReason.
	reasonReadFailed closeReason = "CLIENT_READ_FAILED"
	// reasonWriteFailed: a write failed or took longer than writeTimeout.
	reasonWriteFailed closeReason = "CLIENT_WRITE_FAILED"
)
