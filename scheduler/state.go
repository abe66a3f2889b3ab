package scheduler

// What the scheduler keeps, and small helpers. No decision is taken here.

import (
	"maps"
	"math"
	"slices"
	"time"
)

// never is a time that no clock reaches.
const never = time.Duration(math.MaxInt64)

func seconds(x float64) time.Duration { return time.Duration(min(x, 1e6) * float64(time.Second)) }

// without returns the list with r taken out.
func without(list []*request, r *request) []*request {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// request is a held or sent request; it stays known until it is answered and no attempt is out.
type request struct {
	Request
	class           *Class
	volume          *volume
	queue           *shardQueue
	firstAskedAt    time.Duration // when its client first asked
	objectiveAt     time.Duration // when the aim ends
	deadline        time.Duration // when the client leaves
	answerBy        time.Duration // when it gets its answer, if nothing is out then
	startTag        time.Duration // start tag
	finishTag       time.Duration // finish tag
	notBefore       time.Duration // no attempt before
	attempts        int
	inFlight        *target // where its attempt is, if any
	sentAt          time.Duration
	mayHaveExecuted bool          // an attempt may have run
	executedZone    string        // where
	executedShard   int           // and at which shard
	executedSince   time.Duration // since when
	charged         bool          // its units were drawn from the volume's limit
	loadAtSend      float64       // load that the node told of just before the attempt; -1: not known
	pastObjective   bool          // can no longer be answered within the aim
	deprioritized   bool          // set aside: the node cannot do all in time, and this earns least
	answered        bool
	heapIndex       int // place among the times to answer by; -1: not there
}

// ask is what two tries of one client have in common.
type retryKey struct {
	class, volume, extent string
	units                 float64
}

func (r *request) retryKey() retryKey { return retryKey{r.Class, r.Volume, r.Extent, r.Units} }

// volume is the client of RFQ: one bucket at this initiator.
type volume struct {
	plan                *Plan
	initiators          float64
	tokens              float64
	refilledAt          time.Duration
	backlog             int // requests held or out here
	localRate           float64
	localRateAt         time.Duration
	globalRate          float64
	globalRateAt        time.Duration
	limitTokens         float64 // this initiator's part of the limit
	limitRefilledAt     time.Duration
	reservationCredit   float64 // units of the reserve not yet served here
	reservationCreditAt time.Duration
}

// flow is a volume's tag state at one lane.
type flow struct {
	volume      *volume
	maxStartTag time.Duration
	queued      int
}

// lane is the queue of one shard; its tags move together.
type shardQueue struct {
	shard         int
	target        *target // where the shard is served now; nil: nowhere known
	queued        []*request
	flows         []*flow
	flowsByVolume map[*volume]*flow
	wakeAt        time.Duration
}

// node is one server process.
type target struct {
	Target
	inFlight            []*request
	concurrencyLimit    float64
	smoothedLatency     float64       // smoothed, seconds for a request of mean size; 0: not known
	baseLatency         float64       // a low quantile of it: what the node takes when little waits there
	lastHeard           time.Duration // when it last answered an attempt
	loadReportedAt      time.Duration // when it last reported its load
	reportedLoad        float64       // requests that it last said to hold or have waiting; -1: never told
	lastPressure        time.Duration // when a request here was last late or set aside
	consecutiveFailures float64       // bad outcomes since the last good one
	ejectedUntil        time.Duration // no attempt before
	lastExtent          string        // extent sent last
	sequentialRun       int           // how often in a row
	recentlySent        []unitSample  // units sent within the fall window
	recentlyServed      []unitSample  // and answered
}

type unitSample struct {
	at    time.Duration
	units float64
}

// within drops the draws before from, and sums the rest.
func sumSince(list []unitSample, from time.Duration) ([]unitSample, float64) {
	for len(list) > 0 && list[0].at < from {
		list = list[1:]
	}
	sum := 0.0
	for _, d := range list {
		sum += d.units
	}
	return list, sum
}

// orderKey is the queue of one extent whose requests take turns.
type serialQueue struct {
	requests    []*request
	settleUntil time.Duration
}

func (l *shardQueue) flow(v *volume) *flow {
	f := l.flowsByVolume[v]
	if f == nil {
		f = &flow{volume: v}
		l.flowsByVolume[v] = f
		l.flows = append(l.flows, f)
	}
	return f
}

// hold queues the request at the lane, in order of aim.
func (l *shardQueue) enqueue(r *request) {
	r.queue = l
	at := len(l.queued)
	for at > 0 && l.queued[at-1].objectiveAt > r.objectiveAt {
		at--
	}
	l.queued = slices.Insert(l.queued, at, r)
	l.flow(r.volume).queued++
}

// unhold takes the request out of its lane's queue, if it is there.
func (r *request) dequeue() {
	l := r.queue
	if i := slices.Index(l.queued, r); i >= 0 {
		l.queued = slices.Delete(l.queued, i, i+1)
		l.flow(r.volume).queued--
	}
}

// sweep drops volumes without a request since then, their flows, empty shard queues, idle serial queues, and
// removed targets.
func (s *Scheduler) sweep(since time.Duration) {
	idle := func(v *volume) bool { return v.backlog == 0 && v.refilledAt < since && v.localRateAt < since }
	for _, l := range s.shardQueues {
		l.flows = slices.DeleteFunc(l.flows, func(f *flow) bool {
			drop := f.queued == 0 && idle(f.volume)
			if drop {
				delete(l.flowsByVolume, f.volume)
			}
			return drop
		})
	}
	s.shardQueues = slices.DeleteFunc(s.shardQueues, func(l *shardQueue) bool {
		serves := func(n *target) bool { return n.Shard == l.shard }
		return len(l.queued)+len(l.flows) == 0 && !slices.ContainsFunc(s.targets, serves)
	})
	maps.DeleteFunc(s.volumes, func(_ string, v *volume) bool { return idle(v) })
	maps.DeleteFunc(s.serialQueues, func(_ string, k *serialQueue) bool {
		return len(k.requests) == 0 && k.settleUntil < since
	})
	s.targets = slices.DeleteFunc(s.targets, func(n *target) bool {
		gone := n.State == Removed && len(n.inFlight) == 0 && n.lastHeard < since
		if gone {
			delete(s.targetsByID, n.ID)
		}
		return gone
	})
}

// laneOf returns the lane of a shard, made at first need.
func (s *Scheduler) shardQueueFor(shard int) *shardQueue {
	for _, l := range s.shardQueues {
		if l.shard == shard {
			return l
		}
	}
	l := &shardQueue{shard: shard, flowsByVolume: map[*volume]*flow{}}
	s.shardQueues = append(s.shardQueues, l)
	return l
}

// trim drops the times before from.
func trimBefore(list []time.Duration, from time.Duration) []time.Duration {
	cut := 0
	for cut < len(list) && list[cut] < from {
		cut++
	}
	return list[cut:]
}

// dueHeap orders requests by when they must be answered.
type deadlineHeap []*request

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	return h[i].answerBy < h[j].answerBy || h[i].answerBy == h[j].answerBy && h[i].ID < h[j].ID
}
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	r.heapIndex = -1
	*h = old[:len(old)-1]
	return r
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }
