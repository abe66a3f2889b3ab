package nvme

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
)

// commonHeader is the common header of a received PDU.
type commonHeader struct {
	raw        [commonHeaderLen]byte
	kind       pduType
	flags      byte
	headerLen  int
	dataOffset int
	length     int64 // of the whole PDU, including this header
}

// readPDU reads one PDU and checks its header, lengths and digests. It returns a *protocolError for a violation of the
// protocol, io.ErrUnexpectedEOF if the stream ends within a PDU, and io.EOF if it ends between two PDUs. A data digest error
// is no error here: it is recorded in pdu.dataDigestError.
func readPDU(reader io.Reader, f framing) (*pdu, error) {
	common, err := readCommonHeader(reader)
	if err != nil {
		return nil, err
	}
	if err := common.check(f); err != nil {
		return nil, err
	}
	p, err := common.readHeader(reader, f)
	if err != nil {
		return nil, err
	}
	if err := common.readData(reader, f, p); err != nil {
		return nil, err
	}
	return p, nil
}

func readCommonHeader(reader io.Reader) (*commonHeader, error) {
	h := &commonHeader{}
	if _, err := io.ReadFull(reader, h.raw[:]); err != nil {
		return nil, err
	}
	h.kind = pduType(h.raw[offsetType])
	h.flags = h.raw[offsetFlags]
	h.headerLen = int(h.raw[offsetHeaderLen])
	h.dataOffset = int(h.raw[offsetDataOffset])
	h.length = int64(binary.LittleEndian.Uint32(h.raw[offsetPDULen:]))
	return h, nil
}

// invalid returns the error for an invalid value of the field at the offset.
func (h *commonHeader) invalid(fieldOffset uint32, cause string) error {
	return &protocolError{fes: fesInvalidHeader, fei: fieldOffset, cause: cause, header: h.raw[:]}
}

func (h *commonHeader) hasHeaderDigest(f framing) bool { return h.kind.hasDigests() && f.headerDigest }

// headerEnd returns the length of the header including its digest.
func (h *commonHeader) headerEnd(f framing) int {
	if h.hasHeaderDigest(f) {
		return h.headerLen + digestLen
	}
	return h.headerLen
}

// check validates the type, lengths and header digest flag, and so limits how much memory the rest of the PDU can make the
// reader allocate.
func (h *commonHeader) check(f framing) error {
	headerLen := h.kind.headerLen()
	headerEnd := int64(h.headerEnd(f))
	maxPadding := int64(dataAlignmentUnit * (maxDataAlignment + 1))
	switch {
	case headerLen == 0:
		return h.invalid(offsetType, "unknown PDU type")
	case h.headerLen != headerLen:
		return h.invalid(offsetHeaderLen, "wrong header length for the PDU type")
	case h.kind.hasDigests() && (h.flags&flagHeaderDigest != 0) != f.headerDigest:
		return h.invalid(offsetFlags, "header digest flag differs from the negotiated setting")
	case h.length < headerEnd, h.length > headerEnd+maxPadding+maxPDUData+digestLen:
		return h.invalid(offsetPDULen, "PDU length out of range")
	}
	return nil
}

// readHeader reads the header after the common header, and the header digest.
func (h *commonHeader) readHeader(reader io.Reader, f framing) (*pdu, error) {
	p := &pdu{kind: h.kind, flags: h.flags, header: make([]byte, h.headerLen)}
	copy(p.header, h.raw[:])
	if err := readFull(reader, p.header[commonHeaderLen:]); err != nil {
		return nil, err
	}
	if !h.hasHeaderDigest(f) {
		return p, nil
	}
	digest, err := readDigest(reader)
	if err != nil {
		return nil, err
	}
	if digest != crc32.Checksum(p.header, crc32cTable) {
		return nil, &protocolError{fes: fesHeaderDigest, fei: digest, cause: "header digest mismatch", header: p.header}
	}
	return p, nil
}

// readData reads the padding, the data and the data digest.
func (h *commonHeader) readData(reader io.Reader, f framing, p *pdu) error {
	remaining := int(h.length) - h.headerEnd(f)
	if remaining == 0 {
		return nil
	}
	padding, err := h.padding(f, remaining)
	if err != nil {
		return err
	}
	if _, err := io.CopyN(io.Discard, reader, int64(padding)); err != nil {
		return unexpectedEOF(err)
	}
	remaining -= padding
	hasDigest := h.kind.hasDigests() && h.flags&flagDataDigest != 0
	if hasDigest != (h.kind.hasDigests() && f.dataDigest && remaining > 0) {
		return h.invalid(offsetFlags, "data digest flag differs from the negotiated setting")
	}
	if hasDigest {
		remaining -= digestLen
	}
	if remaining < 0 {
		return h.invalid(offsetPDULen, "PDU too short for its data digest")
	}
	p.data = make([]byte, remaining)
	if err := readFull(reader, p.data); err != nil {
		return err
	}
	if !hasDigest {
		return nil
	}
	digest, err := readDigest(reader)
	p.dataDigestError = digest != crc32.Checksum(p.data, crc32cTable)
	return err
}

// padding returns the number of padding bytes between header and data. remaining is the length of the PDU after the header
// and its digest.
func (h *commonHeader) padding(f framing, remaining int) (int, error) {
	switch h.kind {
	case pduICReq, pduICResp, pduCapsuleResp, pduR2T:
		return 0, h.invalid(offsetPDULen, "data in a PDU type that carries none")
	case pduH2CTermReq, pduC2HTermReq:
		if remaining > maxTerminationPayload {
			return 0, h.invalid(offsetPDULen, "termination request too long")
		}
		return 0, nil // its data offset field is reserved
	}
	padding := h.dataOffset - h.headerEnd(f)
	if padding < 0 || padding > remaining {
		return 0, h.invalid(offsetDataOffset, "data offset out of range")
	}
	return padding, nil
}

func readDigest(reader io.Reader) (uint32, error) {
	var digest [digestLen]byte
	err := readFull(reader, digest[:])
	return binary.LittleEndian.Uint32(digest[:]), err
}

// readFull fills b. It returns io.ErrUnexpectedEOF if the stream ends before that.
func readFull(reader io.Reader, b []byte) error {
	_, err := io.ReadFull(reader, b)
	return unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that the end of a stream within a PDU can be told from one between
// two PDUs.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
