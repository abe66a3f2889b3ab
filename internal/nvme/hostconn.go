package nvme

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"time"
)

// Queue sizes that Connect asks for, 0-based as in its SQSIZE field.
const (
	adminQueueSizeField = adminQueueSize - 1
	ioQueueSizeField    = 1 // the least; one command at a time uses it
)

// hostConn is a connection to a controller: one queue.
type hostConn struct {
	net.Conn
	in            *bufio.Reader
	framing       framing
	maxH2CData    int // data of one H2CData
	lastCommandID uint16
}

// dial opens a connection and does the handshake, until ctx ends. The connection's deadline stays that of ctx.
func (h *Host) dial(ctx context.Context, addr string) (*hostConn, error) {
	conn, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &hostConn{Conn: conn, in: bufio.NewReaderSize(conn, readBufferLen)}
	if deadline, ok := ctx.Deadline(); ok {
		c.setDeadline(deadline)
	}
	if err := c.handshake(h.options.Digests); err != nil {
		c.discard()
		return nil, err
	}
	return c, nil
}

// setDeadline bounds reads and writes. It fails only on a closed connection, which the next read or write reports.
func (c *hostConn) setDeadline(t time.Time) { _ = c.SetDeadline(t) }

// discard closes a connection that is of no use any more.
func (c *hostConn) discard() { _ = c.Close() }

// handshake sends ICReq and takes the controller's limits from ICResp.
func (c *hostConn) handshake(askForDigests bool) error {
	var digests byte
	if askForDigests {
		digests = enableHeaderDigest | enableDataDigest
	}
	if _, err := c.Write(icPDU(pduICReq, digests, 0)); err != nil {
		return err
	}
	p, err := readPDU(c.in, framing{})
	if err != nil {
		return err
	}
	if !isUsableICResp(p, digests) {
		return &controllerError{cause: "controller's ICResp is not usable"}
	}
	c.framing = newFraming(p.header[offsetDigests], p.header[offsetDataAlignment])
	c.maxH2CData = int(p.u32(offsetMaxH2CData))
	return nil
}

// isUsableICResp checks an ICResp: a controller may enable only digests that the host asked for.
func isUsableICResp(p *pdu, askedDigests byte) bool {
	return p.kind == pduICResp &&
		p.u16(offsetFormatVersion) == 0 &&
		p.header[offsetDataAlignment] <= maxDataAlignment &&
		p.header[offsetDigests]&^askedDigests == 0 &&
		p.u32(offsetMaxH2CData) >= minMaxH2CData
}

// receive reads a PDU. A violation of the protocol is answered with a termination request.
func (c *hostConn) receive() (*pdu, error) {
	p, err := readPDU(c.in, c.framing)
	var violation *protocolError
	if errors.As(err, &violation) {
		_, _ = c.Write(terminationPDU(pduH2CTermReq, violation)) // the connection ends either way
	}
	return p, err
}

// sendCommand sends a command capsule.
func (c *hostConn) sendCommand(entry *command, inCapsule []byte) error {
	_, err := c.Write(appendPDU(nil, c.framing, pduCapsuleCmd, 0, entry[:], inCapsule))
	return err
}

func (c *hostConn) nextCommandID() uint16 {
	c.lastCommandID++
	return c.lastCommandID
}

// execute carries out an admin or Fabrics command, with data in the capsule or none, and returns its completion and the data
// that the controller sent. A command that ends with an error is a *commandError.
//
// Its loop is apart from exchange.run. An admin queue may have Aborts outstanding, whose completions are skipped, and its
// commands get their data in the capsule and never an R2T; exchange.run takes any completion but its own for an error, sends
// data for R2Ts, and accepts data that ends with the SUCCESS flag in place of a completion.
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
			isNext := int64(p.u32(offsetTransferOffset)) == int64(len(data))
			if !isNext || len(data)+len(p.data) > identifyDataLen || p.dataDigestError {
				return completion{}, nil, &controllerError{cause: "data out of order"}
			}
			data = append(data, p.data...)
		case pduCapsuleResp:
			result := parseCompletion(p)
			if result.commandID != entry.id() {
				continue // of an Abort, which nobody waits for
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

// connect sends Connect for a queue and returns the controller ID.
func (c *hostConn) connect(opt HostOptions, queueID, controllerID uint16) (uint16, error) {
	entry := newFabricsCommand(fabricsConnect, c.nextCommandID(), connectDataLen)
	entry.putU16(sqeConnectQueueID, queueID)
	if queueID == 0 {
		entry.putU16(sqeConnectQueueSize, adminQueueSizeField)
		entry.putU32(sqeConnectKeepAlive, uint32(opt.KeepAliveTimeout.Milliseconds()))
	} else {
		entry.putU16(sqeConnectQueueSize, ioQueueSizeField)
	}
	result, _, err := c.execute(entry, connectData(opt, controllerID))
	return uint16(result.result), err
}

// connectData returns the data of Connect. The names end with at least one zero.
func connectData(opt HostOptions, controllerID uint16) []byte {
	data := make([]byte, connectDataLen)
	copy(data[connectHostID:], opt.HostID[:])
	binary.LittleEndian.PutUint16(data[connectControllerID:], controllerID)
	copy(data[connectSubsystem:][:nqnFieldLen-1], opt.Subsystem)
	copy(data[connectHostNQN:][:nqnFieldLen-1], opt.HostNQN)
	return data
}

// getProperty reads a property of four bytes.
func (c *hostConn) getProperty(offset uint32) (uint64, error) {
	entry := newFabricsCommand(fabricsPropertyGet, c.nextCommandID(), 0)
	entry.putU32(sqePropertyOffset, offset)
	result, _, err := c.execute(entry, nil)
	return result.result, err
}

// setConfiguration sets the property CC.
func (c *hostConn) setConfiguration(value uint64) error {
	entry := newFabricsCommand(fabricsPropertySet, c.nextCommandID(), 0)
	entry.putU32(sqePropertyOffset, propertyCC)
	entry.putU64(sqePropertyValue, value)
	_, _, err := c.execute(entry, nil)
	return err
}

// identifyController returns the data structure Identify Controller.
func (c *hostConn) identifyController() ([]byte, error) {
	entry := newCommand(opIdentify, c.nextCommandID(), identifyDataLen, false)
	entry.putU32(sqeIdentifyCNS, cnsController)
	_, data, err := c.execute(entry, nil)
	if err == nil && len(data) != identifyDataLen {
		err = &controllerError{cause: "controller's Identify data is incomplete"}
	}
	return data, err
}
