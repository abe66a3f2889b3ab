package nvme

// Controller properties, by offset.
const (
	propertyCapabilities  = 0x00 // CAP, 8 bytes
	propertyVersion       = 0x08 // VS
	propertyConfiguration = 0x14 // CC
	propertyStatus        = 0x1C // CSTS
)

const (
	// capabilities is CAP without MQES: contiguous queues, ready within ten times 500 ms, the NVM command set.
	capabilities = 1<<16 | 10<<24 | 1<<37

	specificationVersion = 0x00010400 // 1.4

	ccEnable   = 1 << 0
	ccShutdown = 3 << 14 // SHN
	// ccEntrySizes are the sizes of queue entries as powers of two: 64 and 16 bytes.
	ccEntrySizes = 6<<16 | 4<<20

	cstsReady            = 1 << 0
	cstsShutdownComplete = 2 << 2

	propertySizeMask = 7
	propertySize8    = 1 // 0 is 4 bytes
)

// handleFabrics handles the Fabrics commands of a connected queue: Property Get and Set on the admin queue.
func (q *queue) handleFabrics(p *pendingCommand) {
	fabricsType := p.entry.fabricsType()
	switch {
	case fabricsType == fabricsConnect:
		q.fail(p, statusSequenceError)
	case q.id == 0 && fabricsType == fabricsPropertyGet:
		q.getProperty(p)
	case q.id == 0 && fabricsType == fabricsPropertySet:
		q.setProperty(p)
	default:
		q.fail(p, statusInvalidOpcode)
	}
}

func (q *queue) getProperty(p *pendingCommand) {
	offset := p.entry.u32(sqePropertyOffset)
	value, known := q.association.property(offset)
	if !known || p.entry.isWideProperty() != (offset == propertyCapabilities) {
		q.fail(p, statusInvalidField)
		return
	}
	q.succeed(p, value)
}

// setProperty sets CC, the only property that is not read-only here.
func (q *queue) setProperty(p *pendingCommand) {
	if p.entry.u32(sqePropertyOffset) != propertyConfiguration || p.entry.isWideProperty() {
		q.fail(p, statusInvalidField)
		return
	}
	q.association.configure(p.entry.u32(sqePropertyValue))
	q.succeed(p, 0)
}

// isWideProperty reports whether a property command is for 8 bytes instead of 4.
func (c *command) isWideProperty() bool { return c[sqePropertySize]&propertySizeMask == propertySize8 }

func (a *association) property(offset uint32) (value uint64, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch offset {
	case propertyCapabilities:
		return capabilities | uint64(a.server.options.QueueDepth-1), true // MQES is 0-based
	case propertyVersion:
		return specificationVersion, true
	case propertyConfiguration:
		return uint64(a.configuration), true
	case propertyStatus:
		return uint64(a.controllerStatus), true
	}
	return 0, false
}

// configure sets CC, which enables, resets or shuts down the controller. A reset ends its I/O queues.
func (a *association) configure(configuration uint32) {
	a.mu.Lock()
	wasEnabled := a.configuration&ccEnable != 0
	isEnabled := configuration&ccEnable != 0
	a.configuration = configuration
	switch {
	case !isEnabled:
		a.controllerStatus = 0
	case configuration&ccShutdown != 0:
		a.controllerStatus |= cstsShutdownComplete
	default:
		a.controllerStatus = cstsReady
	}
	a.mu.Unlock()
	if wasEnabled && !isEnabled {
		a.endIOQueues(reasonControllerReset)
	}
}
