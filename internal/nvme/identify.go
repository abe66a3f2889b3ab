package nvme

import (
	"encoding/binary"
	"math/bits"
)

// CNS values of Identify, which select the data structure.
const (
	cnsNamespace            = 0x00
	cnsController           = 0x01
	cnsActiveNamespaces     = 0x02
	cnsNamespaceDescriptors = 0x03
)

// Offsets in the Identify Namespace data structure. The names end with the specification's abbreviations.
const (
	offsetIDNSNSZE  = 0   // namespace size in blocks
	offsetIDNSNCAP  = 8   // namespace capacity in blocks
	offsetIDNSNUSE  = 16  // namespace utilization in blocks
	offsetIDNSLBADS = 130 // LBA data size of format 0, as a power of two of bytes
)

// Offsets in the Identify Controller data structure. The names end with the specification's abbreviations.
const (
	offsetIDCtrlSN        = 4    // serial number
	offsetIDCtrlMN        = 24   // model number
	offsetIDCtrlFR        = 64   // firmware revision
	offsetIDCtrlMDTS      = 77   // maximum data transfer size, as a power of two of minimum-size pages
	offsetIDCtrlCNTLID    = 78   // controller ID
	offsetIDCtrlVER       = 80   // version
	offsetIDCtrlCNTRLTYPE = 111  // controller type
	offsetIDCtrlCRDT1     = 128  // command retry delay times; CRDT2 and CRDT3 follow
	offsetIDCtrlACL       = 258  // abort command limit, 0-based
	offsetIDCtrlKAS       = 320  // granularity of the keep-alive timeout, in units of 100 ms
	offsetIDCtrlSQES      = 512  // submission queue entry sizes
	offsetIDCtrlCQES      = 513  // completion queue entry sizes
	offsetIDCtrlMAXCMD    = 514  // maximum outstanding commands
	offsetIDCtrlNN        = 516  // number of namespaces
	offsetIDCtrlSGLS      = 536  // SGL support
	offsetIDCtrlSUBNQN    = 768  // NQN of the subsystem
	offsetIDCtrlIOCCSZ    = 1792 // I/O queue command capsule size, in units of capsuleLenUnit
	offsetIDCtrlIORCSZ    = 1796 // I/O queue response capsule size, in units of capsuleLenUnit
	offsetIDCtrlMSDBD     = 1803 // maximum number of SGL data block descriptors
)

// Lengths in bytes.
const (
	serialNumberLen     = 20
	modelNumberLen      = 40
	firmwareRevisionLen = 8
	subsystemNQNLen     = 256
	capsuleLenUnit      = 16
)

const (
	// modelNumber must never change, because hosts build the names of their devices from it.
	modelNumber      = "spindlehitch"
	firmwareRevision = "1"

	typeIOController    = 1
	abortLimit          = 4         // maximum number of outstanding Aborts
	sqEntrySizes        = 0x66      // required and maximum size, as powers of two of bytes
	cqEntrySizes        = 0x44      // required and maximum size, as powers of two of bytes
	maxCommands         = 1024      // MAXCMD: maximum outstanding commands of an I/O queue, as announced to hosts
	sglSupport          = 1 | 1<<20 // SGLs are supported, also with an offset into the capsule as the address
	descriptorTypeEUI   = 1
	descriptorEUILen    = 8
	descriptorHeaderLen = 4
)

func (q *controllerQueue) handleIdentify(p *pendingCommand) {
	data := q.identify(&p.entry)
	if data == nil || p.entry.sglType() != sglTransport || p.entry.sglLength() != identifyDataLen {
		q.fail(p, statusInvalidFieldInCommand)
		return
	}
	q.complete(p, statusSuccess, 0, data)
}

// identify returns the data structure that an Identify command requests. It returns nil if the data structure is not
// supported or the namespace does not exist.
func (q *controllerQueue) identify(entry *command) []byte {
	namespace := q.server.namespaces[entry.namespaceID()]
	switch entry[sqeIdentifyCNS] {
	case cnsController:
		return q.server.identifyController(q.association.controllerID)
	case cnsActiveNamespaces:
		return q.server.identifyActiveNamespaces(entry.namespaceID())
	case cnsNamespace:
		if namespace != nil {
			return namespace.identify()
		}
	case cnsNamespaceDescriptors:
		if namespace != nil {
			return namespace.identifyDescriptors()
		}
	}
	return nil
}

func (n *Namespace) identify() []byte {
	data := make([]byte, identifyDataLen)
	for _, offset := range []int{offsetIDNSNSZE, offsetIDNSNCAP, offsetIDNSNUSE} {
		binary.LittleEndian.PutUint64(data[offset:], n.Blocks)
	}
	data[offsetIDNSLBADS] = byte(bits.TrailingZeros(uint(n.BlockBytes)))
	return data
}

func (s *Server) identifyController(id uint16) []byte {
	data := make([]byte, identifyDataLen)
	subsystem := s.options.Subsystem
	putText(data[offsetIDCtrlSN:], serialNumberLen, subsystem[max(0, len(subsystem)-serialNumberLen):])
	putText(data[offsetIDCtrlMN:], modelNumberLen, modelNumber)
	putText(data[offsetIDCtrlFR:], firmwareRevisionLen, firmwareRevision)
	data[offsetIDCtrlMDTS] = mdts
	binary.LittleEndian.PutUint16(data[offsetIDCtrlCNTLID:], id)
	binary.LittleEndian.PutUint32(data[offsetIDCtrlVER:], specificationVersion)
	data[offsetIDCtrlCNTRLTYPE] = typeIOController
	for i, delay := range retryDelays {
		binary.LittleEndian.PutUint16(data[offsetIDCtrlCRDT1+2*i:], delay)
	}
	data[offsetIDCtrlACL] = abortLimit - 1
	binary.LittleEndian.PutUint16(data[offsetIDCtrlKAS:], 1)
	data[offsetIDCtrlSQES] = sqEntrySizes
	data[offsetIDCtrlCQES] = cqEntrySizes
	binary.LittleEndian.PutUint16(data[offsetIDCtrlMAXCMD:], maxCommands)
	binary.LittleEndian.PutUint32(data[offsetIDCtrlNN:], s.maxNamespaceID())
	binary.LittleEndian.PutUint32(data[offsetIDCtrlSGLS:], sglSupport)
	copy(data[offsetIDCtrlSUBNQN:][:subsystemNQNLen], subsystem)
	binary.LittleEndian.PutUint32(data[offsetIDCtrlIOCCSZ:], (commandLen+maxInCapsuleData)/capsuleLenUnit)
	binary.LittleEndian.PutUint32(data[offsetIDCtrlIORCSZ:], 1)
	data[offsetIDCtrlMSDBD] = 1
	return data
}

// putText writes a text field of the given length, padded with spaces.
func putText(field []byte, length int, text string) {
	for i := copy(field[:length], text); i < length; i++ {
		field[i] = ' '
	}
}

// identifyActiveNamespaces returns a list of the namespace IDs greater than after, in ascending order, as many as fit.
func (s *Server) identifyActiveNamespaces(after uint32) []byte {
	data := make([]byte, 0, identifyDataLen)
	for id := after + 1; id != 0 && id <= s.maxNamespaceID() && len(data) < identifyDataLen; id++ {
		if s.namespaces[id] != nil {
			data = binary.LittleEndian.AppendUint32(data, id)
		}
	}
	return data[:identifyDataLen]
}

func (n *Namespace) identifyDescriptors() []byte {
	data := make([]byte, identifyDataLen)
	data[0] = descriptorTypeEUI
	data[1] = descriptorEUILen
	copy(data[descriptorHeaderLen:], n.eui64())
	return data
}
