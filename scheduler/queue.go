package scheduler

import (
	"slices"
	"time"
)

// shardQueue holds the requests that wait for one shard. A synchronization point shifts all their tags
// together.
type shardQueue struct {
	shard         int
	target        *target    // serves the shard now; nil: none
	queued        []*request // in order of objectiveEndsAt
	flows         []*flow
	flowsByVolume map[*volume]*flow
	// wakeAt is when queued requests that were not admitted are checked again; never: at the next event.
	wakeAt time.Duration
}

// flow is the state of a volume at one shard queue.
type flow struct {
	volume      *volume
	maxStartTag time.Duration // latest start tag that was assigned
	queued      int           // number of its requests in the queue
}

// shardQueueFor returns the queue of a shard and creates it if needed.
func (s *Scheduler) shardQueueFor(shard int) *shardQueue {
	if q := s.queuesByShard[shard]; q != nil {
		return q
	}
	q := &shardQueue{shard: shard, flowsByVolume: map[*volume]*flow{}}
	s.queuesByShard[shard] = q
	s.shardQueues = append(s.shardQueues, q)
	return q
}

// flow returns the flow of the volume and creates it if needed.
func (q *shardQueue) flow(v *volume) *flow {
	f := q.flowsByVolume[v]
	if f == nil {
		f = &flow{volume: v}
		q.flowsByVolume[v] = f
		q.flows = append(q.flows, f)
	}
	return f
}

// enqueue inserts the request in order of objectiveEndsAt, after requests with the same value.
func (q *shardQueue) enqueue(r *request) {
	r.queue = q
	at := len(q.queued)
	for at > 0 && q.queued[at-1].objectiveEndsAt > r.objectiveEndsAt {
		at--
	}
	q.queued = slices.Insert(q.queued, at, r)
	q.flow(r.volume).queued++
}

// dequeue removes the request from its queue, if present.
func (r *request) dequeue() {
	q := r.queue
	if i := slices.Index(q.queued, r); i >= 0 {
		q.queued = slices.Delete(q.queued, i, i+1)
		q.flow(r.volume).queued--
	}
}
