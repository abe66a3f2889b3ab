package nvme

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
)

// pduType is the first byte of a PDU. H2C stands for host to controller, C2H for controller to host.
type pduType byte

const (
	pduICReq       pduType = 0x00 // initialize connection request
	pduICResp      pduType = 0x01 // initialize connection response
	pduH2CTermReq  pduType = 0x02 // termination request of a host
	pduC2HTermReq  pduType = 0x03 // termination request of a controller
	pduCapsuleCmd  pduType = 0x04 // command capsule
	pduCapsuleResp pduType = 0x05 // response capsule
	pduH2CData     pduType = 0x06
	pduC2HData     pduType = 0x07
	pduR2T         pduType = 0x09 // ready to transfer

	firstTypeWithDigests = pduCapsuleCmd
)

// PDU flags.
const (
	flagHeaderDigest byte = 1 << 0
	flagDataDigest   byte = 1 << 1
	flagLastPDU      byte = 1 << 2
	flagSuccess      byte = 1 << 3 // the command succeeded, and no response capsule follows this last C2HData
)

// Digest bits of ICReq and ICResp.
const (
	enableHeaderDigest byte = 1 << 0
	enableDataDigest   byte = 1 << 1
)

// Lengths in bytes.
const (
	commonHeaderLen      = 8
	icHeaderLen          = 128
	capsuleCmdHeaderLen  = commonHeaderLen + commandLen
	capsuleRespHeaderLen = 24
	transferHeaderLen    = 24 // also of a termination request
	digestLen            = 4

	// maxTerminationPayload is the maximum length of the faulty PDU's header that a termination request carries.
	maxTerminationPayload = 128
	// maxPDUData is the maximum data length of a received PDU.
	maxPDUData = 128 << 10
	// maxH2CData is the maximum data length of an H2CData PDU, which ICResp announces. C2HData PDUs are sent with at most
	// this much data too.
	maxH2CData = 64 << 10
	// minMaxH2CData is the lowest maximum that the specification lets a controller announce in ICResp.
	minMaxH2CData = 4096

	// maxDataAlignment is the highest value of the data alignment fields HPDA and CPDA.
	maxDataAlignment  = 31
	dataAlignmentUnit = 4
)

// Offsets of header fields. A termination request for an invalid field reports the field's offset.
const (
	offsetType       = 0
	offsetFlags      = 1
	offsetHeaderLen  = 2
	offsetDataOffset = 3
	offsetPDULen     = 4

	// ICReq and ICResp
	offsetFormatVersion = 8
	offsetDataAlignment = 10
	offsetDigests       = 11
	offsetMaxH2CData    = 12

	// R2T, H2CData and C2HData
	offsetCommandID      = 8
	offsetTTAG           = 10
	offsetTransferOffset = 12
	offsetTransferLength = 16

	// termination requests
	offsetFatalErrorStatus = 8
	offsetFatalErrorInfo   = 10
)

// crc32cTable is the table of CRC-32C, the checksum of header and data digests.
var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

// pdu is a protocol data unit.
type pdu struct {
	kind   pduType
	flags  byte
	header []byte // complete, including the common header
	data   []byte
	// dataDigestError is set if the data digest does not match the data. The controller side then fails the command and keeps
	// the connection open. The exception is an H2CData PDU that is not the last of its transfer: the next one then belongs to
	// a command that is no longer pending, which ends the connection. The host side closes the connection in any case.
	dataDigestError bool
}

func (p *pdu) u16(offset int) uint16 { return binary.LittleEndian.Uint16(p.header[offset:]) }
func (p *pdu) u32(offset int) uint32 { return binary.LittleEndian.Uint32(p.header[offset:]) }

func (p *pdu) isLast() bool { return p.flags&flagLastPDU != 0 }

// headerLen returns the header length of a PDU type, or 0 if the type is unknown.
func (t pduType) headerLen() int {
	switch t {
	case pduICReq, pduICResp:
		return icHeaderLen
	case pduCapsuleCmd:
		return capsuleCmdHeaderLen
	case pduCapsuleResp:
		return capsuleRespHeaderLen
	case pduH2CData, pduC2HData, pduR2T, pduH2CTermReq, pduC2HTermReq:
		return transferHeaderLen
	}
	return 0
}

// hasDigests reports whether the negotiated digests and data alignment apply to a PDU type.
func (t pduType) hasDigests() bool { return t >= firstTypeWithDigests }

// framing holds the PDU format options that the two sides of a connection have negotiated.
type framing struct {
	headerDigest bool
	dataDigest   bool
	// dataAlignment applies to sent PDUs: the receiver requires data to start at a multiple of 4*(dataAlignment+1) bytes.
	dataAlignment int
}

// newFraming returns the framing for the negotiated digests field and the receiver's data alignment field.
func newFraming(digests, dataAlignment byte) framing {
	return framing{
		headerDigest:  digests&enableHeaderDigest != 0,
		dataDigest:    digests&enableDataDigest != 0,
		dataAlignment: int(dataAlignment),
	}
}

// align rounds an offset up to the next one at which the receiver lets data start.
func (f framing) align(offset int) int {
	alignment := dataAlignmentUnit * (f.dataAlignment + 1)
	return (offset + alignment - 1) / alignment * alignment
}

// appendPDU appends a PDU to b, with the digests and padding of the framing. header does not include the common header.
func appendPDU(b []byte, f framing, kind pduType, flags byte, header, data []byte) []byte {
	headerDigest := f.headerDigest && kind.hasDigests()
	dataDigest := f.dataDigest && kind.hasDigests() && len(data) > 0
	headerLen := commonHeaderLen + len(header)
	length := headerLen
	if headerDigest {
		flags |= flagHeaderDigest
		length += digestLen
	}
	dataOffset := 0
	if len(data) > 0 && kind.hasDigests() {
		dataOffset = f.align(length)
		length = dataOffset
	}
	length += len(data)
	if dataDigest {
		flags |= flagDataDigest
		length += digestLen
	}

	start := len(b)
	b = append(b, byte(kind), flags, byte(headerLen), byte(dataOffset))
	b = binary.LittleEndian.AppendUint32(b, uint32(length))
	b = append(b, header...)
	if headerDigest {
		b = appendDigest(b, b[start:])
	}
	if padding := dataOffset - (len(b) - start); padding > 0 {
		b = append(b, make([]byte, padding)...)
	}
	b = append(b, data...)
	if dataDigest {
		b = appendDigest(b, data)
	}
	return b
}

func appendDigest(b, covered []byte) []byte {
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(covered, crc32cTable))
}

// icPDU returns an ICReq or ICResp of format version 0, whose sender accepts data at any alignment. maxData is MAXH2CDATA in
// an ICResp. An ICReq has MAXR2T, which is 0-based, at the same offset.
func icPDU(kind pduType, digests byte, maxData uint32) []byte {
	header := make([]byte, icHeaderLen-commonHeaderLen)
	header[offsetDigests-commonHeaderLen] = digests
	binary.LittleEndian.PutUint32(header[offsetMaxH2CData-commonHeaderLen:], maxData)
	return appendPDU(nil, framing{}, kind, 0, header, nil)
}

// terminationPDU returns a termination request for a protocol error. Its data is what was read of the faulty PDU's header.
func terminationPDU(kind pduType, e *protocolError) []byte {
	header := make([]byte, transferHeaderLen-commonHeaderLen)
	binary.LittleEndian.PutUint16(header[offsetFatalErrorStatus-commonHeaderLen:], uint16(e.fes))
	binary.LittleEndian.PutUint32(header[offsetFatalErrorInfo-commonHeaderLen:], e.fei)
	return appendPDU(nil, framing{}, kind, 0, header, e.header[:min(len(e.header), maxTerminationPayload)])
}

// transfer holds the header fields of R2T, H2CData and C2HData, which describe a part of a command's data.
type transfer struct {
	commandID uint16
	ttag      uint16 // transfer tag, which an R2T assigns; 0 in C2HData
	offset    uint32
	length    uint32
}

// header encodes the fields as a PDU header without the common header.
func (t transfer) header() []byte {
	header := make([]byte, transferHeaderLen-commonHeaderLen)
	binary.LittleEndian.PutUint16(header[offsetCommandID-commonHeaderLen:], t.commandID)
	binary.LittleEndian.PutUint16(header[offsetTTAG-commonHeaderLen:], t.ttag)
	binary.LittleEndian.PutUint32(header[offsetTransferOffset-commonHeaderLen:], t.offset)
	binary.LittleEndian.PutUint32(header[offsetTransferLength-commonHeaderLen:], t.length)
	return header
}

func parseTransfer(p *pdu) transfer {
	return transfer{
		commandID: p.u16(offsetCommandID),
		ttag:      p.u16(offsetTTAG),
		offset:    p.u32(offsetTransferOffset),
		length:    p.u32(offsetTransferLength),
	}
}

// dataPDUs returns data as H2CData or C2HData PDUs with at most maxData bytes each. offset is the offset of data within the
// command's data. The last PDU has the last-PDU flag set.
func dataPDUs(f framing, kind pduType, commandID, ttag uint16, offset int, data []byte, maxData int) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for start := 0; start < len(data); start += maxData {
			part := data[start:min(start+maxData, len(data))]
			flags := byte(0)
			if start+len(part) == len(data) {
				flags = flagLastPDU
			}
			header := transfer{commandID: commandID, ttag: ttag, offset: uint32(offset + start), length: uint32(len(part))}
			if !yield(appendPDU(nil, f, kind, flags, header.header(), part)) {
				return
			}
		}
	}
}
