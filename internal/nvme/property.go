package nvme

// Offsets of controller properties.
const (
	propertyCAP  = 0x00 // controller capabilities, 8 bytes
	propertyVS   = 0x08 // version
	propertyCC   = 0x14 // controller configuration
	propertyCSTS = 0x1C // controller status
)

const (
	// capWithoutMQES is the property CAP without MQES: physically contiguous queues are required (CQR), the controller is
	// ready within ten times 500 ms (TO), and the NVM command set is supported (CSS).
	capWithoutMQES = 1<<16 | 10<<24 | 1<<37

	specificationVersion = 0x00010400 // 1.4

	ccEnable   = 1 << 0
	ccShutdown = 3 << 14 // SHN: shutdown notification
	// ccEntrySizes sets IOSQES and IOCQES, the sizes of queue entries as powers of two: 64 and 16 bytes.
	ccEntrySizes = 6<<16 | 4<<20

	cstsReady            = 1 << 0
	cstsShutdownComplete = 2 << 2

	propertySizeMask = 7
	propertySize8    = 1 // 8 bytes; 0 stands for 4 bytes
)

// handleFabrics handles a Fabrics command on a connected queue. Only Property Get and Property Set on the admin queue are
// supported.
func (q *controllerQueue) handleFabrics(p *pendingCommand) {
	fabricsType := p.entry.fabricsType()
	switch {
	case fabricsType == fabricsConnect:
		q.fail(p, statusCommandSequenceError)
	case q.id == 0 && fabricsType == fabricsPropertyGet:
		q.getProperty(p)
	case q.id == 0 && fabricsType == fabricsPropertySet:
		q.setProperty(p)
	default:
		q.fail(p, statusInvalidCommandOpcode)
	}
}

func (q *controllerQueue) getProperty(p *pendingCommand) {
	offset := p.entry.u32(sqePropertyOffset)
	value, known := q.association.property(offset)
	if !known || p.entry.isWideProperty() != (offset == propertyCAP) {
		q.fail(p, statusInvalidFieldInCommand)
		return
	}
	q.succeed(p, value)
}

// setProperty handles Property Set. The only writable property is CC.
func (q *controllerQueue) setProperty(p *pendingCommand) {
	if p.entry.u32(sqePropertyOffset) != propertyCC || p.entry.isWideProperty() {
		q.fail(p, statusInvalidFieldInCommand)
		return
	}
	q.association.configure(p.entry.u32(sqePropertyValue))
	q.succeed(p, 0)
}

// isWideProperty reports whether a property command is for a property of 8 bytes rather than 4.
func (c *command) isWideProperty() bool { return c[sqePropertySize]&propertySizeMask == propertySize8 }

// property returns the value of the property at an offset. known is false if there is no such property.
func (a *controllerAssociation) property(offset uint32) (value uint64, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch offset {
	case propertyCAP:
		return capWithoutMQES | uint64(a.server.options.QueueDepth-1), true // MQES is 0-based
	case propertyVS:
		return specificationVersion, true
	case propertyCC:
		return uint64(a.cc), true
	case propertyCSTS:
		return uint64(a.csts), true
	}
	return 0, false
}

// configure sets the property CC, which enables, resets or shuts down the controller. A reset ends the I/O queues.
func (a *controllerAssociation) configure(cc uint32) {
	a.mu.Lock()
	wasEnabled := a.cc&ccEnable != 0
	isEnabled := cc&ccEnable != 0
	a.cc = cc
	switch {
	case !isEnabled:
		a.csts = 0
	case cc&ccShutdown != 0:
		a.csts |= cstsShutdownComplete
	default:
		a.csts = cstsReady
	}
	a.mu.Unlock()
	if wasEnabled && !isEnabled {
		a.endIOQueues(reasonControllerReset)
	}
}
