package clienthttp

import "sync/atomic"

// connState is what a client connection is doing. These are all its transitions; each is a compare-and-swap, so that a
// connection is never closed to make room once the handler has claimed a request on it:
//
//	from       to         made by     when
//	idle       receiving  reader      bytes of a request have been read
//	receiving  inFlight   handler     it claims the request
//	responded  inFlight   handler     it claims a request that net/http had read ahead, and no read has begun since
//	idle       inFlight   handler     the same, after net/http's background read has begun: see below
//	inFlight   responded  state hook  net/http has written the response
//	receiving  responded  state hook  net/http has responded by itself, without the handler
//	responded  idle       reader      a read begins after a response
//	inFlight   malformed  handler     the request is malformed; what is left of it is read and discarded
//	idle       closed     table       eviction, keep-alive timeout or shutdown, if nothing is unread
//	receiving  closed     table       the same, or a pause within a request, if nothing is unread
//	malformed  closed     table       eviction or shutdown, whatever is unread
//	idle       closed     reader      the deadline of a read is over, and nothing is unread
//
// The reader is the goroutine that reads from the connection, the state hook is connTable.onConnState. The one exception to
// the compare-and-swaps is a new connection far over the limit: it is stored as closed before anything is read from it.
//
// Known fault, see docs/open.md: net/http starts its background read before the handler claims a request. If it had read
// that request ahead, the background read turns responded into idle. Until the handler claims the request, the connection
// may then be closed as idle, and the request gets no response. The same holds for part of a request that was read ahead,
// while net/http waits for the rest.
type connState int32

const (
	// stateIdle: net/http waits for a request, and no byte of one has been read, but for what was read ahead: see connState.
	stateIdle connState = iota
	// stateReceiving: part of a request has been read, or all of it and the handler has not claimed it yet.
	stateReceiving
	// stateInFlight: the handler has a request that has no response yet.
	stateInFlight
	// stateResponded: the request has its response, and net/http may hold bytes of the next one that it read ahead.
	stateResponded
	// stateMalformed: the request was malformed and has its response; what is left of it is discarded, and none follows.
	stateMalformed
	// stateClosed: closed by this side; nothing that is read from it counts any more.
	stateClosed
)

var connStateNames = [...]string{
	stateIdle:      "IDLE",
	stateReceiving: "RECEIVING",
	stateInFlight:  "IN_FLIGHT",
	stateResponded: "RESPONDED",
	stateMalformed: "MALFORMED",
	stateClosed:    "CLOSED",
}

// String returns the state's name in logs.
func (s connState) String() string {
	return connStateNames[s]
}

// atomicConnState holds a connState for several goroutines. Its zero value is stateIdle.
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

// closeReason says in a log line why a connection ended.
type closeReason string

const (
	// reasonNone: none is noted, and CLOSED_BY_SERVER or SHUTDOWN is logged.
	reasonNone closeReason = ""
	// reasonConnectionLimit: evicted to make room for another connection, or accepted over the limit itself.
	reasonConnectionLimit closeReason = "CONNECTION_LIMIT"
	// reasonNoFirstRequest: nothing arrived on a new connection within requestReadTimeout.
	reasonNoFirstRequest closeReason = "NO_FIRST_REQUEST"
	// reasonKeepAliveTimeout: no further request arrived within keepAliveTimeout.
	reasonKeepAliveTimeout closeReason = "KEEP_ALIVE_TIMEOUT"
	// reasonRequestReadTimeout: a request did not arrive completely within requestReadTimeout, or paused for
	// requestPauseTimeout.
	reasonRequestReadTimeout closeReason = "REQUEST_READ_TIMEOUT"
	// reasonShutdown: closed for the graceful shutdown.
	reasonShutdown closeReason = "SHUTDOWN"
	// reasonClosedByServer: closed after a response that announces it or over bytes that are no request, or no other reason
	// is logged.
	reasonClosedByServer closeReason = "CLOSED_BY_SERVER"
	// reasonClientClosed: a read found that the client has closed the connection or its write side, also while a request was
	// in flight.
	reasonClientClosed closeReason = "CLIENT_CLOSED"
	// reasonClientAborted: the client closed the connection while a request was in flight, and no read has found that: the
	// handler's own check did, after net/http had stopped its background reads.
	reasonClientAborted closeReason = "CLIENT_ABORTED"
	// reasonClientReset: the client reset the connection.
	reasonClientReset closeReason = "CLIENT_RESET"
	// reasonReadFailed: any other error of a read. It is noted but never logged: see loggedCloseReason.
	reasonReadFailed closeReason = "CLIENT_READ_FAILED"
	// reasonWriteFailed: a write failed or took longer than writeTimeout.
	reasonWriteFailed closeReason = "CLIENT_WRITE_FAILED"
)
