package nvme

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"dapplegate/internal/upstream"
)

// HostOptions set up the host side.
type HostOptions struct {
	Subsystem        string // NQN of the targets' subsystem
	HostNQN          string
	HostID           [16]byte
	KeepAliveTimeout time.Duration
	Digests          bool // ask for header and data digests
}

// Host is the host of the targets. It keeps an association with each target, and opens under it an I/O queue of its own for
// each command in flight: an attempt is then given up by closing its connection, without an effect on any other attempt.
type Host struct {
	options HostOptions

	mu           sync.Mutex
	associations map[string]*targetAssociation // by target address
}

var _ upstream.Dialer = (*Host)(nil)

// NewHost returns a host without associations. They are made when first needed.
func NewHost(opt HostOptions) *Host {
	return &Host{options: opt, associations: map[string]*targetAssociation{}}
}

// Dial implements upstream.Dialer. It opens an I/O queue at the target, and an association before it if there is none.
func (h *Host) Dial(ctx context.Context, addr string) (upstream.Conn, error) {
	a := h.association(addr)
	slot, err := a.reserveQueue(ctx)
	if err != nil {
		return nil, err
	}
	conn, err := h.dialIOQueue(ctx, addr, slot)
	if err != nil {
		a.freeQueue(slot.queueID)
		// Failure: a target that was restarted does not know the association and rejects its queues, so that every Dial fails
		// until the next Keep Alive. Dropping the association lets the next Dial establish a new one. A target that is only
		// slow may still have it.
		if !errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			a.drop(slot.admin)
		}
		return nil, err
	}
	conn.setDeadline(time.Time{})
	return &targetQueue{hostConn: conn, association: a, id: slot.queueID, maxInCapsuleData: slot.maxInCapsuleData}, nil
}

// association returns the association with a target; it may have no admin queue yet.
func (h *Host) association(addr string) *targetAssociation {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.associations[addr]
	if a == nil {
		a = &targetAssociation{host: h, addr: addr, queuesInUse: map[uint16]bool{}, adminLock: make(chan struct{}, 1)}
		h.associations[addr] = a
	}
	return a
}

func (h *Host) dialIOQueue(ctx context.Context, addr string, slot queueSlot) (*hostConn, error) {
	conn, err := h.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	if _, err := conn.connect(h.options, slot.queueID, slot.controllerID); err != nil {
		conn.discard()
		return nil, err
	}
	return conn, nil
}
