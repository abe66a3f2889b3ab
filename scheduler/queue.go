package scheduler

import (
	"slices"
	"time"
)

// shardQueue holds the requests that wait for one shard. Its tags move together.
type shardQueue struct {
	shard         int
	target        *target    // the target that serves the shard now; nil: none
	queued        []*request // in order of objectiveAt
	flows         []*flow
	flowsByVolume map[*volume]*flow
	// wakeAt is when queued requests that were not admitted are checked again; never: with the next event.
	wakeAt time.Duration
}

// flow is a volume's state at one shard queue.
type flow struct {
	volume      *volume
	maxStartTag time.Duration
	queued      int
}

// shardQueueFor returns the queue of a shard, and creates it if needed.
func (s *Scheduler) shardQueueFor(shard int) *shardQueue {
	for _, q := range s.shardQueues {
		if q.shard == shard {
			return q
		}
	}
	q := &shardQueue{shard: shard, flowsByVolume: map[*volume]*flow{}}
	s.shardQueues = append(s.shardQueues, q)
	return q
}

// flow returns the volume's flow, and creates it if needed.
func (q *shardQueue) flow(v *volume) *flow {
	f := q.flowsByVolume[v]
	if f == nil {
		f = &flow{volume: v}
		q.flowsByVolume[v] = f
		q.flows = append(q.flows, f)
	}
	return f
}

// enqueue adds the request, behind those whose objective ends at the same time.
func (q *shardQueue) enqueue(r *request) {
	r.queue = q
	at := len(q.queued)
	for at > 0 && q.queued[at-1].objectiveAt > r.objectiveAt {
		at--
	}
	q.queued = slices.Insert(q.queued, at, r)
	q.flow(r.volume).queued++
}

// dequeue removes the request from its queue, if it is there.
func (r *request) dequeue() {
	q := r.queue
	if i := slices.Index(q.queued, r); i >= 0 {
		q.queued = slices.Delete(q.queued, i, i+1)
		q.flow(r.volume).queued--
	}
}
