package faulttest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

const (
	// pipelineLength is the number of requests that a client sends at once where it pipelines.
	pipelineLength = 3
	// crowdSize is the number of connections that an idle crowd opens: more than the initiator may hold.
	crowdSize = 300
)

// runClients asks at random moments until the run is done, and waits for all outcomes.
func (s *soak) runClients(rng *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	for s.wait(time.Duration(rng.ExpFloat64() * float64(time.Second) / soakRate)) {
		if rng.IntN(100) == 0 {
			requests := s.drawPipeline(rng, pipelineLength)
			_, client := s.current()
			open.Go(func() { client.Pipeline(requests) })
			continue
		}
		q := s.drawRequest(rng)
		retries := rng.IntN(2) == 0
		_, client := s.current()
		open.Go(func() {
			// Some ask again at once when they are rejected, with the time that they have left.
			if o := client.Do(q); retries && rejected(o) && o.Elapsed < q.Timeout {
				q.ID += "-again"
				q.Timeout -= o.Elapsed
				client.Do(q)
			}
		})
	}
}

// drawRequest draws what a usual client asks.
func (s *soak) drawRequest(rng *rand.Rand) Request {
	class := s.config.Classes[rng.IntN(len(s.config.Classes))]
	q := Request{ID: s.nextID(), Class: class, Shard: rng.IntN(soakShards), Timeout: class.Deadline}
	if class.Name != "read" {
		q.Body = string(make([]byte, 1+rng.IntN(8<<10)))
	}
	if rng.IntN(20) == 0 {
		q.Timeout = time.Duration(rng.IntN(60)) * time.Millisecond
	}
	if rng.IntN(10) == 0 {
		q.Pieces = 2 + rng.IntN(4)
		q.PieceInterval = time.Duration(rng.IntN(20)) * time.Millisecond
	}
	if rng.IntN(8) == 0 {
		q.Disconnects = true
		q.ByReset = rng.IntN(2) == 0
		q.DisconnectAfter = time.Duration(rng.ExpFloat64() * 10 * float64(time.Millisecond))
	}
	return q
}

func (s *soak) nextID() string { return fmt.Sprintf("r%d-%d", s.seed, s.requests.Add(1)) }

// drawPipeline draws n requests with the same timeout.
func (s *soak) drawPipeline(rng *rand.Rand, n int) []Request {
	requests := []Request{s.drawRequest(rng)}
	requests[0].Disconnects = false
	for len(requests) < n {
		q := requests[0]
		q.ID = s.nextID()
		requests = append(requests, q)
	}
	return requests
}

// runMalformedClients sends what cannot be served.
func (s *soak) runMalformedClients(rng *rand.Rand) {
	var open sync.WaitGroup
	defer open.Wait()
	for s.wait(time.Duration(100+rng.IntN(200)) * time.Millisecond) {
		request := MalformedRequests[rng.IntN(len(MalformedRequests))]
		open.Go(func() {
			if err := SendMalformed(s.config.Listen, request); err != nil {
				s.t.Error(err)
			}
		})
	}
}

// runIdleCrowd holds connections that ask for nothing, past what the initiator may hold, where the run has a crowd.
func (s *soak) runIdleCrowd(rng *rand.Rand) {
	if !s.crowd {
		return
	}
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close() // the initiator may have closed it
		}
	}()
	for range crowdSize {
		if !s.wait(time.Duration(rng.IntN(20)) * time.Millisecond) {
			return
		}
		conn, err := net.DialTimeout("tcp", s.config.Listen, dialTimeout)
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		if rng.IntN(3) == 0 {
			_, _ = io.WriteString(conn, "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n") // the initiator may have closed it
		}
	}
	<-s.done
}
