package nvme

// handleAdmin handles a command on the admin queue. data is the data in its capsule.
func (q *controllerQueue) handleAdmin(p *pendingCommand, data []byte) {
	switch p.entry.opcode() {
	case opKeepAlive:
		q.association.restartKeepAliveTimer()
		q.succeed(p, 0)
	case opAbort:
		q.handleAbort(p)
	case opIdentify:
		q.handleIdentify(p)
	case opSetFeatures, opGetFeatures:
		q.handleFeatures(p, data)
	default:
		q.fail(p, statusInvalidCommandOpcode)
	}
}

// handleAbort aborts a command on any queue of the association. The result of the Abort says whether the command was aborted.
func (q *controllerQueue) handleAbort(p *pendingCommand) {
	const aborted, notAborted = 0, 1
	owner := q.association.queue(p.entry.u16(sqeAbortQueueID))
	if owner != nil && owner.abort(p.entry.u16(sqeAbortCommandID)) {
		q.succeed(p, aborted)
		return
	}
	q.succeed(p, notAborted)
}

// handleFeatures handles Set Features and Get Features. The supported features are the number of queues, which is fixed, and
// the host's support for Advanced Command Retry, which can only be set.
func (q *controllerQueue) handleFeatures(p *pendingCommand, data []byte) {
	const bothQueueCounts = (maxIOQueues-1)<<16 | (maxIOQueues - 1) // 0-based
	feature := p.entry[sqeFeatureID]
	switch {
	case feature == featureNumberOfQueues:
		q.succeed(p, bothQueueCounts)
	case feature == featureHostBehavior && p.entry.opcode() == opSetFeatures && len(data) == hostBehaviorLen:
		q.association.setAdvancedRetry(data[0] == 1)
		q.succeed(p, 0)
	default:
		q.fail(p, statusInvalidFieldInCommand)
	}
}
