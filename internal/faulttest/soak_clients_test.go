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
	// pipelineLength is the number of requests that a pipelining client sends at once.
	pipelineLength = 3
	// connFloodSize is the number of idle connections that a connection flood opens, more than the initiator may hold.
	connFloodSize = 300
)

// runClients sends requests at random times until the run is done, and waits for all outcomes.
func (s *soakRun) runClients(rng *rand.Rand) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for s.wait(time.Duration(rng.ExpFloat64() * float64(time.Second) / soakRate)) {
		if rng.IntN(100) == 0 {
			requests := s.drawPipeline(rng, pipelineLength)
			_, client := s.current()
			inFlight.Go(func() { client.Pipeline(requests) })
			continue
		}
		req := s.drawRequest(rng)
		retries := rng.IntN(2) == 0
		_, client := s.current()
		inFlight.Go(func() {
			// Some clients retry a rejected request at once, with the remaining time as its timeout.
			if o := client.Do(req); retries && rejected(o) && o.Elapsed < req.Timeout {
				req.ID += "-again"
				req.Timeout -= o.Elapsed
				client.Do(req)
			}
		})
	}
}

// drawRequest returns a random valid request.
func (s *soakRun) drawRequest(rng *rand.Rand) Request {
	class := s.config.Classes[rng.IntN(len(s.config.Classes))]
	req := Request{ID: s.nextID(), Class: class, Shard: rng.IntN(soakShards), Timeout: class.Deadline}
	if class.Name != "read" {
		req.Body = string(make([]byte, 1+rng.IntN(8<<10)))
	}
	if rng.IntN(20) == 0 {
		req.Timeout = time.Duration(rng.IntN(60)) * time.Millisecond
	}
	if rng.IntN(10) == 0 {
		req.Segments = 2 + rng.IntN(4)
		req.SegmentInterval = time.Duration(rng.IntN(20)) * time.Millisecond
	}
	if rng.IntN(8) == 0 {
		req.Disconnects = true
		req.ResetOnDisconnect = rng.IntN(2) == 0
		req.DisconnectAfter = time.Duration(rng.ExpFloat64() * 10 * float64(time.Millisecond))
	}
	return req
}

func (s *soakRun) nextID() string { return fmt.Sprintf("r%d-%d", s.seed, s.requestCount.Add(1)) }

// drawPipeline returns n requests that differ only in their IDs.
func (s *soakRun) drawPipeline(rng *rand.Rand, n int) []Request {
	requests := []Request{s.drawRequest(rng)}
	requests[0].Disconnects = false
	for len(requests) < n {
		req := requests[0]
		req.ID = s.nextID()
		requests = append(requests, req)
	}
	return requests
}

// runMalformedClients sends malformed requests at random times until the run is done.
func (s *soakRun) runMalformedClients(rng *rand.Rand) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for s.wait(time.Duration(100+rng.IntN(200)) * time.Millisecond) {
		request := MalformedRequests[rng.IntN(len(MalformedRequests))]
		inFlight.Go(func() {
			if err := SendMalformed(s.config.Listen, request); err != nil {
				s.t.Error(err)
			}
		})
	}
}

// runConnFlood opens more connections than the initiator may hold, and keeps them until the run is done. They are idle,
// some of them after a readiness check. It does nothing if the run has no connection flood.
func (s *soakRun) runConnFlood(rng *rand.Rand) {
	if !s.connFlood {
		return
	}
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			_ = conn.Close() // the initiator may have closed the connection
		}
	}()
	for range connFloodSize {
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
