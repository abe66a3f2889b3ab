package nvme

import (
	"encoding/binary"
	"math/bits"
)

// Data structures of Identify (CNS).
const (
	identifyNamespace            = 0x00
	identifyController           = 0x01
	identifyActiveNamespaces     = 0x02
	identifyNamespaceDescriptors = 0x03
)

// Offsets in Identify Namespace.
const (
	namespaceSize        = 0   // NSZE, blocks
	namespaceCapacity    = 8   // NCAP
	namespaceUtilization = 16  // NUSE
	namespaceLBADataSize = 130 // LBADS of format 0, a power of two
)

// Offsets and lengths in Identify Controller.
const (
	controllerSerialNumber       = 4
	serialNumberLen              = 20
	controllerModelNumber        = 24
	modelNumberLen               = 40
	controllerFirmwareRevision   = 64
	firmwareRevisionLen          = 8
	controllerMaxTransferSize    = 77 // MDTS, a power of two of pages
	controllerIdentifier         = 78
	controllerVersion            = 80
	controllerType               = 111
	controllerRetryDelays        = 128 // CRDT1 to CRDT3
	controllerAbortLimit         = 258 // ACL, 0-based
	controllerKeepAliveSupport   = 320 // KAS, in units of 100 ms
	controllerSQEntrySize        = 512
	controllerCQEntrySize        = 513
	controllerMaxCommands        = 514
	controllerNamespaceCount     = 516
	controllerSGLSupport         = 536
	controllerSubsystemNQN       = 768
	subsystemNQNLen              = 256
	controllerIOCapsuleLen       = 1792 // IOCCSZ, in units of 16 bytes
	controllerResponseCapsuleLen = 1796 // IORCSZ, in units of 16 bytes
	controllerMaxSGLDescriptors  = 1803
	capsuleLenUnit               = 16
)

const (
	// modelNumber is what hosts build the names of their devices from. It never changes.
	modelNumber      = "spindlehitch"
	firmwareRevision = "1"

	typeIOController  = 1
	abortLimit        = 4 // commands at a time
	sqEntrySizes      = 0x66
	cqEntrySizes      = 0x44
	maxCommands       = 1024
	sglSupport        = 1 | 1<<20 // SGLs, with offsets into the capsule
	descriptorTypeEUI = 1
	descriptorEUILen  = 8
	descriptorHeader  = 4
)

func (q *queue) handleIdentify(p *pendingCommand) {
	data := q.identify(&p.entry)
	if data == nil || p.entry.sglType() != sglTransport || p.entry.sglLength() != identifyDataLen {
		q.fail(p, statusInvalidField)
		return
	}
	q.complete(p, statusSuccess, 0, data)
}

// identify returns the data structure that an Identify command asks for, nil if it is not in the subset or there is no such
// namespace.
func (q *queue) identify(entry *command) []byte {
	namespace := q.server.namespaces[entry.namespaceID()]
	switch entry[sqeIdentifyCNS] {
	case identifyController:
		return q.server.identifyController(q.association.controllerID)
	case identifyActiveNamespaces:
		return q.server.identifyActiveNamespaces(entry.namespaceID())
	case identifyNamespace:
		if namespace != nil {
			return namespace.identify()
		}
	case identifyNamespaceDescriptors:
		if namespace != nil {
			return namespace.identifyDescriptors()
		}
	}
	return nil
}

func (n *Namespace) identify() []byte {
	data := make([]byte, identifyDataLen)
	for _, offset := range []int{namespaceSize, namespaceCapacity, namespaceUtilization} {
		binary.LittleEndian.PutUint64(data[offset:], n.Blocks)
	}
	data[namespaceLBADataSize] = byte(bits.TrailingZeros(uint(n.BlockBytes)))
	return data
}

func (s *Server) identifyController(id uint16) []byte {
	data := make([]byte, identifyDataLen)
	subsystem := s.options.Subsystem
	putText(data[controllerSerialNumber:], serialNumberLen, subsystem[max(0, len(subsystem)-serialNumberLen):])
	putText(data[controllerModelNumber:], modelNumberLen, modelNumber)
	putText(data[controllerFirmwareRevision:], firmwareRevisionLen, firmwareRevision)
	data[controllerMaxTransferSize] = maxTransferPages
	binary.LittleEndian.PutUint16(data[controllerIdentifier:], id)
	binary.LittleEndian.PutUint32(data[controllerVersion:], specificationVersion)
	data[controllerType] = typeIOController
	for i, delay := range retryDelays {
		binary.LittleEndian.PutUint16(data[controllerRetryDelays+2*i:], delay)
	}
	data[controllerAbortLimit] = abortLimit - 1
	binary.LittleEndian.PutUint16(data[controllerKeepAliveSupport:], 1)
	data[controllerSQEntrySize] = sqEntrySizes
	data[controllerCQEntrySize] = cqEntrySizes
	binary.LittleEndian.PutUint16(data[controllerMaxCommands:], maxCommands)
	binary.LittleEndian.PutUint32(data[controllerNamespaceCount:], s.maxNamespaceID())
	binary.LittleEndian.PutUint32(data[controllerSGLSupport:], sglSupport)
	copy(data[controllerSubsystemNQN:][:subsystemNQNLen], subsystem)
	binary.LittleEndian.PutUint32(data[controllerIOCapsuleLen:], (commandLen+maxInCapsuleData)/capsuleLenUnit)
	binary.LittleEndian.PutUint32(data[controllerResponseCapsuleLen:], 1)
	data[controllerMaxSGLDescriptors] = 1
	return data
}

// putText writes a text field, filled up with spaces.
func putText(field []byte, length int, text string) {
	for i := copy(field[:length], text); i < length; i++ {
		field[i] = ' '
	}
}

// identifyActiveNamespaces lists the namespace IDs above after, in order, as far as they fit.
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
	copy(data[descriptorHeader:], n.eui64())
	return data
}
