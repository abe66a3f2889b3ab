package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The settings and the disruption of the case.
const (
	copyAfter    = 5 * time.Millisecond    // "a second answer may come some milliseconds late"
	copyAtLatest = 6 * time.Millisecond    // a copy that would be later than this, because the machine is busy, is not sent
	copyShare    = 0.2                     // share of the answers that are sent twice
	minDelay     = 2300 * time.Microsecond // of the network, one way: "2.3 to 34 ms"
	maxDelay     = 34 * time.Millisecond
	requestRate  = 200 // "at most 200 requests a second"
	requestsFor  = 20 * time.Second
	copyTargets  = 10
	readTimeout  = 1200 * time.Millisecond
)

// runLateCopy sends reads to ten targets through a network that takes some milliseconds. With trouble, targets send some
// answers twice. A 200 answer must hold the data of its own request.
func runLateCopy(rec *record, root string, trouble bool) (broken bool, err error) {
	var list []endpoint
	var copies atomic.Int64
	for i := range copyTargets {
		address, err := startCopyTarget(trouble, &copies)
		if err != nil {
			return false, err
		}
		link, err := startLink(address)
		if err != nil {
			return false, err
		}
		list = append(list, endpoint{ID: fmt.Sprintf("s-%d", i), Addr: link, Zone: "a", Kind: "m2", Cell: i, State: "SERVING", Weight: 1})
	}
	discovery, err := startDiscovery(list)
	if err != nil {
		return false, err
	}
	p, err := startInitiator(rec, root, discovery, settings{memoryMB: 128, sockets: 512, classes: []class{
		{Name: "file-read", PromiseUs: 200_000, DeadlineUs: 1_200_000, Effect: "pure", Worth: 2}}})
	if err != nil {
		return false, err
	}
	defer p.stop()
	var answers tally
	var foreign atomic.Int64
	var clients sync.WaitGroup
	for i, start := 0, time.Now(); time.Since(start) < requestsFor; i++ {
		clients.Go(func() {
			r := clientRequest{id: fmt.Sprintf("r%d", i), class: "file-read", timeout: readTimeout, shard: rand.IntN(copyTargets)}
			a := r.send(p.listen)
			answers.add(a)
			if a.status == http.StatusOK && a.body != dataOf(r.id) {
				foreign.Add(1)
				rec.printf("the client of %s got the data of another request: %q", r.id, a.body)
			}
		})
		time.Sleep(time.Duration(rand.ExpFloat64() * float64(time.Second/requestRate)))
	}
	clients.Wait()
	rec.printf("answers by status, 0 for none: %v; second copies sent: %d; clients with the data of another request: %d",
		answers.byStatus, copies.Load(), foreign.Load())
	return foreign.Load() > 0, nil
}

func dataOf(id string) string { return "data of " + id + strings.Repeat(".", 100) }

// startCopyTarget starts a target that works for some time on each request. With trouble, it sends some answers a second
// time, copyAfter later, if nothing else waits on the connection then.
func startCopyTarget(trouble bool, copies *atomic.Int64) (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	serve := func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			time.Sleep(time.Duration(5+rand.IntN(10)) * time.Millisecond)
			id := request.Header.Get("Request-Id")
			message := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(dataOf(id)), dataOf(id))
			if _, err := io.WriteString(conn, message); err != nil {
				return
			}
			answeredAt := time.Now()
			if !trouble || rand.Float64() >= copyShare {
				continue
			}
			_ = conn.SetReadDeadline(time.Now().Add(copyAfter))
			_, err = reader.Peek(1)
			_ = conn.SetReadDeadline(time.Time{})
			nothingWaits := errors.Is(err, os.ErrDeadlineExceeded)
			if nothingWaits && time.Since(answeredAt) <= copyAtLatest {
				copies.Add(1)
				if _, err := io.WriteString(conn, message); err != nil {
					return
				}
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String(), nil
}

// startLink starts a proxy that passes bytes on after a delay, in both directions.
func startLink(address string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", address)
			if err != nil {
				near.Close()
				continue
			}
			go passOn(near, far)
			go passOn(far, near)
		}
	}()
	return listener.Addr().String(), nil
}

// passOn passes bytes on in their order, each part after a delay of its own, and the end of the connection after them.
func passOn(from, to net.Conn) {
	type part struct {
		due  time.Time
		data []byte
	}
	parts := make(chan part, 1000)
	go func() {
		defer close(parts)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				delay := minDelay + rand.N(maxDelay-minDelay)
				parts <- part{time.Now().Add(delay), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}
