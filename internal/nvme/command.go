package nvme

import "encoding/binary"

// opcode is the first byte of a submission queue entry. Its values are defined separately for admin and NVM commands.
type opcode byte

const (
	opWrite   opcode = 0x01
	opRead    opcode = 0x02
	opFabrics opcode = 0x7F // on any queue

	opIdentify    opcode = 0x06
	opAbort       opcode = 0x08
	opSetFeatures opcode = 0x09
	opGetFeatures opcode = 0x0A
	opKeepAlive   opcode = 0x18
)

// Fabrics command types, which select the command of the opcode opFabrics.
const (
	fabricsPropertySet byte = 0x00
	fabricsConnect     byte = 0x01
	fabricsPropertyGet byte = 0x04
)

// Feature identifiers of Set Features and Get Features.
const (
	featureNumberOfQueues = 0x07
	featureHostBehavior   = 0x16
)

// SGL descriptor types, each combined with its subtype.
const (
	sglDataInCapsule byte = 0x01 // data block, with the address as an offset into the capsule
	sglTransport     byte = 0x5A // transport data block: the data is transferred in data PDUs
)

// Flags of a submission queue entry.
const (
	flagsDataMask  = 0xC0 // PSDT: whether PRPs or SGLs describe the data
	flagsUseSGL    = 0x40
	flagsFusedMask = 0x03 // FUSE: the command is one of a fused pair
)

// Lengths in bytes.
const (
	commandLen      = 64 // submission queue entry
	connectDataLen  = 1024
	identifyDataLen = 4096
	hostBehaviorLen = 512 // data of Set Features for Host Behavior Support

	// maxInCapsuleData is the maximum length of the data that a command capsule to this controller may carry.
	maxInCapsuleData = 8192
	// maxTransferLen is the maximum data length of one command. MDTS announces it as a power of two in units of the minimum
	// page size.
	maxTransferLen = minPageBytes << mdts
	mdts           = 5
	minPageBytes   = 4096 // minimum page size for CAP.MPSMIN = 0
)

const (
	// maxIOQueues is the maximum number of I/O queues of one association, on both sides. Every attempt in flight at a target
	// and every idle connection to it occupies an I/O queue. Two other limits apply independently: the scheduler's concurrency
	// limit to the attempts at a target, and upstream.Options.MaxConnsPerTarget to its connections of any protocol.
	maxIOQueues = 16
	// adminQueueSize is the lowest maximum size that the specification lets a controller set for admin queues, in entries.
	adminQueueSize = 32
	// anyControllerID is the controller ID in a Connect that requests a new association with any controller.
	anyControllerID = 0xFFFF
)

// Offsets in a submission queue entry. The offsets from 40 on depend on the command.
const (
	sqeFlags       = 1
	sqeCommandID   = 2
	sqeNamespaceID = 4
	sqeFabricsType = 4
	sqeSGLLength   = 32
	sqeSGLType     = 39

	sqeIdentifyCNS = 40 // CNS: selects the data structure

	sqeFeatureID = 40

	sqeAbortQueueID   = 40
	sqeAbortCommandID = 42

	sqeStartLBA = 40
	sqeBlocks   = 48 // number of logical blocks, 0-based

	sqeConnectFormat    = 40
	sqeConnectQueueID   = 42
	sqeConnectQueueSize = 44 // 0-based
	sqeConnectKeepAlive = 48 // milliseconds

	sqePropertySize   = 40
	sqePropertyOffset = 44
	sqePropertyValue  = 48
)

// Offsets in the data of Connect, and the length of its two NQN fields.
const (
	connectHostID       = 0
	connectControllerID = 16
	connectSubsystem    = 256
	connectHostNQN      = 512
	nqnFieldLen         = 256
)

// Offsets in a completion queue entry.
const (
	cqeResult    = 0
	cqeSQHead    = 8
	cqeQueueID   = 10
	cqeCommandID = 12
	cqeStatus    = 14 // Status Field above the phase tag, which is the lowest bit and always 0 in NVMe over Fabrics

	phaseTagBits = 1
)

// command is a submission queue entry.
type command [commandLen]byte

func (c *command) opcode() opcode      { return opcode(c[0]) }
func (c *command) id() uint16          { return c.u16(sqeCommandID) }
func (c *command) namespaceID() uint32 { return c.u32(sqeNamespaceID) }
func (c *command) fabricsType() byte   { return c[sqeFabricsType] }
func (c *command) sglLength() uint32   { return c.u32(sqeSGLLength) }
func (c *command) sglType() byte       { return c[sqeSGLType] }
func (c *command) startLBA() uint64    { return binary.LittleEndian.Uint64(c[sqeStartLBA:]) }
func (c *command) blocks() uint32      { return uint32(c.u16(sqeBlocks)) + 1 }

// hasSupportedFlags reports whether the flags are in the subset: data described by SGLs, which NVMe over Fabrics requires,
// and no fused command.
func (c *command) hasSupportedFlags() bool {
	flags := c[sqeFlags]
	return flags&flagsDataMask == flagsUseSGL && flags&flagsFusedMask == 0
}

func (c *command) isConnect() bool {
	return c.opcode() == opFabrics && c.fabricsType() == fabricsConnect
}

func (c *command) u16(offset int) uint16 { return binary.LittleEndian.Uint16(c[offset:]) }
func (c *command) u32(offset int) uint32 { return binary.LittleEndian.Uint32(c[offset:]) }

func (c *command) putU16(offset int, v uint16) { binary.LittleEndian.PutUint16(c[offset:], v) }
func (c *command) putU32(offset int, v uint32) { binary.LittleEndian.PutUint32(c[offset:], v) }
func (c *command) putU64(offset int, v uint64) { binary.LittleEndian.PutUint64(c[offset:], v) }

// newCommand returns an entry for a command with dataLen bytes of data, in the capsule or transferred in data PDUs.
func newCommand(op opcode, commandID uint16, dataLen int, inCapsule bool) *command {
	c := &command{}
	c[0] = byte(op)
	c[sqeFlags] = flagsUseSGL
	c.putU16(sqeCommandID, commandID)
	c.putU32(sqeSGLLength, uint32(dataLen))
	c[sqeSGLType] = sglTransport
	if inCapsule {
		c[sqeSGLType] = sglDataInCapsule
	}
	return c
}

// newFabricsCommand returns an entry for a Fabrics command. Its data, if any, is in the capsule.
func newFabricsCommand(fabricsType byte, commandID uint16, dataLen int) *command {
	c := newCommand(opFabrics, commandID, dataLen, dataLen > 0)
	c[sqeFabricsType] = fabricsType
	return c
}

// completion is a completion queue entry.
type completion struct {
	result    uint64 // its meaning depends on the command
	sqHead    uint16
	queueID   uint16
	commandID uint16
	status    status
}

// header encodes the entry as the header of a response capsule without the common header.
func (c completion) header() []byte {
	header := make([]byte, capsuleRespHeaderLen-commonHeaderLen)
	binary.LittleEndian.PutUint64(header[cqeResult:], c.result)
	binary.LittleEndian.PutUint16(header[cqeSQHead:], c.sqHead)
	binary.LittleEndian.PutUint16(header[cqeQueueID:], c.queueID)
	binary.LittleEndian.PutUint16(header[cqeCommandID:], c.commandID)
	binary.LittleEndian.PutUint16(header[cqeStatus:], uint16(c.status)<<phaseTagBits)
	return header
}

func parseCompletion(p *pdu) completion {
	entry := p.header[commonHeaderLen:]
	return completion{
		result:    binary.LittleEndian.Uint64(entry[cqeResult:]),
		sqHead:    binary.LittleEndian.Uint16(entry[cqeSQHead:]),
		queueID:   binary.LittleEndian.Uint16(entry[cqeQueueID:]),
		commandID: binary.LittleEndian.Uint16(entry[cqeCommandID:]),
		status:    status(binary.LittleEndian.Uint16(entry[cqeStatus:]) >> phaseTagBits),
	}
}

// IORequest is a read or write, as the payload of a dispatcher call. The payload of the response is the data read, as []byte.
type IORequest struct {
	Write       bool
	NamespaceID uint32
	StartLBA    uint64
	Blocks      uint32
	DataLen     int    // bytes to read or write
	Data        []byte // data to write; unset for a read
}
