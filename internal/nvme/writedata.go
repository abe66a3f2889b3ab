package nvme

import "time"

// requestData requests a write's data from the host with a single R2T for all of it: every host supports one outstanding R2T
// per command. If the data does not arrive within the deadline of the write's class, the connection is closed. Otherwise the
// command would occupy memory and a queue entry for as long as the connection lives.
func (q *controllerQueue) requestData(p *pendingCommand, namespace *Namespace) {
	timeout := q.server.options.ClassDeadlines[namespace.WriteClass]
	p.ioRequest.Data = make([]byte, p.ioRequest.DataLen)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastTTAG++
	p.ttag = q.lastTTAG
	p.dataTimer = time.AfterFunc(timeout, func() { q.end(reasonDataTimeout) })
	r2t := transfer{commandID: p.entry.id(), ttag: p.ttag, length: uint32(p.ioRequest.DataLen)}
	q.send(pduR2T, r2t.header())
}

// handleData handles an H2CData PDU, which carries a part of a write's data. The parts must arrive in order and match the
// R2T. Data for a command that is no longer pending ends the connection: that happens if an earlier part had a data digest
// error, or if the host has aborted the command.
func (q *controllerQueue) handleData(part *pdu) error {
	header := parseTransfer(part)
	q.mu.Lock()
	p := q.commands[header.commandID]
	q.mu.Unlock()
	if err := p.checkData(part, header); err != nil {
		return err
	}
	if part.dataDigestError {
		q.complete(p, statusTransientTransport, 0, nil) // without DNR: nothing has been executed
		return nil
	}
	copy(p.ioRequest.Data[header.offset:], part.data)
	p.received += len(part.data)
	if p.received == p.ioRequest.DataLen {
		p.dataTimer.Stop()
		q.submit(p)
	}
	return nil
}

// checkData checks that a part of a write's data is the one that the command expects next. p is nil if there is no pending
// command of that ID.
func (p *pendingCommand) checkData(part *pdu, header transfer) error {
	violation := func(fes fatalErrorStatus, fieldOffset uint32, cause string) error {
		return &protocolError{fes: fes, fei: fieldOffset, cause: cause, header: part.header}
	}
	if p == nil || p.ttag == 0 || p.dataTimer == nil {
		return violation(fesInvalidHeader, offsetCommandID, "data for a command that expects none")
	}
	if header.ttag != p.ttag {
		return violation(fesInvalidHeader, offsetTTAG, "wrong transfer tag")
	}
	// 64-bit arithmetic, because the sum of the host's offset and length may overflow 32 bits.
	offset, length := int64(header.offset), int64(header.length)
	end, total := offset+length, int64(p.ioRequest.DataLen)
	switch {
	case length == 0, length != int64(len(part.data)), length > maxH2CData:
		return violation(fesInvalidHeader, offsetTransferLength, "invalid data length")
	case offset != int64(p.received), end > total:
		return violation(fesOutOfRange, offsetTransferOffset, "data out of order or out of range")
	case part.isLast() != (end == total):
		return violation(fesInvalidHeader, offsetFlags, "wrong last-PDU flag")
	}
	return nil
}
