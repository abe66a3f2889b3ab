package nvme

import (
	"context"
	"encoding/binary"
	"sync"
	"time"
)

const (
	// unusedTimeout is how long an association without I/O queues is kept after its last use. It is not kept for longer,
	// because its target may no longer be on the endpoint list.
	unusedTimeout     = 30 * time.Second
	readyPollInterval = 5 * time.Millisecond
	// maxOutstandingAborts limits the Aborts since the last Keep Alive, because each Abort occupies an entry of the admin
	// queue until it is completed.
	maxOutstandingAborts = 3
	abortWriteTimeout    = 10 * time.Millisecond
)

// targetAssociation is the host side of the association with one target's controller. It is established when it is first
// needed, and re-established when it is needed after it has ended.
type targetAssociation struct {
	host *Host
	addr string

	// adminLock is held while the admin queue is used or established. It is a channel of capacity 1 rather than a mutex, so
	// that waiting for it can be given up: a stalled target must not delay attempts beyond their deadlines.
	adminLock chan struct{}

	mu                sync.Mutex
	admin             *hostConn // nil: not established
	controllerID      uint16
	maxInCapsuleData  int // maximum length of the data that a command capsule to the controller may carry
	queueIDsInUse     map[uint16]bool
	lastUsed          time.Time // when a queue ID was last reserved, or the association established
	outstandingAborts int       // Aborts since the last Keep Alive; nothing waits for their completions
}

// queueSlot is a reserved queue ID in an established association.
type queueSlot struct {
	admin            *hostConn // the association's admin queue when the ID was reserved
	controllerID     uint16
	queueID          uint16
	maxInCapsuleData int
}

// reserveQueueID reserves a queue ID in the association, and establishes the association first if necessary. It waits no
// longer than ctx allows.
func (a *targetAssociation) reserveQueueID(ctx context.Context) (queueSlot, error) {
	for {
		slot, established, err := a.tryReserveQueueID()
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

// tryReserveQueueID reserves the lowest unused queue ID. established is false if there is no admin queue.
func (a *targetAssociation) tryReserveQueueID() (slot queueSlot, established bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.admin == nil {
		return queueSlot{}, false, nil
	}
	for id := uint16(1); id <= maxIOQueues; id++ {
		if a.queueIDsInUse[id] {
			continue
		}
		a.queueIDsInUse[id] = true
		a.lastUsed = time.Now()
		slot := queueSlot{admin: a.admin, controllerID: a.controllerID, queueID: id, maxInCapsuleData: a.maxInCapsuleData}
		return slot, true, nil
	}
	return queueSlot{}, true, errNoFreeQueue
}

func (a *targetAssociation) releaseQueueID(id uint16) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.queueIDsInUse, id)
}

// drop closes an admin queue. If it is the association's current one, the association is no longer established.
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

// establish connects the admin queue, enables the controller and reads its limits, unless another goroutine has already done
// so. The caller must hold adminLock.
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

// enable connects an admin queue, enables its controller, waits until the controller is ready and reads its limits.
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

// keepAliveLoop sends a Keep Alive at intervals of half the keep-alive timeout. When a Keep Alive fails or the association is
// no longer used, it drops the association.
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

// isNeeded reports whether admin is the association's current admin queue, and I/O queues are open or were opened recently.
func (a *targetAssociation) isNeeded(admin *hostConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isUsed := len(a.queueIDsInUse) > 0 || time.Since(a.lastUsed) <= unusedTimeout
	return a.admin == admin && isUsed
}

func (a *targetAssociation) sendKeepAlive(admin *hostConn, timeout time.Duration) error {
	a.adminLock <- struct{}{}
	defer func() { <-a.adminLock }()
	admin.setDeadline(time.Now().Add(timeout))
	_, _, err := admin.execute(newCommand(opKeepAlive, admin.nextCommandID(), 0, false), nil)
	admin.setDeadline(time.Time{})
	a.mu.Lock()
	// The completions of most Aborts have been read before that of the Keep Alive. Since a controller may complete commands
	// in any order, the others are read by the next Keep Alive; maxOutstandingAborts is low enough to leave entries for them.
	a.outstandingAborts = 0
	a.mu.Unlock()
	return err
}

// abort sends an Abort for a command whose connection is being closed. This only saves the target work and is not required
// for correctness, so abort waits neither for the admin queue, nor for the completion, which a later Keep Alive skips.
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
	// Errors are ignored: the next Keep Alive detects a failed connection.
	_ = admin.SetWriteDeadline(time.Now().Add(abortWriteTimeout))
	_ = admin.sendCommand(entry, nil)
	_ = admin.SetWriteDeadline(time.Time{})
}

// countAbort counts an Abort and returns the admin queue to send it on. It returns nil if there is no admin queue or too many
// Aborts are outstanding.
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
