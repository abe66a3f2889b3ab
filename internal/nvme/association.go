package nvme

import (
	"sync"
	"time"
)

// maxControllerID is the highest controller ID that is given out; the values above it are reserved.
const maxControllerID = 0xFF00

// association is a host's association with one controller: an admin queue and I/O queues. It ends with the admin queue.
type association struct {
	controllerID uint16
	server       *Server
	hostNQN      string

	keepAliveTimeout time.Duration
	keepAliveTimer   *time.Timer // nil: the host asked for none

	mu               sync.Mutex
	queues           map[uint16]*queue // by queue ID
	configuration    uint32            // property CC
	controllerStatus uint32            // property CSTS
	advancedRetry    bool              // the host honours retry delays (ACRE)
}

// newAssociation makes an association for a host's admin queue. It returns nil if all controller IDs are in use.
func (s *Server) newAssociation(admin *queue, hostNQN string, keepAliveTimeout time.Duration) *association {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.freeControllerID()
	if id == 0 {
		return nil
	}
	a := &association{
		controllerID:     id,
		server:           s,
		hostNQN:          hostNQN,
		keepAliveTimeout: keepAliveTimeout,
		queues:           map[uint16]*queue{0: admin},
	}
	if keepAliveTimeout > 0 {
		a.keepAliveTimer = time.AfterFunc(keepAliveTimeout, func() { a.endAllQueues(reasonKeepAliveTimeout) })
	}
	s.associations[id] = a
	return a
}

// freeControllerID returns the next controller ID that is not in use, 0 if there is none. The caller holds mu.
func (s *Server) freeControllerID() uint16 {
	for range maxControllerID {
		s.lastControllerID = s.lastControllerID%maxControllerID + 1
		if s.associations[s.lastControllerID] == nil {
			return s.lastControllerID
		}
	}
	return 0
}

func (s *Server) association(controllerID uint16) *association {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.associations[controllerID]
}

// join adds an I/O queue. It returns false if the controller is not ready, or has a queue of that ID.
func (a *association) join(q *queue, queueID uint16) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.controllerStatus&cstsReady == 0 || a.queues[queueID] != nil || a.queues[0] == nil {
		return false
	}
	a.queues[queueID] = q
	return true
}

// leave removes a queue whose connection is closed. If it is the admin queue, the association ends.
func (a *association) leave(q *queue) {
	a.mu.Lock()
	if a.queues[q.id] == q {
		delete(a.queues, q.id)
	}
	a.mu.Unlock()
	if q.id != 0 {
		return
	}
	a.server.mu.Lock()
	delete(a.server.associations, a.controllerID)
	a.server.mu.Unlock()
	a.endAllQueues(reasonAssociationEnded)
}

// queue returns the queue of an ID, or nil.
func (a *association) queue(id uint16) *queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queues[id]
}

func (a *association) endAllQueues(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keepAliveTimer != nil {
		a.keepAliveTimer.Stop()
	}
	for _, q := range a.queues {
		q.end(reason)
	}
}

func (a *association) endIOQueues(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, q := range a.queues {
		if id != 0 {
			q.end(reason)
		}
	}
}

// keepAlive restarts the keep-alive timer.
func (a *association) keepAlive() {
	if a.keepAliveTimer != nil {
		a.keepAliveTimer.Reset(a.keepAliveTimeout)
	}
}

func (a *association) setAdvancedRetry(enabled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advancedRetry = enabled
}

func (a *association) hasAdvancedRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.advancedRetry
}
