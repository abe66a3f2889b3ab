package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	spoiltTargets  = 4
	spoiltRequests = 500
	spoiltInterval = 20 * time.Millisecond // between two requests
	spoiltBody     = 2000                  // bytes of an answer, about
	spoiltOneIn    = 20                    // one answer in so many is spoilt
)

// playSpoiltLengths plays targets of which one answer in twenty states half of its length. It checks that each answer with
// status 200 is the one that a target made for its request.
func playSpoiltLengths(b *bench) ([]string, error) {
	var entries []entry
	for shard := range spoiltTargets {
		addr, err := b.startTarget(b.spoilLengths(shard))
		if err != nil {
			return nil, err
		}
		entries = append(entries, entryOf(fmt.Sprintf("s-%d", shard), addr, shard))
	}
	classes := storeClasses()
	d, err := b.deploy(entries, 3, spoiltTargets, classes)
	if err != nil {
		return nil, err
	}
	l := &load{b: b, client: d.client}
	for n := range spoiltRequests {
		l.send(read(n, classes[0], n%spoiltTargets), func(r request, o outcome) string {
			want := answerBody(r.id, spoiltBody)
			if o.status == http.StatusOK && o.body != want {
				return fmt.Sprintf("was served with a whole answer of %d bytes; the one that its target made has %d", len(o.body), len(want))
			}
			return ""
		})
		time.Sleep(spoiltInterval)
	}
	return l.wait()
}

// spoilLengths returns the handler of a target that spoils some of its answers, or none without the disruption.
func (b *bench) spoilLengths(shard int) func(arrival) bool {
	serve := b.serveAfter(5*time.Millisecond, spoiltBody)
	random := make(chan int)
	go func() {
		for rng := rand.New(rand.NewPCG(7, uint64(shard))); ; {
			random <- rng.IntN(spoiltOneIn)
		}
	}()
	return func(a arrival) bool {
		if !b.trouble || <-random != 0 {
			return serve(a)
		}
		body := answerBody(a.id, spoiltBody)
		b.note("target: runs %s, its answer states a length of %d and has %d bytes", a.id, len(body)/2, len(body))
		_, _ = fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)/2, body)
		_, _ = io.Copy(io.Discard, a.conn) // the connection stays open and can no longer be used
		return false
	}
}
