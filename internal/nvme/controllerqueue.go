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
	handshakeTimeout = 2 * time.Second // from accept to Connect
	writeTimeout     = 5 * time.Second // of one PDU
	readBufferLen    = 16 << 10
)

// controllerQueue is a connection of a host: the submission and completion queue of one ID in an association. The reader's
// goroutine, readLoop, handles PDUs from the host. The writer's, writeLoop, sends those in the outbox and closes the
// connection. Any goroutine may end the queue, abort its commands or complete them.
type controllerQueue struct {
	server     *Server
	conn       net.Conn
	acceptedAt time.Time
	framing    framing

	outbox    *mailbox.Mailbox[[]byte] // PDUs to send; nil ends the connection
	endOnce   sync.Once
	endReason string
	done      chan struct{} // closed after the connection

	// connected says that Connect has completed. The accepting goroutine reads it.
	connected atomic.Bool
	// association is nil before Connect. The reader writes it once, in connect, without mu; the writer reads it in close.
	association *controllerAssociation

	mu sync.Mutex
	// The reader writes id and size once, in connect, under mu, and reads them without it; others read them under mu. The
	// writer reads id and commandCount without mu when it closes the connection.
	id           uint16                     // queue ID; 0: admin queue
	size         uint16                     // entries; 0 before Connect
	sqHead       uint16                     // submission queue head pointer
	commandCount int                        // since the connection was accepted; the reader counts under mu
	commands     map[uint16]*pendingCommand // without a completion, by command ID; nil: the connection is closed
	lastTTAG     uint16                     // of the queue's last R2T; wraps to 0 after 65535
}

// pendingCommand is a command without a completion.
type pendingCommand struct {
	entry command
	io    *IORequest       // nil: not a read or write, or rejected at once
	call  *dispatcher.Call // nil: not at the dispatcher

	// The rest is of a write whose data the host sends after an R2T.

	// ttag is the tag of the R2T. 0 means that no data is expected. The counter of tags wraps, so that every 65536th
	// R2T of a queue has tag 0 too, and its data is taken for unexpected.
	ttag      uint16
	received  int // bytes
	dataTimer *time.Timer
}

func newQueue(s *Server, conn net.Conn) *controllerQueue {
	return &controllerQueue{
		server:     s,
		conn:       conn,
		acceptedAt: time.Now(),
		outbox:     mailbox.New[[]byte](),
		done:       make(chan struct{}),
		commands:   map[uint16]*pendingCommand{},
	}
}

// end closes the connection after the PDUs that are in the outbox. Only the first reason counts.
func (q *controllerQueue) end(reason string) {
	q.endOnce.Do(func() {
		q.endReason = reason
		q.outbox.Put(nil)
	})
}

// writeLoop sends what is in the outbox until the connection ends.
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

// close closes the connection, cancels its commands, whose host no longer waits, and leaves the association; with the admin
// queue that ends.
func (q *controllerQueue) close() {
	_ = q.conn.Close() // nothing is written any more
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
		q.association.leave(q)
	}
	q.server.logEnd(q, q.endReason)
	close(q.done)
}

// release returns the resources of a command that is no longer pending.
func (q *controllerQueue) release(p *pendingCommand) {
	if p.dataTimer != nil {
		p.dataTimer.Stop()
	}
	if p.io != nil {
		q.server.bufferedBytes.Add(-int64(p.io.Bytes))
	}
	if p.call != nil {
		q.server.openCommands.Add(-1)
	}
}

// readLoop handles PDUs until the connection fails or the host ends it. A violation of the protocol is answered with a
// termination request.
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

// endReason returns the log reason for what ended the reader.
func endReason(err error) string {
	var violation *protocolError
	var netErr net.Error
	switch {
	case errors.As(err, &violation):
		return reasonProtocolError
	case errors.Is(err, errHostTerminated):
		return reasonHostTerminated
	case errors.As(err, &netErr) && netErr.Timeout():
		return reasonHandshakeTimeout // no other read has a deadline
	case errors.Is(err, io.EOF):
		return reasonHostClosed
	}
	return reasonHostReset
}

// serve does the handshake, and handles PDUs until an error, which it returns.
func (q *controllerQueue) serve() error {
	in := bufio.NewReaderSize(q.conn, readBufferLen)
	q.setReadDeadline(time.Now().Add(handshakeTimeout))
	if err := q.handshake(in); err != nil {
		return err
	}
	handshaking := true
	for {
		p, err := readPDU(in, q.framing)
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

// setReadDeadline bounds reads until t. It fails only on a closed connection, which the next read reports.
func (q *controllerQueue) setReadDeadline(t time.Time) { _ = q.conn.SetReadDeadline(t) }

// handshake answers ICReq with ICResp: the host chooses the digests and the alignment of the data it gets.
func (q *controllerQueue) handshake(in io.Reader) error {
	p, err := readPDU(in, framing{})
	if err != nil {
		return err
	}
	if p.kind != pduICReq {
		return &protocolError{fes: fesSequence, cause: "connection must begin with ICReq", header: p.header}
	}
	if p.u16(offsetFormatVersion) != 0 {
		return &protocolError{fes: fesUnsupported, fei: offsetFormatVersion, cause: "PDU format version", header: p.header}
	}
	dataAlignment := p.header[offsetDataAlignment]
	if dataAlignment > maxDataAlignment {
		return &protocolError{fes: fesInvalidHeader, fei: offsetDataAlignment, cause: "data alignment", header: p.header}
	}
	digests := p.header[offsetDigests] & (enableHeaderDigest | enableDataDigest)
	q.framing = newFraming(digests, dataAlignment)
	q.outbox.Put(icPDU(pduICResp, digests, maxH2CData))
	return nil
}

// handle handles a PDU after the handshake.
func (q *controllerQueue) handle(p *pdu) error {
	switch p.kind {
	case pduCapsuleCmd:
		return q.handleCommand(p)
	case pduH2CData:
		return q.handleData(p)
	case pduH2CTermReq:
		return errHostTerminated
	}
	return &protocolError{fes: fesSequence, cause: "PDU type not for a controller", header: p.header}
}

// send puts a PDU without data into the outbox.
func (q *controllerQueue) send(kind pduType, header []byte) {
	q.outbox.Put(appendPDU(nil, q.framing, kind, 0, header, nil))
}

// handleCommand accepts a command capsule and dispatches it by queue and opcode.
func (q *controllerQueue) handleCommand(capsule *pdu) error {
	p, err := q.register(capsule)
	if p == nil || err != nil {
		return err
	}
	switch {
	case !p.entry.isValid():
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

// register makes the entry of a command capsule a pending command. It returns nil if it has none: the connection is closed,
// or the command ID is in use, which is completed at once.
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
		return nil, &protocolError{fes: fesSequence, cause: "more commands than the queue holds", header: capsule.header}
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

// succeed completes a command with a command specific result.
func (q *controllerQueue) succeed(p *pendingCommand, result uint64) {
	q.complete(p, statusSuccess, result, nil)
}

// complete sends the completion of a command, with its data before it. It returns false if the command is not pending any
// more: a command has exactly one completion.
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
	// Released only now: Shutdown ends connections as soon as no command is open, and this completion would be lost if it
	// were not in the outbox before that.
	q.release(p)
	return true
}

// sendCompletion puts a response capsule into the outbox. The caller holds mu.
func (q *controllerQueue) sendCompletion(commandID uint16, s status, result uint64) {
	q.send(pduCapsuleResp, completion{result: result, sqHead: q.sqHead, queueID: q.id, commandID: commandID, status: s}.header())
}

// abort completes a command that the host aborts on the admin queue. It returns false if there is no such command.
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
