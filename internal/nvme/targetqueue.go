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

// targetQueue is the host side of an I/O queue at a target. It carries one command at a time.
type targetQueue struct {
	*hostConn
	association      *targetAssociation
	id               uint16
	maxInCapsuleData int
	freeOnce         sync.Once
}

// Close implements upstream.Conn. It ends the queue and frees its ID.
func (q *targetQueue) Close() error {
	err := q.hostConn.Close()
	q.freeOnce.Do(func() { q.association.freeQueue(q.id) })
	return err
}

// IsIdle implements upstream.Conn.
func (q *targetQueue) IsIdle() bool { return q.in.Buffered() == 0 && socket.IsOpenAndIdle(q.Conn) }

// RoundTrip implements upstream.Conn for one read or write, an *IORequest. A write's data is in the capsule where it fits,
// else it is sent when the controller asks for it.
//
// An error before the last byte of the capsule and of a write's data was sent is ConnectFailed, which permits another attempt,
// also if half of the data was sent. That relies on targets that execute a write only once they have all of its data, as the
// controller side of this package does. The specification alone does not promise it.
func (q *targetQueue) RoundTrip(attempt dispatcher.Attempt, mayStart func() bool) upstream.RoundTripResult {
	e := newExchange(q, attempt.Payload.(*IORequest))
	capsule := e.capsule()
	q.setDeadline(attempt.Deadline)
	if !mayStart() {
		return upstream.NoResponse(scheduler.NotSent, upstream.ReasonNotSent)
	}
	if n, err := q.Write(capsule); n < len(capsule) {
		return upstream.NoResponse(scheduler.ConnectFailed, upstream.WriteErrorReason(err))
	}
	finalStatus, data, err := e.run()
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			q.association.abort(q.id, e.entry.id())
		}
		return upstream.NoResponse(e.failure(err), upstream.ReadErrorReason(err))
	}
	var result upstream.RoundTripResult
	result.Status = attemptStatus(finalStatus)
	result.Payload = data
	if q.SetDeadline(time.Time{}) != nil {
		result.CloseReason = upstream.ReasonClosed
	}
	return result
}

// exchange is one command on an I/O queue, from its capsule to its completion.
type exchange struct {
	queue     *targetQueue
	entry     *command
	request   *IORequest
	inCapsule bool   // the data to write is in the capsule
	sent      bool   // all data to write is sent
	data      []byte // that was read
}

func newExchange(q *targetQueue, request *IORequest) *exchange {
	op := opRead
	if request.Write {
		op = opWrite
	}
	inCapsule := request.Write && len(request.Data) <= q.maxInCapsuleData
	entry := newCommand(op, q.nextCommandID(), request.Bytes, inCapsule)
	entry.putU32(sqeNamespaceID, request.NamespaceID)
	entry.putU64(sqeStartLBA, request.StartLBA)
	entry.putU16(sqeBlocks, uint16(request.Blocks-1))
	return &exchange{queue: q, entry: entry, request: request, inCapsule: inCapsule, sent: !request.Write || inCapsule}
}

// capsule returns the command capsule.
func (e *exchange) capsule() []byte {
	var inCapsule []byte
	if e.inCapsule {
		inCapsule = e.request.Data
	}
	return appendPDU(nil, e.queue.framing, pduCapsuleCmd, 0, e.entry[:], inCapsule)
}

// failure returns the attempt's status after an error. Once all data is sent, the target may have executed the command; before
// that it has not, see RoundTrip.
func (e *exchange) failure(err error) scheduler.AttemptStatus {
	switch {
	case !e.sent:
		return scheduler.ConnectFailed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return scheduler.DeadlineExceeded
	}
	return scheduler.ConnectionReset
}

// run handles the controller's PDUs until the completion, or the last C2HData if its SUCCESS flag stands for one. It returns
// the status and the data that was read. For the loop of admin commands see hostConn.execute.
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
				return 0, nil, &controllerError{cause: "completion of another command"}
			}
			return e.finish(result.status)
		case pduC2HTermReq:
			return 0, nil, io.ErrUnexpectedEOF
		default:
			return 0, nil, unexpectedPDU(p)
		}
	}
}

// sendData sends the part of the data that an R2T asks for.
func (e *exchange) sendData(r2t *pdu) error {
	header := parseTransfer(r2t)
	if e.sent || header.commandID != e.entry.id() {
		return &controllerError{cause: "R2T for no write that waits"}
	}
	// In 64 bits: the controller's offset and length may add up to more than 32.
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
	e.sent = end == total
	return nil
}

// receiveData adds a part of the data read. The parts must come in order.
func (e *exchange) receiveData(p *pdu) error {
	header := parseTransfer(p)
	isExpected := !e.request.Write && header.commandID == e.entry.id() && int64(header.offset) == int64(len(e.data))
	if !isExpected || len(e.data)+len(p.data) > e.request.Bytes || p.dataDigestError {
		return &controllerError{cause: "data for no read, out of order or damaged"}
	}
	e.data = append(e.data, p.data...)
	return nil
}

// finish returns the result of a completed command. A read that succeeded without all of its data is an error.
func (e *exchange) finish(s status) (status, []byte, error) {
	if s == statusSuccess && !e.request.Write && len(e.data) != e.request.Bytes {
		return 0, nil, &controllerError{cause: "data of a successful read is incomplete"}
	}
	return s, e.data, nil
}
