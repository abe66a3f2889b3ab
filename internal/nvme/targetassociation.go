package nvme

import (
	"context"
	"encoding/binary"
	"sync"
	"time"
)

const (
	// unusedTimeout is how long an association without I/O queues is kept. Its target may have left the endpoint list.
	unusedTimeout     = 30 * time.Second
	readyPollInterval = 5 * time.Millisecond
	// maxOutstandingAborts bounds the Aborts since the last Keep Alive: one without a completion takes an entry of the admin queue.
	maxOutstandingAborts = 3
	abortWriteTimeout    = 10 * time.Millisecond
)

// targetAssociation is the host side of the association with one target's controller. It is established when first needed, and
// again after it has ended.
type targetAssociation struct {
	host *Host
	addr string

	// adminLock is held while the admin queue is used or established. It is a channel so that waiting for it can be given
	// up: a stalled target must not hold up attempts beyond their deadlines.
	adminLock chan struct{}

	mu                sync.Mutex
	admin             *hostConn // nil: not established
	controllerID      uint16
	maxInCapsuleData  int // bytes of a write that a capsule may hold
	queuesInUse       map[uint16]bool
	lastUsed          time.Time
	outstandingAborts int // Aborts since the last Keep Alive; nobody waits for their completions
}

// queueSlot is a reserved queue ID in an established association.
type queueSlot struct {
	admin            *hostConn // identifies the association's establishment
	controllerID     uint16
	queueID          uint16
	maxInCapsuleData int
}

// reserveQueue establishes the association if need be, and reserves a queue ID in it. It waits no longer than ctx.
func (a *targetAssociation) reserveQueue(ctx context.Context) (queueSlot, error) {
	for {
		slot, established, err := a.tryReserveQueue()
		if established {
			return slot, err
		}
		select {
		case a.adminLock <- struct{}{}:
		case <-ctx.Done():
			return queueSlot{}, ctx.Err()
		}
		err = a.establish(ctx)
		<-a.adminLock
		if err != nil {
			return queueSlot{}, err
		}
	}
}

// tryReserveQueue reserves the lowest free queue ID. It returns established false if there is no admin queue.
func (a *targetAssociation) tryReserveQueue() (slot queueSlot, established bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admin == nil {
		return queueSlot{}, false, nil
	}
	for id := uint16(1); id <= maxIOQueues; id++ {
		if a.queuesInUse[id] {
			continue
		}
		a.queuesInUse[id] = true
		a.lastUsed = time.Now()
		slot := queueSlot{admin: a.admin, controllerID: a.controllerID, queueID: id, maxInCapsuleData: a.maxInCapsuleData}
		return slot, true, nil
	}
	return queueSlot{}, true, errNoFreeQueue
}

func (a *targetAssociation) freeQueue(id uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.queuesInUse, id)
}

// drop ends the establishment that an admin queue stands for, unless there is a newer one.
func (a *targetAssociation) drop(admin *hostConn) {
	a.mu.Lock()
	if a.admin == admin {
		a.admin = nil
	}
	a.mu.Unlock()
	admin.discard()
}

func (a *targetAssociation) isEstablished() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.admin != nil
}

// establish connects the admin queue, enables the controller and reads its limits, unless another goroutine has. The caller
// holds adminLock.
func (a *targetAssociation) establish(ctx context.Context) error {
	if a.isEstablished() {
		return nil
	}
	admin, err := a.host.dial(ctx, a.addr)
	if err != nil {
		return err
	}
	controllerID, maxInCapsuleData, err := a.host.enable(ctx, admin)
	if err != nil {
		admin.discard()
		return err
	}
	admin.setDeadline(time.Time{})
	a.mu.Lock()
	a.admin = admin
	a.controllerID = controllerID
	a.maxInCapsuleData = maxInCapsuleData
	a.outstandingAborts = 0
	a.lastUsed = time.Now()
	a.mu.Unlock()
	go a.keepAliveLoop(admin)
	return nil
}

// enable connects an admin queue, enables its controller and waits until it is ready.
func (h *Host) enable(ctx context.Context, admin *hostConn) (controllerID uint16, maxInCapsuleData int, err error) {
	if controllerID, err = admin.connect(h.options, 0, anyControllerID); err != nil {
		return 0, 0, err
	}
	if err := admin.setConfiguration(ccEntrySizes | ccEnable); err != nil {
		return 0, 0, err
	}
	if err := waitUntilReady(ctx, admin); err != nil {
		return 0, 0, err
	}
	data, err := admin.identifyController()
	if err != nil {
		return 0, 0, err
	}
	capsuleLen := int(binary.LittleEndian.Uint32(data[offsetIDCtrlIOCCSZ:])) * capsuleLenUnit
	return controllerID, max(0, capsuleLen-commandLen), nil
}

func waitUntilReady(ctx context.Context, admin *hostConn) error {
	for {
		csts, err := admin.getProperty(propertyCSTS)
		if err != nil || csts&cstsReady != 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
}

// keepAliveLoop sends Keep Alive at half of its timeout, until one fails or the association is unused; it drops the
// association then.
func (a *targetAssociation) keepAliveLoop(admin *hostConn) {
	interval := a.host.options.KeepAliveTimeout / 2
	for {
		time.Sleep(interval)
		if !a.isNeeded(admin) || a.sendKeepAlive(admin, interval) != nil {
			a.drop(admin)
			return
		}
	}
}

// isNeeded reports whether an admin queue is the present one, and was used recently.
func (a *targetAssociation) isNeeded(admin *hostConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isUsed := len(a.queuesInUse) > 0 || time.Since(a.lastUsed) <= unusedTimeout
	return a.admin == admin && isUsed
}

func (a *targetAssociation) sendKeepAlive(admin *hostConn, timeout time.Duration) error {
	a.adminLock <- struct{}{}
	defer func() { <-a.adminLock }()
	admin.setDeadline(time.Now().Add(timeout))
	_, _, err := admin.execute(newCommand(opKeepAlive, admin.nextCommandID(), 0, false), nil)
	admin.setDeadline(time.Time{})
	a.mu.Lock()
	// Most completions of the Aborts were read before that of the Keep Alive. A controller may complete commands in any
	// order, though: those that are late are read by the next Keep Alive, and the limit leaves entries for them.
	a.outstandingAborts = 0
	a.mu.Unlock()
	return err
}

// abort sends an Abort for a command whose connection is being closed. It spares the target work; nothing depends on it.
// So it does not wait: neither for the admin queue nor for its completion, which a later Keep Alive skips.
func (a *targetAssociation) abort(queueID, commandID uint16) {
	select {
	case a.adminLock <- struct{}{}:
		defer func() { <-a.adminLock }()
	default:
		return
	}
	admin := a.countAbort()
	if admin == nil {
		return
	}
	entry := newCommand(opAbort, admin.nextCommandID(), 0, false)
	entry.putU16(sqeAbortQueueID, queueID)
	entry.putU16(sqeAbortCommandID, commandID)
	// Errors are left to the next Keep Alive.
	_ = admin.SetWriteDeadline(time.Now().Add(abortWriteTimeout))
	_ = admin.sendCommand(entry, nil)
	_ = admin.SetWriteDeadline(time.Time{})
}

// countAbort counts an Abort and returns the admin queue to send it on, nil if there is none or too many are unread.
func (a *targetAssociation) countAbort() *hostConn {
	a.mu.Lock()
	defer a.mu.Unlock()
	isAllowed := a.outstandingAborts < maxOutstandingAborts
	a.outstandingAborts++
	if !isAllowed {
		return nil
	}
	return a.admin
}
