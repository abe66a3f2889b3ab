package nvme

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"dapplegate/internal/upstream"
)

// HostOptions configures the host side.
type HostOptions struct {
	Subsystem        string   // NQN of the targets' subsystem
	HostNQN          string   // NQN of this host
	HostID           [16]byte // identifier of this host
	KeepAliveTimeout time.Duration
	Digests          bool // request header and data digests
}

// Host is the host side: it connects to the targets. It keeps an association with each target, with a separate I/O queue for
// each command in flight, so that an attempt can be given up by closing its connection without affecting other attempts.
type Host struct {
	options HostOptions

	mu           sync.Mutex
	associations map[string]*targetAssociation // by target address
}

var _ upstream.Dialer = (*Host)(nil)

// NewHost returns a host without associations. Dial establishes them when they are first needed.
func NewHost(opts HostOptions) *Host {
	return &Host{options: opts, associations: map[string]*targetAssociation{}}
}

// Dial implements upstream.Dialer. It opens an I/O queue at the target, and establishes the association first if necessary.
func (h *Host) Dial(ctx context.Context, addr string) (upstream.Conn, error) {
	a := h.association(addr)
	slot, err := a.reserveQueueID(ctx)
	if err != nil {
		return nil, err
	}
	conn, err := h.dialIOQueue(ctx, addr, slot)
	if err != nil {
		a.releaseQueueID(slot.queueID)
		// A target that has restarted does not know the association and rejects new queues, so every Dial would fail until the
		// next Keep Alive fails. Dropping the association lets the next Dial establish a new one. After a timeout or a
		// cancellation the association is kept, since a target that is merely slow may still know it.
		if !errors.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil {
			a.drop(slot.admin)
		}
		return nil, err
	}
	conn.setDeadline(time.Time{})
	return &targetQueue{hostConn: conn, association: a, id: slot.queueID, maxInCapsuleData: slot.maxInCapsuleData}, nil
}

// association returns the association with a target, which need not be established.
func (h *Host) association(addr string) *targetAssociation {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.associations[addr]
	if a == nil {
		a = &targetAssociation{host: h, addr: addr, queueIDsInUse: map[uint16]bool{}, adminLock: make(chan struct{}, 1)}
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
