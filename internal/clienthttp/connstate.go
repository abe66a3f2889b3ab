package clienthttp

import "sync/atomic"

// connState is what a client connection is doing. These are all its transitions; each is a compare-and-swap, so that a
// connection is never closed to make room once the handler has claimed a request on it:
//
//	from       to         made by     when
//	idle       receiving  reader      bytes of a request have been read
//	receiving  received   reader      net/http has been given all of the request
//	received   inFlight   handler     it claims the request
//	receiving  inFlight   handler     the same, for a malformed request of which not all has been read
//	inFlight   responded  handler     it has written the response
//	inFlight   malformed  handler     the request is malformed; what is left of it is read and discarded
//	responded  idle       state hook  net/http has finished the response, and nothing of a further request has been read
//	responded  receiving  state hook  the same, and bytes of a further request have been read ahead
//	idle       closed     table       eviction, keep-alive timeout or shutdown, if nothing is unread
//	receiving  closed     table       the same, or a request that takes too long, if nothing is unread
//	received   closed     table       a request whose handler has not claimed it for long, if nothing is unread
//	malformed  closed     table       eviction or shutdown, whatever is unread
//	idle       closed     reader      the deadline of a read is over, and nothing is unread
//
// The reader is the goroutine that reads from the connection, the state hook is connTable.onConnState. If net/http responds
// by itself, without the handler, the hook leads from the state of then to the next request. The one exception to the
// compare-and-swaps is a new connection far over the limit: it is stored as closed before anything is read from it.
type connState int32

const (
	// stateIdle: net/http waits for a request, and no byte of one has been read.
	stateIdle connState = iota
	// stateReceiving: part of a request has been read.
	stateReceiving
	// stateReceived: net/http has been given all of a request, and the handler has not claimed it yet.
	stateReceived
	// stateInFlight: the handler has a request that has no response yet.
	stateInFlight
	// stateResponded: the handler has written the response, and net/http has not finished with the request.
	stateResponded
	// stateMalformed: the request was malformed and has its response; what is left of it is discarded, and none follows.
	stateMalformed
	// stateClosed: closed by this side; nothing that is read from it counts any more.
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
	// reasonRequestReadTimeout: a request did not arrive completely within requestReadTimeout, or did not reach its
	// handler within requestClaimTimeout.
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
