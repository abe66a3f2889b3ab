package faulttest

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	soakSeeds = flag.Int("seeds", 12, "how many seeds the soak runs")
	soakFrom  = flag.Int("from", 1, "the first seed of the soak")
)

const (
	// soakDuration is how long clients ask in one run of the soak.
	soakDuration = 8 * time.Second
	// soakShards is the number of shards, with one target each.
	soakShards = 6
	// soakRate is the number of requests that arrive in a second.
	soakRate = 150
	// minServedPart is the part of the requests that must be served: one in so many.
	minServedPart = 5
)

// The sources of random numbers of a run, all drawn from its seed.
const (
	planStream   = 1
	faultStreams = 10  // and one more for each part of the run
	targetStream = 100 // and one more for each target
)

// soak is one run under a mix of faults that follows from its seed.
type soak struct {
	t             *testing.T
	seed          uint64
	ledger        *Ledger
	delays        *DelayMonitor
	discovery     *Discovery
	discoveryAddr string
	config        Config
	killAfter     time.Duration // how soon SIGKILL follows SIGTERM
	dir           string
	process       *Process
	processes     []*Process // all that there were
	client        *Client
	crowd         bool
	done          chan struct{} // closed when clients stop asking
	signalMu      sync.Mutex    // one pause or signal at a time
	mu            sync.Mutex
	targets       []*Target
	serving       [soakShards]int // the index of the target that serves each shard
	requests      atomic.Int64
}

// random returns the source of random numbers of one part of the run.
func (s *soak) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.seed, stream)) }

// TestSoak runs real initiators under mixes of faults, a seed each, and wants every rule kept.
func TestSoak(t *testing.T) {
	for seed := *soakFrom; seed < *soakFrom+*soakSeeds; seed++ {
		t.Run(fmt.Sprintf("seed%d", seed), func(t *testing.T) {
			t.Parallel()
			runSoak(t, uint64(seed))
		})
	}
}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{t: t, seed: seed, delays: NewDelayMonitor(), dir: t.TempDir(), done: make(chan struct{})}
	t.Cleanup(s.delays.Stop)
	s.ledger = NewLedger(s.delays)
	s.discovery = NewDiscovery(s.ledger)
	t.Cleanup(s.discovery.Stop)
	t.Cleanup(func() {
		for _, target := range s.targets {
			target.Stop()
		}
	})
	for shard := range soakShards {
		s.addTarget(shard)
	}
	s.plan()
	if !s.start() {
		return
	}
	t.Cleanup(func() { s.process.Kill() })
	// The order gives each part its source of random numbers.
	parts := []func(*rand.Rand){s.runClients, s.runMalformedClients, s.runPauses, s.runDrains, s.runDiscoveryMoves, s.runRestart,
		s.runIdleCrowd, s.runShortages}
	var running sync.WaitGroup
	for i, part := range parts {
		running.Go(func() { part(s.random(faultStreams + uint64(i))) })
	}
	time.Sleep(soakDuration)
	close(s.done)
	running.Wait()
	s.judge()
}

// plan draws the settings of the run.
func (s *soak) plan() {
	rng := s.random(planStream)
	deadlines := [][3]time.Duration{{400, 670, 1670}, {1200, 2000, 5000}, {300, 900, 2500}}[rng.IntN(3)]
	s.config.Classes = []Class{
		{Name: "read", Deadline: deadlines[0] * time.Millisecond},
		{Name: "write", Deadline: deadlines[1] * time.Millisecond},
		{Name: "export", Deadline: deadlines[2] * time.Millisecond},
		{Name: "once", Deadline: deadlines[1] * time.Millisecond, NonIdempotent: true},
	}
	s.killAfter = s.config.KillAfter()
	s.config.Cores = 1
	s.config.Sockets = 512
	if s.crowd = rng.IntN(3) == 0; s.crowd {
		s.config.Sockets = 192
	}
}

// start starts an initiator at the address it has, or at a first one.
func (s *soak) start() bool {
	var err error
	if s.config.Listen == "" {
		s.config.Listen = Address()
	}
	if s.discoveryAddr == "" {
		if s.discoveryAddr, err = s.discovery.Listen(); err != nil {
			s.t.Error(err)
			return false
		}
	}
	s.config.Discovery = s.discoveryAddr
	process, err := Start(program, s.dir, s.config)
	if err != nil {
		s.t.Error(err)
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.process = process
	s.client = NewClient(s.config.Listen, s.ledger)
	s.client.MayCloseUnread = s.crowd
	s.processes = append(s.processes, process)
	return true
}

// current returns the process that runs now, and its clients.
func (s *soak) current() (*Process, *Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.process, s.client
}

// wait waits for so long. It returns false once the run is done.
func (s *soak) wait(d time.Duration) bool {
	select {
	case <-s.done:
		return false
	case <-time.After(d):
		return true
	}
}

// log returns what all processes logged with the text in it.
func (s *soak) log(text string) string {
	found := ""
	for i, p := range s.processes {
		if lines := p.Log(text); lines != "" {
			found += fmt.Sprintf("process %d:\n%s", i, lines)
		}
	}
	return found
}

func (s *soak) judge() {
	process, client := s.current()
	client.Close()
	for _, v := range s.ledger.Violations() {
		s.t.Errorf("%v\n%s", v, s.log("request="+v.Request))
	}
	if ended, err := process.Ended(); ended {
		s.t.Errorf("the initiator ended: %v\n%s", err, process.Log("panic"))
	}
	requests, served := s.ledger.Counts()
	s.t.Logf("%d requests, %d served, crowd %v", requests, served, s.crowd)
	if served < requests/minServedPart {
		s.t.Errorf("%d of %d requests were served", served, requests)
	}
}

// rejected tells whether a client may ask again at once.
func rejected(o Outcome) bool { return o.Status == http.StatusServiceUnavailable }
