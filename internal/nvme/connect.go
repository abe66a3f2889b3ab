package nvme

import (
	"bytes"
	"encoding/binary"
	"time"
)

// connectRequest holds the fields of a Connect command and its data.
type connectRequest struct {
	queueID          uint16
	queueSize        int
	keepAliveTimeout time.Duration // 0: none
	controllerID     uint16        // must be anyControllerID for the admin queue
	subsystem        string
	hostNQN          string
}

func parseConnect(entry *command, data []byte) connectRequest {
	return connectRequest{
		queueID:          entry.u16(sqeConnectQueueID),
		queueSize:        int(entry.u16(sqeConnectQueueSize)) + 1,
		keepAliveTimeout: time.Duration(entry.u32(sqeConnectKeepAlive)) * time.Millisecond,
		controllerID:     binary.LittleEndian.Uint16(data[connectControllerID:]),
		subsystem:        parseNQN(data[connectSubsystem:]),
		hostNQN:          parseNQN(data[connectHostNQN:]),
	}
}

// parseNQN returns the name in an NQN field, without the zeros that pad it.
func parseNQN(field []byte) string {
	name, _, _ := bytes.Cut(field[:nqnFieldLen], []byte{0})
	return string(name)
}

// connect handles the first command of a connection, which must be Connect. It creates an association for an admin queue, or
// adds an I/O queue to an existing one.
func (q *controllerQueue) connect(p *pendingCommand, data []byte) {
	switch {
	case !p.entry.isConnect():
		q.fail(p, statusCommandSequenceError)
		return
	case len(data) != connectDataLen:
		q.fail(p, statusInvalidFieldInCommand)
		return
	case p.entry.u16(sqeConnectFormat) != 0:
		q.fail(p, statusConnectIncompatibleFormat)
		return
	}
	request := parseConnect(&p.entry, data)
	a, connectStatus := q.server.connect(q, request)
	if connectStatus != statusSuccess {
		q.complete(p, connectStatus, 0, nil)
		return
	}
	q.association = a
	q.mu.Lock()
	q.id = request.queueID
	q.size = uint16(request.queueSize)
	q.sqHead = 1 // past the entry of Connect
	q.connected.Store(true)
	q.mu.Unlock()
	q.succeed(p, uint64(a.controllerID))
}

// connect returns the association that the queue now belongs to, or the error status with which Connect is completed.
func (s *Server) connect(q *controllerQueue, request connectRequest) (*controllerAssociation, status) {
	if !s.isAcceptable(request) {
		return nil, statusConnectInvalidParameters | statusDoNotRetry
	}
	if request.queueID == 0 {
		return s.connectAdmin(q, request)
	}
	return s.connectIO(q, request)
}

// isAcceptable reports whether the NQNs and the queue size are valid. The maximum size of an admin queue is at least
// adminQueueSize, even if QueueDepth is lower.
func (s *Server) isAcceptable(request connectRequest) bool {
	maxSize := s.options.QueueDepth
	if request.queueID == 0 {
		maxSize = max(maxSize, adminQueueSize)
	}
	return request.subsystem == s.options.Subsystem && request.hostNQN != "" &&
		request.queueSize >= 2 && request.queueSize <= maxSize
}

func (s *Server) connectAdmin(q *controllerQueue, request connectRequest) (*controllerAssociation, status) {
	if request.controllerID != anyControllerID {
		return nil, statusConnectInvalidParameters | statusDoNotRetry
	}
	a := s.newAssociation(q, request.hostNQN, request.keepAliveTimeout)
	if a == nil {
		return nil, statusConnectControllerBusy
	}
	return a, statusSuccess
}

func (s *Server) connectIO(q *controllerQueue, request connectRequest) (*controllerAssociation, status) {
	a := s.association(request.controllerID)
	if a == nil || a.hostNQN != request.hostNQN || request.queueID > maxIOQueues {
		return nil, statusConnectInvalidParameters | statusDoNotRetry
	}
	if !a.addIOQueue(q, request.queueID) {
		return nil, statusCommandSequenceError | statusDoNotRetry
	}
	return a, statusSuccess
}
