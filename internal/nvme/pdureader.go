package nvme

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// commonHeader is the first part of every PDU, as received.
type commonHeader struct {
	raw        [commonHeaderLen]byte
	kind       pduType
	flags      byte
	headerLen  int
	dataOffset int
	length     int64 // of the PDU, with this header
}

// readPDU reads one PDU. Header, lengths and digests are checked before any of it is used. A violation is a *protocolError,
// an end of the stream within a PDU io.ErrUnexpectedEOF, and one between two PDUs io.EOF.
func readPDU(in io.Reader, f framing) (*pdu, error) {
	common, err := readCommonHeader(in)
	if err != nil {
		return nil, err
	}
	if err := common.check(f); err != nil {
		return nil, err
	}
	p, err := common.readHeader(in, f)
	if err != nil {
		return nil, err
	}
	if err := common.readData(in, f, p); err != nil {
		return nil, err
	}
	return p, nil
}

func readCommonHeader(in io.Reader) (*commonHeader, error) {
	h := &commonHeader{}
	if _, err := io.ReadFull(in, h.raw[:]); err != nil {
		return nil, err
	}
	h.kind = pduType(h.raw[offsetType])
	h.flags = h.raw[offsetFlags]
	h.headerLen = int(h.raw[offsetHeaderLen])
	h.dataOffset = int(h.raw[offsetDataOffset])
	h.length = int64(binary.LittleEndian.Uint32(h.raw[offsetPDULen:]))
	return h, nil
}

// invalid returns the error of a field that has a value it must not have.
func (h *commonHeader) invalid(field uint32, cause string) error {
	return &protocolError{fes: fesInvalidHeader, fei: field, cause: cause, header: h.raw[:]}
}

func (h *commonHeader) hasHeaderDigest(f framing) bool { return h.kind.hasDigests() && f.headerDigest }

// headerEnd returns the length of the header with its digest.
func (h *commonHeader) headerEnd(f framing) int {
	if h.hasHeaderDigest(f) {
		return h.headerLen + digestLen
	}
	return h.headerLen
}

// check bounds what the rest of the PDU may make the reader allocate.
func (h *commonHeader) check(f framing) error {
	headerLen := h.kind.headerLen()
	headerEnd := int64(h.headerEnd(f))
	maxPadding := int64(dataAlignmentUnit * (maxDataAlignment + 1))
	switch {
	case headerLen == 0:
		return h.invalid(offsetType, "unknown PDU type")
	case h.headerLen != headerLen:
		return h.invalid(offsetHeaderLen, "header length does not fit the type")
	case h.kind.hasDigests() && (h.flags&flagHeaderDigest != 0) != f.headerDigest:
		return h.invalid(offsetFlags, "header digest flag is not what was agreed")
	case h.length < headerEnd, h.length > headerEnd+maxPadding+maxPDUData+digestLen:
		return h.invalid(offsetPDULen, "PDU length out of range")
	}
	return nil
}

// readHeader reads the header after its common part, and its digest.
func (h *commonHeader) readHeader(in io.Reader, f framing) (*pdu, error) {
	p := &pdu{kind: h.kind, flags: h.flags, header: make([]byte, h.headerLen)}
	copy(p.header, h.raw[:])
	if err := readFull(in, p.header[commonHeaderLen:]); err != nil {
		return nil, err
	}
	if !h.hasHeaderDigest(f) {
		return p, nil
	}
	digest, err := readDigest(in)
	if err != nil {
		return nil, err
	}
	if digest != crc32.Checksum(p.header, castagnoli) {
		return nil, &protocolError{fes: fesHeaderDigest, fei: digest, cause: "header digest", header: p.header}
	}
	return p, nil
}

// readData reads padding, data and data digest.
func (h *commonHeader) readData(in io.Reader, f framing, p *pdu) error {
	remaining := int(h.length) - h.headerEnd(f)
	if remaining == 0 {
		return nil
	}
	padding, err := h.padding(f, remaining)
	if err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, in, int64(padding)); err != nil {
		return unexpectedEOF(err)
	}
	remaining -= padding
	hasDigest := h.kind.hasDigests() && h.flags&flagDataDigest != 0
	if hasDigest != (h.kind.hasDigests() && f.dataDigest && remaining > 0) {
		return h.invalid(offsetFlags, "data digest flag is not what was agreed")
	}
	if hasDigest {
		remaining -= digestLen
	}
	if remaining < 0 {
		return h.invalid(offsetPDULen, "no room for the data digest")
	}
	p.data = make([]byte, remaining)
	if err := readFull(in, p.data); err != nil {
		return err
	}
	if !hasDigest {
		return nil
	}
	digest, err := readDigest(in)
	p.dataDigestError = digest != crc32.Checksum(p.data, castagnoli)
	return err
}

// padding returns the bytes between header and data, of the remaining bytes of the PDU.
func (h *commonHeader) padding(f framing, remaining int) (int, error) {
	switch h.kind {
	case pduICReq, pduICResp, pduCapsuleResp, pduR2T:
		return 0, h.invalid(offsetPDULen, "data where the type has none")
	case pduH2CTermReq, pduC2HTermReq:
		if remaining > maxTerminationPayload {
			return 0, h.invalid(offsetPDULen, "termination request too long")
		}
		return 0, nil // its data offset is reserved
	}
	padding := h.dataOffset - h.headerEnd(f)
	if padding < 0 || padding > remaining {
		return 0, h.invalid(offsetDataOffset, "data offset out of range")
	}
	return padding, nil
}

func readDigest(in io.Reader) (uint32, error) {
	var digest [digestLen]byte
	err := readFull(in, digest[:])
	return binary.LittleEndian.Uint32(digest[:]), err
}

// readFull fills b. The stream must not end before that.
func readFull(in io.Reader, b []byte) error {
	_, err := io.ReadFull(in, b)
	return unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF, so that an end within a PDU differs from one between two.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
