package nvme

import (
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
)

// handleIO handles a command on an I/O queue, which must be a read or a write. It submits the command to the dispatcher, or,
// if a write's data is not in the capsule, requests the data with an R2T first.
func (q *controllerQueue) handleIO(p *pendingCommand, inCapsule []byte) {
	if op := p.entry.opcode(); op != opRead && op != opWrite {
		q.fail(p, statusInvalidCommandOpcode)
		return
	}
	namespace := q.server.namespaces[p.entry.namespaceID()]
	if namespace == nil {
		q.fail(p, statusInvalidNamespace)
		return
	}
	request := newIORequest(&p.entry, namespace)
	if s := checkIO(&p.entry, namespace, request, inCapsule); s != statusSuccess {
		q.fail(p, s)
		return
	}
	if !q.reserveBytes(p, request) {
		q.reject(p, q.association.hasAdvancedRetry())
		return
	}
	switch {
	case !request.Write:
		q.submit(p)
	case p.entry.sglType() == sglDataInCapsule:
		request.Data = inCapsule
		q.submit(p)
	default:
		q.requestData(p, namespace)
	}
}

func newIORequest(entry *command, namespace *Namespace) *IORequest {
	return &IORequest{
		Write:       entry.opcode() == opWrite,
		NamespaceID: namespace.ID,
		StartLBA:    entry.startLBA(),
		Blocks:      entry.blocks(),
		DataLen:     int(entry.blocks()) * namespace.BlockBytes,
	}
}

// checkIO returns an error status if the range of blocks or the SGL descriptor is invalid, otherwise statusSuccess. A command
// may span several extents: see Namespace.schedulerRequest.
func checkIO(entry *command, namespace *Namespace, request *IORequest, inCapsule []byte) status {
	if request.StartLBA >= namespace.Blocks || uint64(request.Blocks) > namespace.Blocks-request.StartLBA {
		return statusLBAOutOfRange
	}
	if request.DataLen > maxTransferLen || int(entry.sglLength()) != request.DataLen {
		return statusInvalidFieldInCommand
	}
	isValidDescriptor := false
	switch entry.sglType() {
	case sglDataInCapsule:
		isValidDescriptor = request.Write && len(inCapsule) == request.DataLen && request.DataLen <= maxInCapsuleData
	case sglTransport:
		isValidDescriptor = len(inCapsule) == 0
	}
	if !isValidDescriptor {
		return statusInvalidFieldInCommand
	}
	return statusSuccess
}

// reserveBytes counts a command's data against MaxBufferedBytes. It returns false if the command must be rejected, because it
// would exceed the limit or the server is shutting down. Connections check and add without a common lock, so the sum may
// exceed the limit by one command per connection.
func (q *controllerQueue) reserveBytes(p *pendingCommand, request *IORequest) bool {
	dataLen := int64(request.DataLen)
	if q.server.rejecting.Load() || q.server.bufferedBytes.Load()+dataLen > q.server.options.MaxBufferedBytes {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	p.ioRequest = request
	q.server.bufferedBytes.Add(dataLen)
	return true
}

// reject completes a command that has not been started. The host may retry it, here or elsewhere.
func (q *controllerQueue) reject(p *pendingCommand, advancedRetry bool) {
	q.complete(p, completionStatus(dispatcher.Overloaded, advancedRetry), 0, nil)
}

// submit hands a command to the dispatcher, which responds to it exactly once unless it is cancelled before. If the dispatcher
// does not take the command, submit rejects it.
func (q *controllerQueue) submit(p *pendingCommand) {
	advancedRetry := q.association.hasAdvancedRetry()
	call := q.newCall(p, advancedRetry)
	if !q.submitPending(p, call) {
		q.reject(p, advancedRetry)
	}
}

// submitPending submits the call of a command if the command is still pending. It returns false only if the dispatcher does
// not take the call. It holds mu throughout: otherwise an Abort could complete the command between the check and the
// submission, when there is no call to cancel yet, and the command would still be executed. Submit neither blocks nor calls
// Respond before it returns, so it can be called with mu held.
func (q *controllerQueue) submitPending(p *pendingCommand, call *dispatcher.Call) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.commands[p.entry.id()] != p {
		return true
	}
	p.call = call
	q.server.openCommands.Add(1)
	return q.server.dispatcher.Submit(call)
}

func (q *controllerQueue) newCall(p *pendingCommand, advancedRetry bool) *dispatcher.Call {
	namespace := q.server.namespaces[p.ioRequest.NamespaceID]
	call := &dispatcher.Call{
		Request:      namespace.schedulerRequest(p.ioRequest),
		ReceivedAt:   time.Now(),
		Payload:      p.ioRequest,
		ClientClosed: func() bool { return socket.ClosedByPeer(q.conn) },
		Respond:      func(response dispatcher.Response) { q.respond(p, response, advancedRetry) },
	}
	deadline := q.server.options.ClassDeadlines[call.Class]
	call.ClientTimeout = q.server.shutdownSchedule.LimitTimeout(deadline, call.ReceivedAt, q.server.shutdownAt.Load())
	return call
}

// respond completes a command with the dispatcher's response. A read succeeds only if the data has the requested length.
func (q *controllerQueue) respond(p *pendingCommand, response dispatcher.Response, advancedRetry bool) {
	if response.Status != dispatcher.Served || p.ioRequest.Write {
		q.complete(p, completionStatus(response, advancedRetry), 0, nil)
		return
	}
	data, _ := response.Payload.([]byte)
	if len(data) != p.ioRequest.DataLen {
		q.fail(p, statusInternalError)
		return
	}
	q.complete(p, statusSuccess, 0, data)
}
