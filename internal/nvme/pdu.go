package nvme

import (
	"encoding/binary"
	"hash/crc32"
	"iter"
)

// pduType is the first byte of a PDU. H2C is host to controller, C2H controller to host.
type pduType byte

const (
	pduICReq       pduType = 0x00 // initialize connection request
	pduICResp      pduType = 0x01 // initialize connection response
	pduH2CTermReq  pduType = 0x02 // termination request
	pduC2HTermReq  pduType = 0x03 // termination request
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
	flagSuccess      byte = 1 << 3 // the last C2HData stands for a successful completion
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

	// maxTerminationPayload is how much of the wrong PDU a termination request may hold.
	maxTerminationPayload = 128
	// maxPDUData is the largest data of one PDU that is accepted.
	maxPDUData = 128 << 10
	// maxH2CData is the largest data of one H2CData, as ICResp announces it. C2HData is sent in parts of this size too.
	maxH2CData = 64 << 10
	// minMaxH2CData is the least that the specification lets a controller announce.
	minMaxH2CData = 4096

	// maxDataAlignment is the largest value of the data alignment fields, HPDA and CPDA.
	maxDataAlignment  = 31
	dataAlignmentUnit = 4
)

// Offsets of header fields. A termination request holds that of the wrong field.
const (
	offsetType       = 0
	offsetFlags      = 1
	offsetHeaderLen  = 2
	offsetDataOffset = 3
	offsetPDULen     = 4

	// of ICReq and ICResp
	offsetFormatVersion = 8
	offsetDataAlignment = 10
	offsetDigests       = 11
	offsetMaxH2CData    = 12

	// of R2T, H2CData and C2HData
	offsetCommandID      = 8
	offsetTTAG           = 10
	offsetTransferOffset = 12
	offsetTransferLength = 16

	// of termination requests
	offsetFatalErrorStatus = 8
	offsetFatalErrorInfo   = 10
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// pdu is a protocol data unit.
type pdu struct {
	kind   pduType
	flags  byte
	header []byte // complete, from the common header on
	data   []byte
	// dataDigestError marks data whose digest does not match. The command fails. The connection stays open, except if the
	// data is an H2CData with others to follow: the next one is for a command that is no longer pending, which ends the
	// connection.
	dataDigestError bool
}

func (p *pdu) u16(offset int) uint16 { return binary.LittleEndian.Uint16(p.header[offset:]) }
func (p *pdu) u32(offset int) uint32 { return binary.LittleEndian.Uint32(p.header[offset:]) }

func (p *pdu) isLast() bool { return p.flags&flagLastPDU != 0 }

// headerLen returns the header length of a type; 0: there is no such type.
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

// hasDigests reports whether the agreed digests and data alignment apply to a type.
func (t pduType) hasDigests() bool { return t >= firstTypeWithDigests }

// framing is what both sides of a connection agreed on.
type framing struct {
	headerDigest bool
	dataDigest   bool
	// dataAlignment is for sending: the receiver wants data at multiples of 4*(dataAlignment+1) bytes.
	dataAlignment int
}

// newFraming returns the framing for a digests field and the receiver's data alignment field.
func newFraming(digests, dataAlignment byte) framing {
	return framing{
		headerDigest:  digests&enableHeaderDigest != 0,
		dataDigest:    digests&enableDataDigest != 0,
		dataAlignment: int(dataAlignment),
	}
}

// align rounds up to where data may start.
func (f framing) align(offset int) int {
	alignment := dataAlignmentUnit * (f.dataAlignment + 1)
	return (offset + alignment - 1) / alignment * alignment
}

// appendPDU appends a PDU to b. header holds the fields after the common header.
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
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(covered, castagnoli))
}

// icPDU returns an ICReq or ICResp of format version 0. The sender accepts data at any alignment. maxData is ICResp's
// MAXH2CDATA; ICReq's MAXR2T, which is 0-based, is at the same place.
func icPDU(kind pduType, digests byte, maxData uint32) []byte {
	header := make([]byte, icHeaderLen-commonHeaderLen)
	header[offsetDigests-commonHeaderLen] = digests
	binary.LittleEndian.PutUint32(header[offsetMaxH2CData-commonHeaderLen:], maxData)
	return appendPDU(nil, framing{}, kind, 0, header, nil)
}

// terminationPDU returns a termination request for an error. Its data is the start of the wrong PDU.
func terminationPDU(kind pduType, e *protocolError) []byte {
	header := make([]byte, transferHeaderLen-commonHeaderLen)
	binary.LittleEndian.PutUint16(header[offsetFatalErrorStatus-commonHeaderLen:], uint16(e.fes))
	binary.LittleEndian.PutUint32(header[offsetFatalErrorInfo-commonHeaderLen:], e.fei)
	return appendPDU(nil, framing{}, kind, 0, header, e.header[:min(len(e.header), maxTerminationPayload)])
}

// transfer is the header of R2T, H2CData and C2HData: a part of a command's data.
type transfer struct {
	commandID uint16
	ttag      uint16 // transfer tag of the R2T; 0 in C2HData
	offset    uint32
	length    uint32
}

// header returns the fields after the common header.
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

// dataPDUs returns data as H2CData or C2HData PDUs of at most maxData bytes each. offset is where data lies in the command's
// data; the last PDU has the last-PDU flag.
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
