package nvme

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
	"dapplegate/internal/upstream"
	"dapplegate/scheduler"
)

// targetQueue is the host side of an I/O queue of a target. It carries one command at a time.
type targetQueue struct {
	*hostConn
	association      *targetAssociation
	id               uint16
	maxInCapsuleData int
	releaseOnce      sync.Once
}

// Close implements upstream.Conn. It closes the connection and releases the queue ID.
func (q *targetQueue) Close() error {
	err := q.hostConn.Close()
	q.releaseOnce.Do(func() { q.association.releaseQueueID(q.id) })
	return err
}

// IsIdle implements upstream.Conn.
func (q *targetQueue) IsIdle() bool { return q.reader.Buffered() == 0 && socket.IsOpenAndIdle(q.Conn) }

// RoundTrip implements upstream.Conn for a read or write, whose payload is an *IORequest. The data of a write is sent in the
// capsule if it fits, and otherwise when the controller requests it with an R2T.
//
// If an error occurs before the whole capsule and all data of a write have been sent, the status is ConnectFailed, which
// permits another attempt, although the target may have received a part of the data. This relies on targets that execute a
// write only after they have received all of its data, as the controller side of this package does. The specification does
// not guarantee it.
func (q *targetQueue) RoundTrip(attempt dispatcher.Attempt, mayStart func() bool) upstream.RoundTripResult {
	e := newExchange(q, attempt.Payload.(*IORequest))
	capsule := e.capsule()
	q.setDeadline(attempt.Deadline)
	written, err := socket.WriteWhile(q.Conn, capsule, upstream.MayWrite(attempt, mayStart))
	if written < len(capsule) {
		return upstream.NotWritten(attempt, written, err)
	}
	finalStatus, data, err := e.run()
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			q.association.abort(q.id, e.entry.id())
		}
		return upstream.NoResponse(e.failureStatus(err), upstream.ReadErrorReason(err))
	}
	var result upstream.RoundTripResult
	result.Status = attemptStatus(finalStatus)
	result.Payload = data
	if q.SetDeadline(time.Time{}) != nil {
		result.CloseReason = upstream.ReasonClosed
	}
	return result
}

// exchange is the execution of one command on an I/O queue, from its capsule to its completion.
type exchange struct {
	queue       *targetQueue
	entry       *command
	request     *IORequest
	inCapsule   bool   // the data to write is sent in the capsule
	allDataSent bool   // no data remains to be sent after the capsule; always true for a read
	data        []byte // data read so far
}

func newExchange(q *targetQueue, request *IORequest) *exchange {
	op := opRead
	if request.Write {
		op = opWrite
	}
	inCapsule := request.Write && len(request.Data) <= q.maxInCapsuleData
	entry := newCommand(op, q.nextCommandID(), request.DataLen, inCapsule)
	entry.putU32(sqeNamespaceID, request.NamespaceID)
	entry.putU64(sqeStartLBA, request.StartLBA)
	entry.putU16(sqeBlocks, uint16(request.Blocks-1))
	return &exchange{queue: q, entry: entry, request: request, inCapsule: inCapsule, allDataSent: !request.Write || inCapsule}
}

// capsule returns the command capsule.
func (e *exchange) capsule() []byte {
	var inCapsule []byte
	if e.inCapsule {
		inCapsule = e.request.Data
	}
	return appendPDU(nil, e.queue.framing, pduCapsuleCmd, 0, e.entry[:], inCapsule)
}

// failureStatus returns the attempt's status after an error. The target may have executed the command only if all data to
// write has been sent: see RoundTrip.
func (e *exchange) failureStatus(err error) scheduler.AttemptStatus {
	switch {
	case !e.allDataSent:
		return scheduler.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return scheduler.DeadlineExceeded
	}
	return scheduler.ConnectionReset
}

// run handles the controller's PDUs until the completion, or until the last C2HData if its SUCCESS flag replaces the
// completion. It returns the status and the data read. hostConn.execute is the equivalent for admin and Fabrics commands.
func (e *exchange) run() (status, []byte, error) {
	for {
		p, err := e.queue.receive()
		if err != nil {
			return 0, nil, err
		}
		switch p.kind {
		case pduR2T:
			if err := e.sendData(p); err != nil {
				return 0, nil, err
			}
		case pduC2HData:
			if err := e.receiveData(p); err != nil {
				return 0, nil, err
			}
			if p.isLast() && p.flags&flagSuccess != 0 {
				return e.finish(statusSuccess)
			}
		case pduCapsuleResp:
			result := parseCompletion(p)
			if result.commandID != e.entry.id() {
				return 0, nil, &controllerError{cause: "completion of a different command"}
			}
			return e.finish(result.status)
		case pduC2HTermReq:
			return 0, nil, io.ErrUnexpectedEOF
		default:
			return 0, nil, unexpectedPDU(p)
		}
	}
}

// sendData sends the part of a write's data that an R2T requests.
func (e *exchange) sendData(r2t *pdu) error {
	header := parseTransfer(r2t)
	if e.allDataSent || header.commandID != e.entry.id() {
		return &controllerError{cause: "R2T for a command without data to send"}
	}
	// 64-bit arithmetic, because the sum of the controller's offset and length may overflow 32 bits.
	offset, end := int64(header.offset), int64(header.offset)+int64(header.length)
	total := int64(len(e.request.Data))
	if header.length == 0 || end > total {
		return &controllerError{cause: "R2T out of range"}
	}
	part := e.request.Data[offset:end]
	for pdu := range dataPDUs(e.queue.framing, pduH2CData, header.commandID, header.ttag, int(offset), part, e.queue.maxH2CData) {
		if _, err := e.queue.Write(pdu); err != nil {
			return err
		}
	}
	e.allDataSent = end == total
	return nil
}

// receiveData appends a part of a read's data. The parts must arrive in order.
func (e *exchange) receiveData(p *pdu) error {
	header := parseTransfer(p)
	isExpected := !e.request.Write && header.commandID == e.entry.id() && int64(header.offset) == int64(len(e.data))
	if !isExpected || len(e.data)+len(p.data) > e.request.DataLen || p.dataDigestError {
		return &controllerError{cause: "read data unexpected, out of order, too long or with a digest error"}
	}
	e.data = append(e.data, p.data...)
	return nil
}

// finish returns the result of a completed command. It returns an error if a read succeeded without all of its data.
func (e *exchange) finish(s status) (status, []byte, error) {
	if s == statusSuccess && !e.request.Write && len(e.data) != e.request.DataLen {
		return 0, nil, &controllerError{cause: "incomplete data for a successful read"}
	}
	return s, e.data, nil
}
