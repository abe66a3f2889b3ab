package nvme

import (
	"bufio"
	"errors"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/mailbox"
)

const (
	handshakeTimeout = 2 * time.Second // from accept to the completion of Connect
	writeTimeout     = 5 * time.Second // for one PDU
	readBufferLen    = 16 << 10        // bytes
)

// controllerQueue is a connection of a host. Once connected, it is the submission and completion queue of one queue ID in an
// association. The reader goroutine (readLoop) handles PDUs from the host. The writer goroutine (writeLoop) sends the PDUs in
// the outbox and closes the connection. Any goroutine may end the queue, and abort or complete its commands.
type controllerQueue struct {
	server     *Server
	conn       net.Conn
	acceptedAt time.Time
	framing    framing

	outbox    *mailbox.Mailbox[[]byte] // PDUs to send; a nil entry ends the connection
	endOnce   sync.Once
	endReason string        // why the connection ended, for the log
	done      chan struct{} // closed once the connection is closed and the queue has left its association

	// connected is set once Connect has completed. The goroutine that accepts connections reads it.
	connected atomic.Bool
	// association is nil before Connect. The reader writes it once, in connect, without mu; the writer reads it in close.
	association *controllerAssociation

	mu sync.Mutex
	// The reader writes id and size once, in connect, with mu held, and reads them without it. Other goroutines read them with
	// mu held, except that the writer reads id and commandCount without mu when it closes the connection.
	id           uint16                     // queue ID; 0: admin queue
	size         uint16                     // number of entries; 0 before Connect
	sqHead       uint16                     // submission queue head pointer
	commandCount int                        // commands since the connection was accepted; written by the reader with mu held
	commands     map[uint16]*pendingCommand // commands without a completion, by command ID; nil: the connection is closed
	lastTTAG     uint16                     // transfer tag of the queue's last R2T; wraps to 0 after 65535
}

// pendingCommand is a command that has not been completed yet.
type pendingCommand struct {
	entry     command
	ioRequest *IORequest       // nil: not a read or write, or not accepted
	call      *dispatcher.Call // nil: not submitted to the dispatcher

	// The fields below are used for a write whose data the host sends after an R2T.

	// ttag is the transfer tag of the R2T; 0 means that no data is expected. Because the tag counter wraps, every 65536th R2T
	// of a queue has tag 0 as well, and the data that the host sends for it is treated as unexpected.
	ttag      uint16
	received  int         // bytes of data received
	dataTimer *time.Timer // ends the connection if the data does not arrive in time
}

func newControllerQueue(s *Server, conn net.Conn) *controllerQueue {
	return &controllerQueue{
		server:     s,
		conn:       conn,
		acceptedAt: time.Now(),
		outbox:     mailbox.New[[]byte](),
		done:       make(chan struct{}),
		commands:   map[uint16]*pendingCommand{},
	}
}

// end makes the writer close the connection after it has sent the PDUs in the outbox. Only the reason of the first call is
// logged.
func (q *controllerQueue) end(reason string) {
	q.endOnce.Do(func() {
		q.endReason = reason
		q.outbox.Put(nil)
	})
}

// writeLoop sends the PDUs in the outbox until the queue is ended or a write fails, and then closes the connection.
func (q *controllerQueue) writeLoop() {
	defer q.close()
	var spare [][]byte
	for {
		<-q.outbox.Wake()
		batch := q.outbox.Take(spare)
		for _, pdu := range batch {
			if pdu == nil {
				return
			}
			if err := q.write(pdu); err != nil {
				q.end(reasonWriteFailed)
				return
			}
		}
		spare = batch
	}
}

func (q *controllerQueue) write(pdu []byte) error {
	if err := q.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := q.conn.Write(pdu)
	return err
}

// close closes the connection, cancels its pending commands, since their host no longer waits for them, and removes the queue
// from the association. Removing the admin queue ends the association.
func (q *controllerQueue) close() {
	_ = q.conn.Close() // the error does not matter, since nothing is written after this
	q.mu.Lock()
	abandoned := q.commands
	q.commands = nil
	q.mu.Unlock()
	for _, p := range abandoned {
		q.release(p)
		if p.call != nil {
			q.server.dispatcher.Cancel(p.call)
		}
	}
	q.server.mu.Lock()
	delete(q.server.queues, q)
	q.server.mu.Unlock()
	if q.association != nil {
		q.association.removeQueue(q)
	}
	q.server.logConnectionEnd(q, q.endReason)
	close(q.done)
}

// release releases the resources of a command that is no longer pending.
func (q *controllerQueue) release(p *pendingCommand) {
	if p.dataTimer != nil {
		p.dataTimer.Stop()
	}
	if p.ioRequest != nil {
		q.server.bufferedBytes.Add(-int64(p.ioRequest.DataLen))
	}
	if p.call != nil {
		q.server.openCommands.Add(-1)
	}
}

// readLoop handles PDUs until the connection fails or the host ends it or violates the protocol. It answers a violation with
// a termination request.
func (q *controllerQueue) readLoop() {
	err := q.serve()
	var violation *protocolError
	if errors.As(err, &violation) {
		q.outbox.Put(terminationPDU(pduC2HTermReq, violation))
		q.server.options.Logger.Warn("host violated the protocol",
			slog.String("peer", q.conn.RemoteAddr().String()),
			slog.String("reason", reasonProtocolError),
			slog.String("error", violation.Error()))
	}
	q.end(endReason(err))
}

// endReason returns the logged reason for the error that ended the reader.
func endReason(err error) string {
	var violation *protocolError
	var netErr net.Error
	switch {
	case errors.As(err, &violation):
		return reasonProtocolError
	case errors.Is(err, errHostTerminated):
		return reasonHostTerminated
	case errors.As(err, &netErr) && netErr.Timeout():
		return reasonHandshakeTimeout // only reads before the completion of Connect have a deadline
	case errors.Is(err, io.EOF):
		return reasonHostClosed
	}
	return reasonHostReset
}

// serve performs the handshake and then handles PDUs until an error occurs, which it returns.
func (q *controllerQueue) serve() error {
	reader := bufio.NewReaderSize(q.conn, readBufferLen)
	q.setReadDeadline(time.Now().Add(handshakeTimeout))
	if err := q.handshake(reader); err != nil {
		return err
	}
	handshaking := true
	for {
		p, err := readPDU(reader, q.framing)
		if err != nil {
			return err
		}
		if err := q.handle(p); err != nil {
			return err
		}
		if handshaking && q.association != nil {
			handshaking = false
			q.setReadDeadline(time.Time{})
		}
	}
}

// setReadDeadline sets the deadline for reads. It fails only on a closed connection, which the next read reports.
func (q *controllerQueue) setReadDeadline(t time.Time) { _ = q.conn.SetReadDeadline(t) }

// handshake answers ICReq with ICResp. The host chooses the digests, and the alignment of the data that it receives.
func (q *controllerQueue) handshake(reader io.Reader) error {
	p, err := readPDU(reader, framing{})
	if err != nil {
		return err
	}
	if p.kind != pduICReq {
		return &protocolError{fes: fesSequence, cause: "connection must begin with ICReq", header: p.header}
	}
	if p.u16(offsetFormatVersion) != 0 {
		return &protocolError{fes: fesUnsupported, fei: offsetFormatVersion, cause: "unsupported PDU format", header: p.header}
	}
	dataAlignment := p.header[offsetDataAlignment]
	if dataAlignment > maxDataAlignment {
		return &protocolError{fes: fesInvalidHeader, fei: offsetDataAlignment, cause: "invalid data alignment", header: p.header}
	}
	digests := p.header[offsetDigests] & (enableHeaderDigest | enableDataDigest)
	q.framing = newFraming(digests, dataAlignment)
	q.outbox.Put(icPDU(pduICResp, digests, maxH2CData))
	return nil
}

// handle handles a PDU received after the handshake.
func (q *controllerQueue) handle(p *pdu) error {
	switch p.kind {
	case pduCapsuleCmd:
		return q.handleCommand(p)
	case pduH2CData:
		return q.handleData(p)
	case pduH2CTermReq:
		return errHostTerminated
	}
	return &protocolError{fes: fesSequence, cause: "PDU type that a host must not send", header: p.header}
}

// send puts a PDU without data into the outbox, for the writer to send.
func (q *controllerQueue) send(kind pduType, header []byte) {
	q.outbox.Put(appendPDU(nil, q.framing, kind, 0, header, nil))
}

// handleCommand handles a command capsule according to its opcode and the queue it arrived on.
func (q *controllerQueue) handleCommand(capsule *pdu) error {
	p, err := q.register(capsule)
	if p == nil || err != nil {
		return err
	}
	switch {
	case !p.entry.hasSupportedFlags():
		q.fail(p, statusInvalidFieldInCommand)
	case capsule.dataDigestError:
		q.complete(p, statusTransientTransport, 0, nil) // without DNR: nothing has been executed
	case q.association == nil:
		q.connect(p, capsule.data)
	case p.entry.opcode() == opFabrics:
		q.handleFabrics(p)
	case q.id == 0:
		q.handleAdmin(p, capsule.data)
	default:
		q.handleIO(p, capsule.data)
	}
	return nil
}

// register adds the command in a capsule to the pending commands. It returns nil if there is nothing to execute: the
// connection is closed, or the command ID is in use, for which register completes the new command with an error.
func (q *controllerQueue) register(capsule *pdu) (*pendingCommand, error) {
	p := &pendingCommand{}
	copy(p.entry[:], capsule.header[commonHeaderLen:])
	id := p.entry.id()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.commandCount++
	if q.size > 0 {
		q.sqHead = (q.sqHead + 1) % q.size
	}
	switch {
	case q.commands == nil:
		return nil, nil
	case q.size > 0 && len(q.commands) >= int(q.size):
		return nil, &protocolError{fes: fesSequence, cause: "more commands than queue entries", header: capsule.header}
	case q.commands[id] != nil:
		q.sendCompletion(id, statusCommandIDConflict|statusDoNotRetry, 0)
		return nil, nil
	}
	q.commands[id] = p
	return p, nil
}

// fail completes a command with an error status and DNR.
func (q *controllerQueue) fail(p *pendingCommand, s status) {
	q.complete(p, s|statusDoNotRetry, 0, nil)
}

// succeed completes a command successfully, with a command-specific result.
func (q *controllerQueue) succeed(p *pendingCommand, result uint64) {
	q.complete(p, statusSuccess, result, nil)
}

// complete puts the data and the completion of a command into the outbox. It returns false if the command is no longer
// pending, so that a command is completed exactly once.
func (q *controllerQueue) complete(p *pendingCommand, s status, result uint64, data []byte) bool {
	id := p.entry.id()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.commands[id] != p {
		return false
	}
	delete(q.commands, id)
	for pdu := range dataPDUs(q.framing, pduC2HData, id, 0, 0, data, maxH2CData) {
		q.outbox.Put(pdu)
	}
	q.sendCompletion(id, s, result)
	// The command must not be released before its completion is in the outbox: Shutdown ends the connections as soon as no
	// command is open, and the completion would be lost.
	q.release(p)
	return true
}

// sendCompletion puts a response capsule into the outbox. The caller must hold mu.
func (q *controllerQueue) sendCompletion(commandID uint16, s status, result uint64) {
	q.send(pduCapsuleResp, completion{result: result, sqHead: q.sqHead, queueID: q.id, commandID: commandID, status: s}.header())
}

// abort aborts a command, as requested by the host on the admin queue. It returns false if the command is not pending.
func (q *controllerQueue) abort(commandID uint16) bool {
	q.mu.Lock()
	p := q.commands[commandID]
	q.mu.Unlock()
	if p == nil || !q.complete(p, statusAbortRequested|statusDoNotRetry, 0, nil) {
		return false
	}
	if p.call != nil {
		q.server.dispatcher.Cancel(p.call)
	}
	return true
}
