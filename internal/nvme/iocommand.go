package nvme

import (
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/socket"
)

// handleIO handles a command on an I/O queue: a read or a write, whose data is in the capsule or asked for by R2T.
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
		Bytes:       int(entry.blocks()) * namespace.BlockBytes,
	}
}

// checkIO checks the range of blocks, and that the data descriptor fits it. It does not check extents: see Namespace.request.
func checkIO(entry *command, namespace *Namespace, request *IORequest, inCapsule []byte) status {
	if request.StartLBA >= namespace.Blocks || uint64(request.Blocks) > namespace.Blocks-request.StartLBA {
		return statusLBAOutOfRange
	}
	if request.Bytes > maxTransferLen || int(entry.sglLength()) != request.Bytes {
		return statusInvalidFieldInCommand
	}
	isValid := false
	switch entry.sglType() {
	case sglDataInCapsule:
		isValid = request.Write && len(inCapsule) == request.Bytes && request.Bytes <= maxInCapsuleData
	case sglTransport:
		isValid = len(inCapsule) == 0
	}
	if !isValid {
		return statusInvalidFieldInCommand
	}
	return statusSuccess
}

// reserveBytes counts a command's data against MaxBufferedBytes. It returns false if the server accepts no further commands
// for now. Connections check and add independently of each other, so that the sum may exceed the limit by one command for
// each.
func (q *controllerQueue) reserveBytes(p *pendingCommand, request *IORequest) bool {
	bytes := int64(request.Bytes)
	if q.server.rejecting.Load() || q.server.bufferedBytes.Load()+bytes > q.server.options.MaxBufferedBytes {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	p.io = request
	q.server.bufferedBytes.Add(bytes)
	return true
}

// reject completes a command of which nothing was begun: the host may retry it, here or elsewhere.
func (q *controllerQueue) reject(p *pendingCommand, advancedRetry bool) {
	q.complete(p, completionStatus(dispatcher.Overloaded, advancedRetry), 0, nil)
}

// submit hands a command to the dispatcher, which responds to it exactly once.
func (q *controllerQueue) submit(p *pendingCommand) {
	advancedRetry := q.association.hasAdvancedRetry()
	call := q.newCall(p, advancedRetry)
	if !q.submitPending(p, call) {
		q.reject(p, advancedRetry)
	}
}

// submitPending submits the call of a command that is still pending. It returns false if the dispatcher does not take it.
// The lock is held throughout: otherwise an Abort could complete the command between the check and the submission, find no
// call to cancel, and the command would still run. Submit neither waits nor responds.
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
	namespace := q.server.namespaces[p.io.NamespaceID]
	call := &dispatcher.Call{
		Request:    namespace.request(p.io),
		ReceivedAt: time.Now(),
		Payload:    p.io,
		ClientGone: func() bool { return socket.ClosedByPeer(q.conn) },
		Respond:    func(response dispatcher.Response) { q.respond(p, response, advancedRetry) },
	}
	deadline := q.server.options.ClassDeadlines[call.Class]
	call.ClientTimeout = q.server.schedule.LimitTimeout(deadline, call.ReceivedAt, q.server.shutdownAt.Load())
	return call
}

// respond completes a command with the dispatcher's response. A read is served with exactly its data or not at all.
func (q *controllerQueue) respond(p *pendingCommand, response dispatcher.Response, advancedRetry bool) {
	if response.Status != dispatcher.Served || p.io.Write {
		q.complete(p, completionStatus(response, advancedRetry), 0, nil)
		return
	}
	data, _ := response.Payload.([]byte)
	if len(data) != p.io.Bytes {
		q.fail(p, statusInternalError)
		return
	}
	q.complete(p, statusSuccess, 0, data)
}
