package scheduler

// TableSizes holds the number of entries in each table that grows with the requests of clients.
type TableSizes struct {
	Requests     int // queued or in flight
	GivenUp      int // given-up requests that are kept so that a client retry is recognized
	Volumes      int // volumes with state
	Flows        int // volumes with state at a shard queue, over all queues
	SerialQueues int // serialized extents with a request or a settle time
}

// TableSizes returns the current sizes.
func (s *Scheduler) TableSizes() TableSizes {
	sizes := TableSizes{
		Requests:     len(s.requests),
		GivenUp:      s.givenUp.len(),
		Volumes:      len(s.volumes),
		SerialQueues: len(s.serialQueues),
	}
	for _, q := range s.shardQueues {
		sizes.Flows += len(q.flows)
	}
	return sizes
}
