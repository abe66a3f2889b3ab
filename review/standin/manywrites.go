package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The settings and the disruption of the case.
const (
	memoryLimitMB   = 32   // limits.memory_mb: "32 to 192 MB"
	socketLimit     = 1024 // limits.sockets: "256 to 1,024 descriptors"
	wholeRequests   = 300  // "hundreds of requests at once"; with the usual ones, under a third of the descriptors
	halfRequests    = 140  // "half a request and then a close"
	largestBody     = 64 << 10
	usualInterval   = 50 * time.Millisecond // between two requests of the usual clients
	memoryGrace     = 20 * time.Millisecond // how long the initiator may be over its limit here; the page grants nothing
	memoryCheck     = 5 * time.Millisecond  // how often the platform looks at the initiator's memory
	targetWork      = 30 * time.Millisecond // a target's work on a request
	numberOfTargets = 12
)

// runManyWrites sends usual requests and, with trouble, hundreds of writes of the largest size at once. The initiator must
// stay under its memory limit.
func runManyWrites(rec *record, root string, trouble bool) (broken bool, err error) {
	var list []endpoint
	for i := range numberOfTargets {
		address, err := startQuietTarget()
		if err != nil {
			return false, err
		}
		list = append(list, endpoint{ID: fmt.Sprintf("s-%d", i), Addr: address, Zone: "a", Kind: "m2", Cell: i, State: "SERVING", Weight: 1})
	}
	discovery, err := startDiscovery(list)
	if err != nil {
		return false, err
	}
	p, err := startInitiator(rec, root, discovery, settings{memoryMB: memoryLimitMB, sockets: socketLimit, classes: []class{
		{Name: "file-read", PromiseUs: 200_000, DeadlineUs: 1_200_000, Effect: "pure", Worth: 2},
		{Name: "file-write", PromiseUs: 300_000, DeadlineUs: 2_000_000, Effect: "pure", Worth: 2}}})
	if err != nil {
		return false, err
	}
	defer p.stop()
	killed := make(chan bool, 1)
	stop := make(chan struct{})
	go func() { killed <- watchMemory(rec, p, memoryLimitMB<<10, stop) }()
	var usual, bad tally
	var clients sync.WaitGroup
	clients.Go(func() { sendUsualRequests(rec, p.listen, &usual) })
	time.Sleep(time.Second)
	if trouble {
		rec.printf("bad clients send %d writes of %d bytes and %d halves of such writes at once", wholeRequests, largestBody, halfRequests)
		for i := range wholeRequests + halfRequests {
			r := clientRequest{id: fmt.Sprintf("bad-%d", i), class: "file-write", timeout: 2 * time.Second, shard: i % numberOfTargets,
				body: strings.Repeat("x", largestBody)}
			clients.Go(func() {
				if i >= halfRequests {
					bad.add(r.send(p.listen))
				} else {
					sendHalf(p.listen, r)
				}
			})
		}
	}
	clients.Wait()
	close(stop)
	broken = <-killed
	rec.printf("answers of the usual clients by status, 0 for none: %v", usual.byStatus)
	rec.printf("answers of the bad clients by status, 0 for none: %v", bad.byStatus)
	return broken, nil
}

// sendHalf sends all of a request but its last byte, and closes the connection 1.5 s later.
func sendHalf(address string, r clientRequest) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	message := r.encode()
	if _, err := io.WriteString(conn, message[:len(message)-1]); err == nil {
		time.Sleep(1500 * time.Millisecond)
	}
}

// startQuietTarget starts a target that serves each request after its work.
func startQuietTarget() (address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(targetWork)
			_, _ = io.WriteString(w, "done "+r.Header.Get("Request-Id"))
		}))
	}()
	return listener.Addr().String(), nil
}

// watchMemory is the platform: over its memory limit the initiator is killed. It reports whether that happened. It counts
// only memory that no file backs, which is less than the platform may count.
func watchMemory(rec *record, p *platform, limitKB int, stop <-chan struct{}) (killed bool) {
	peak, peakWithFiles := 0, 0
	var overSince time.Time
	defer func() {
		rec.printf("most memory without files: %d KiB of %d KiB; with files: %d KiB", peak, limitKB, peakWithFiles)
	}()
	for {
		select {
		case <-stop:
			return p.hasExited()
		case <-time.After(memoryCheck):
		}
		kb := p.memoryKB("RssAnon") + p.memoryKB("RssShmem")
		peak, peakWithFiles = max(peak, kb), max(peakWithFiles, p.memoryKB("VmRSS"))
		if kb <= limitKB {
			overSince = time.Time{}
			continue
		}
		if overSince.IsZero() {
			overSince = time.Now()
		}
		if time.Since(overSince) >= memoryGrace {
			rec.printf("memory without files is %d KiB, the limit is %d KiB: the platform kills the initiator", kb, limitKB)
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.exited
			return true
		}
	}
}

// sendUsualRequests sends reads of usual clients for some seconds and waits for their answers.
func sendUsualRequests(rec *record, address string, usual *tally) {
	var open sync.WaitGroup
	defer open.Wait()
	for i := range int(5 * time.Second / usualInterval) {
		open.Go(func() {
			r := clientRequest{id: fmt.Sprintf("usual-%d", i), class: "file-read", timeout: 1200 * time.Millisecond,
				shard: i % numberOfTargets}
			a := r.send(address)
			usual.add(a)
			if a.status == 0 {
				rec.printf("usual client of %s got %v", r.id, a)
			}
		})
		time.Sleep(usualInterval)
	}
}

// tally counts answers by their status; 0 stands for none.
type tally struct {
	mu       sync.Mutex
	byStatus map[string]int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byStatus == nil {
		t.byStatus = map[string]int{}
	}
	t.byStatus[strconv.Itoa(a.status)]++
}
