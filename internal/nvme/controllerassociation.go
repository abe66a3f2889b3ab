package nvme

import (
	"sync"
	"time"
)

// maxControllerID is the highest controller ID that is assigned. It is below the values that the specification reserves, such
// as anyControllerID.
const maxControllerID = 0xFF00

// controllerAssociation is the controller side of an association between a host and a controller. It has an admin queue and
// I/O queues, and ends when the admin queue ends.
type controllerAssociation struct {
	controllerID uint16
	server       *Server
	hostNQN      string

	keepAliveTimeout time.Duration
	keepAliveTimer   *time.Timer // nil: the host requested no keep-alive timeout

	mu            sync.Mutex
	queues        map[uint16]*controllerQueue // by queue ID
	cc            uint32                      // property CC
	csts          uint32                      // property CSTS
	advancedRetry bool                        // the host has enabled Advanced Command Retry (ACRE)
}

// newAssociation creates an association for a host's admin queue, with the next unused controller ID. It returns nil if all
// controller IDs are in use.
func (s *Server) newAssociation(admin *controllerQueue, hostNQN string, keepAliveTimeout time.Duration) *controllerAssociation {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextControllerID()
	if id == 0 {
		return nil
	}
	a := &controllerAssociation{
		controllerID:     id,
		server:           s,
		hostNQN:          hostNQN,
		keepAliveTimeout: keepAliveTimeout,
		queues:           map[uint16]*controllerQueue{0: admin},
	}
	if keepAliveTimeout > 0 {
		a.keepAliveTimer = time.AfterFunc(keepAliveTimeout, func() { a.endAllQueues(reasonKeepAliveTimeout) })
	}
	s.associations[id] = a
	return a
}

// nextControllerID returns the next unused controller ID, or 0 if all are in use. The caller must hold s.mu.
func (s *Server) nextControllerID() uint16 {
	for range maxControllerID {
		s.lastControllerID = s.lastControllerID%maxControllerID + 1
		if s.associations[s.lastControllerID] == nil {
			return s.lastControllerID
		}
	}
	return 0
}

func (s *Server) association(controllerID uint16) *controllerAssociation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.associations[controllerID]
}

// addIOQueue adds an I/O queue. It returns false if the controller is not ready, the queue ID is in use, or the admin queue
// has ended.
func (a *controllerAssociation) addIOQueue(q *controllerQueue, queueID uint16) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.csts&cstsReady == 0 || a.queues[queueID] != nil || a.queues[0] == nil {
		return false
	}
	a.queues[queueID] = q
	return true
}

// removeQueue removes a queue whose connection is closed. Removing the admin queue ends the association.
func (a *controllerAssociation) removeQueue(q *controllerQueue) {
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

// queue returns the queue with the given ID, or nil if there is none.
func (a *controllerAssociation) queue(id uint16) *controllerQueue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queues[id]
}

func (a *controllerAssociation) endAllQueues(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.keepAliveTimer != nil {
		a.keepAliveTimer.Stop()
	}
	for _, q := range a.queues {
		q.end(reason)
	}
}

func (a *controllerAssociation) endIOQueues(reason string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, q := range a.queues {
		if id != 0 {
			q.end(reason)
		}
	}
}

// restartKeepAliveTimer restarts the keep-alive timer, if the host requested a keep-alive timeout.
func (a *controllerAssociation) restartKeepAliveTimer() {
	if a.keepAliveTimer != nil {
		a.keepAliveTimer.Reset(a.keepAliveTimeout)
	}
}

func (a *controllerAssociation) setAdvancedRetry(enabled bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advancedRetry = enabled
}

func (a *controllerAssociation) hasAdvancedRetry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.advancedRetry
}
