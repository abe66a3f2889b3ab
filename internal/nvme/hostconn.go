package nvme

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"time"
)

// Queue sizes that Connect requests, 0-based as in its SQSIZE field.
const (
	adminQueueSizeField = adminQueueSize - 1
	ioQueueSizeField    = 1 // the minimum, since an I/O queue carries one command at a time
)

// hostConn is the host side of a connection to a controller, which carries one queue.
type hostConn struct {
	net.Conn
	reader        *bufio.Reader
	framing       framing
	maxH2CData    int // maximum data length of an H2CData PDU, as announced by the controller
	lastCommandID uint16
}

// dial opens a connection and performs the handshake, within the deadline of ctx. The connection keeps that deadline.
func (h *Host) dial(ctx context.Context, addr string) (*hostConn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &hostConn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferLen)}
	if deadline, ok := ctx.Deadline(); ok {
		c.setDeadline(deadline)
	}
	if err := c.handshake(h.options.Digests); err != nil {
		c.discard()
		return nil, err
	}
	return c, nil
}

// setDeadline sets the deadline for reads and writes. It fails only on a closed connection, which the next read or write
// reports.
func (c *hostConn) setDeadline(t time.Time) { _ = c.SetDeadline(t) }

// discard closes a connection that is no longer used.
func (c *hostConn) discard() { _ = c.Close() }

// handshake sends ICReq, and takes the negotiated framing and the controller's limits from ICResp.
func (c *hostConn) handshake(requestDigests bool) error {
	var digests byte
	if requestDigests {
		digests = enableHeaderDigest | enableDataDigest
	}
	if _, err := c.Write(icPDU(pduICReq, digests, 0)); err != nil {
		return err
	}
	p, err := readPDU(c.reader, framing{})
	if err != nil {
		return err
	}
	if !isValidICResp(p, digests) {
		return &controllerError{cause: "invalid ICResp from the controller"}
	}
	c.framing = newFraming(p.header[offsetDigests], p.header[offsetDataAlignment])
	c.maxH2CData = int(p.u32(offsetMaxH2CData))
	return nil
}

// isValidICResp reports whether a PDU is a valid ICResp. A controller may enable only the digests that the host requested.
func isValidICResp(p *pdu, requestedDigests byte) bool {
	return p.kind == pduICResp &&
		p.u16(offsetFormatVersion) == 0 &&
		p.header[offsetDataAlignment] <= maxDataAlignment &&
		p.header[offsetDigests]&^requestedDigests == 0 &&
		p.u32(offsetMaxH2CData) >= minMaxH2CData
}

// receive reads a PDU. It answers a violation of the protocol with a termination request.
func (c *hostConn) receive() (*pdu, error) {
	p, err := readPDU(c.reader, c.framing)
	var violation *protocolError
	if errors.As(err, &violation) {
		_, _ = c.Write(terminationPDU(pduH2CTermReq, violation)) // the connection ends even if this fails
	}
	return p, err
}

// sendCommand sends a command capsule with the data inCapsule, which may be nil.
func (c *hostConn) sendCommand(entry *command, inCapsule []byte) error {
	_, err := c.Write(appendPDU(nil, c.framing, pduCapsuleCmd, 0, entry[:], inCapsule))
	return err
}

func (c *hostConn) nextCommandID() uint16 {
	c.lastCommandID++
	return c.lastCommandID
}

// execute executes an admin or Fabrics command, whose data, if any, is sent in the capsule. It returns the completion and the
// data that the controller sent. The error is a *commandError if the command was completed with an error status.
//
// execute does not share its loop with exchange.run, because they treat PDUs differently. An admin queue may have outstanding
// Aborts, whose completions execute skips, and the data of its commands is in the capsule, so that there are no R2Ts.
// exchange.run treats any completion but that of its own command as an error, sends data for R2Ts, and accepts the SUCCESS
// flag of the last data PDU in place of a completion.
func (c *hostConn) execute(entry *command, inCapsule []byte) (completion, []byte, error) {
	if err := c.sendCommand(entry, inCapsule); err != nil {
		return completion{}, nil, err
	}
	var data []byte
	for {
		p, err := c.receive()
		if err != nil {
			return completion{}, nil, err
		}
		switch p.kind {
		case pduC2HData:
			isInOrder := int64(p.u32(offsetTransferOffset)) == int64(len(data))
			if !isInOrder || len(data)+len(p.data) > identifyDataLen || p.dataDigestError {
				return completion{}, nil, &controllerError{cause: "admin data out of order, too long or with a digest error"}
			}
			data = append(data, p.data...)
		case pduCapsuleResp:
			result := parseCompletion(p)
			if result.commandID != entry.id() {
				continue // completion of an Abort, which nothing waits for
			}
			if result.status != statusSuccess {
				return result, nil, &commandError{opcode: entry.opcode(), status: result.status}
			}
			return result, data, nil
		default:
			return completion{}, nil, unexpectedPDU(p)
		}
	}
}

// connect executes Connect for a queue and returns the controller ID.
func (c *hostConn) connect(opts HostOptions, queueID, controllerID uint16) (uint16, error) {
	entry := newFabricsCommand(fabricsConnect, c.nextCommandID(), connectDataLen)
	entry.putU16(sqeConnectQueueID, queueID)
	if queueID == 0 {
		entry.putU16(sqeConnectQueueSize, adminQueueSizeField)
		entry.putU32(sqeConnectKeepAlive, uint32(opts.KeepAliveTimeout.Milliseconds()))
	} else {
		entry.putU16(sqeConnectQueueSize, ioQueueSizeField)
	}
	result, _, err := c.execute(entry, connectData(opts, controllerID))
	return uint16(result.result), err
}

// connectData returns the data of Connect. Each NQN is terminated by at least one zero byte.
func connectData(opts HostOptions, controllerID uint16) []byte {
	data := make([]byte, connectDataLen)
	copy(data[connectHostID:], opts.HostID[:])
	binary.LittleEndian.PutUint16(data[connectControllerID:], controllerID)
	copy(data[connectSubsystem:][:nqnFieldLen-1], opts.Subsystem)
	copy(data[connectHostNQN:][:nqnFieldLen-1], opts.HostNQN)
	return data
}

// getProperty reads a property of 4 bytes.
func (c *hostConn) getProperty(offset uint32) (uint64, error) {
	entry := newFabricsCommand(fabricsPropertyGet, c.nextCommandID(), 0)
	entry.putU32(sqePropertyOffset, offset)
	result, _, err := c.execute(entry, nil)
	return result.result, err
}

// setConfiguration sets the property CC, the controller configuration.
func (c *hostConn) setConfiguration(value uint64) error {
	entry := newFabricsCommand(fabricsPropertySet, c.nextCommandID(), 0)
	entry.putU32(sqePropertyOffset, propertyCC)
	entry.putU64(sqePropertyValue, value)
	_, _, err := c.execute(entry, nil)
	return err
}

// identifyController returns the Identify Controller data structure.
func (c *hostConn) identifyController() ([]byte, error) {
	entry := newCommand(opIdentify, c.nextCommandID(), identifyDataLen, false)
	entry.putU32(sqeIdentifyCNS, cnsController)
	_, data, err := c.execute(entry, nil)
	if err == nil && len(data) != identifyDataLen {
		err = &controllerError{cause: "incomplete Identify data from the controller"}
	}
	return data, err
}
