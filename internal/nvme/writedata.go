package nvme

import "time"

// requestData asks the host for a write's data with an R2T for all of it: one R2T at a time for a command, which any host
// supports. A host that does not send the data within the write's deadline loses its connection, or the command would hold
// memory and a queue entry for as long as the connection lives.
func (q *controllerQueue) requestData(p *pendingCommand, namespace *Namespace) {
	timeout := q.server.options.ClassDeadlines[namespace.WriteClass]
	p.io.Data = make([]byte, p.io.DataLen)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastTTAG++
	p.ttag = q.lastTTAG
	p.dataTimer = time.AfterFunc(timeout, func() { q.end(reasonDataTimeout) })
	r2t := transfer{commandID: p.entry.id(), ttag: p.ttag, length: uint32(p.io.DataLen)}
	q.send(pduR2T, r2t.header())
}

// handleData handles a part of a write's data. The parts must come in order, and be what the R2T asked for. Data for a command
// that is no longer pending, because a part before it was damaged or the host aborted the command, ends the connection.
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
	copy(p.io.Data[header.offset:], part.data)
	p.received += len(part.data)
	if p.received == p.io.DataLen {
		p.dataTimer.Stop()
		q.submit(p)
	}
	return nil
}

// checkData checks a part of the data against the command that waits for it; nil: there is no such command.
func (p *pendingCommand) checkData(part *pdu, header transfer) error {
	violation := func(fes fatalErrorStatus, field uint32, cause string) error {
		return &protocolError{fes: fes, fei: field, cause: cause, header: part.header}
	}
	if p == nil || p.ttag == 0 || p.dataTimer == nil {
		return violation(fesInvalidHeader, offsetCommandID, "data for no command that waits for some")
	}
	if header.ttag != p.ttag {
		return violation(fesInvalidHeader, offsetTTAG, "data for another transfer tag")
	}
	// In 64 bits: the host's offset and length may add up to more than 32.
	offset, length := int64(header.offset), int64(header.length)
	end, total := offset+length, int64(p.io.DataLen)
	switch {
	case length == 0, length != int64(len(part.data)), length > maxH2CData:
		return violation(fesInvalidHeader, offsetTransferLength, "data length")
	case offset != int64(p.received), end > total:
		return violation(fesOutOfRange, offsetTransferOffset, "data out of order or range")
	case part.isLast() != (end == total):
		return violation(fesInvalidHeader, offsetFlags, "last-PDU flag")
	}
	return nil
}
