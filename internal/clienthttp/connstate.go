package clienthttp

import "sync/atomic"

// connState is what a client connection is doing. These are all its transitions; each is a compare-and-swap, so that a
// connection is never closed to make room once a request on it has been claimed:
//
//	from       to         made by     when
//	idle       receiving  reader      bytes of a request have been read
//	receiving  inFlight   handler     it claims the request
//	idle       inFlight   handler     it claims a request whose last bytes net/http had read ahead
//	responded  inFlight   handler     it claims a request that net/http had read ahead completely
//	inFlight   responded  state hook  net/http has written the response
//	receiving  responded  state hook  net/http has responded by itself, without the handler
//	responded  idle       reader      net/http has used up what it had read ahead, and reads on
//	inFlight   rejected   handler     the request is malformed; what is left of it is read and discarded
//	idle       closed     table       eviction, keep-alive timeout or shutdown, if nothing is unread
//	receiving  closed     table       the same, of a request that has stalled, if nothing is unread
//	rejected   closed     table       the same, whatever is unread
//	idle       closed     reader      the deadline of a read is over, and nothing is unread
//
// The reader is the goroutine that reads from the connection, the state hook is connTable.onConnState. The one exception to
// the compare-and-swaps is a new connection far over the limit: it is stored as closed before anything is read from it.
type connState int32

const (
	// stateIdle: net/http waits for a request, and no byte of one has been read.
	stateIdle connState = iota
	// stateReceiving: part of a request has been read, or all of it and the handler has not claimed it yet.
	stateReceiving
	// stateInFlight: the handler has a request that has no response yet.
	stateInFlight
	// stateResponded: the request has its response, and net/http may hold bytes of the next one that it read ahead.
	stateResponded
	// stateMalformed: the request was malformed and is answered so; what is left of it is discarded, and none follows.
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
	// reasonNone is no reason of its own: the connection's end follows from the response before it or from shutdown.
	reasonNone closeReason = ""
	// reasonConnectionLimit: evicted to make room for another connection, or accepted over the limit itself.
	reasonConnectionLimit closeReason = "CONNECTION_LIMIT"
	// reasonNoFirstRequest: a new connection brought nothing within requestReadTimeout.
	reasonNoFirstRequest closeReason = "NO_FIRST_REQUEST"
	// reasonKeepAliveTimeout: no further request came within keepAliveTimeout.
	reasonKeepAliveTimeout closeReason = "KEEP_ALIVE_TIMEOUT"
	// reasonRequestReadTimeout: a request did not arrive completely in time.
	reasonRequestReadTimeout closeReason = "REQUEST_READ_TIMEOUT"
	// reasonShutdown: the program ends.
	reasonShutdown closeReason = "SHUTDOWN"
	// reasonClosedByServer: closed after a response that announces it, or over bytes that are no request.
	reasonClosedByServer closeReason = "CLOSED_BY_SERVER"
	// reasonClientClosed: the client closed the connection.
	reasonClientClosed closeReason = "CLIENT_CLOSED"
	// reasonClientAborted: the client closed the connection while a request was in flight.
	reasonClientAborted closeReason = "CLIENT_ABORTED"
	// reasonClientReset: the client reset the connection.
	reasonClientReset closeReason = "CLIENT_RESET"
	// reasonReadFailed and reasonWriteFailed: any other error of the socket.
	reasonReadFailed  closeReason = "CLIENT_READ_FAILED"
	reasonWriteFailed closeReason = "CLIENT_WRITE_FAILED"
)
