package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The settings and the disruption of the case.
const (
	memoryLimitMB   = 64                    // limits.memory_mb: "32 to 192 MB"
	socketLimit     = 512                   // limits.sockets: "256 to 1,024 descriptors"
	badClients      = 100                   // "hundreds of requests at once, or the same request again as soon as it is turned away"
	badClientsLast  = 20 * time.Second      // how long the bad clients go on
	shortTimeout    = 20 * time.Millisecond // "requests with very little time left"
	pathLength      = 2000                  // bytes of the path of a bad client's request; the pages set no limit
	usualInterval   = 50 * time.Millisecond // between two requests of the usual clients
	memoryGrace     = 20 * time.Millisecond // how long the initiator may be over its limit here; the page grants nothing
	memoryCheck     = 5 * time.Millisecond  // how often the platform looks at the initiator's memory
	targetWork      = 30 * time.Millisecond // a target's work on a request
	numberOfTargets = 12
)

// runRefusedAgain sends usual requests and, with trouble, the same requests again and again from bad clients. The initiator
// must stay under its memory limit.
func runRefusedAgain(rec *record, root string, trouble bool) (broken bool, err error) {
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
		{Name: "bulk-export", PromiseUs: 1_500_000, DeadlineUs: 5_000_000, Effect: "pure", Worth: 1}}})
	if err != nil {
		return false, err
	}
	defer p.stop()
	stop := make(chan struct{})
	killed := make(chan bool, 1)
	go func() {
		killed <- watchMemory(rec, p, memoryLimitMB<<10, stop)
	}()
	var usual tally
	var badAnswers atomic.Int64
	var clients sync.WaitGroup
	clients.Go(func() { sendUsualRequests(rec, p, stop, &usual) })
	time.Sleep(time.Second)
	if trouble {
		rec.printf("%d bad clients begin", badClients)
		for i := range badClients {
			clients.Go(func() { repeatRefused(p.listen, i, stop, &badAnswers) })
		}
	}
	select {
	case <-p.exited:
	case <-time.After(badClientsLast):
	}
	close(stop)
	broken = <-killed
	clients.Wait()
	rec.printf("answers of the usual clients by status, 0 for none: %v", usual.byStatus)
	rec.printf("bad clients were turned away %d times", badAnswers.Load())
	return broken, nil
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

// repeatRefused is a bad client. It sends a request with little time left and, as soon as it is turned away, the same request
// again under a fresh id.
func repeatRefused(address string, client int, stop <-chan struct{}, answers *atomic.Int64) {
	folders := strings.Repeat("boards-2026/", pathLength/len("boards-2026/"))
	for attempt := 0; !isClosed(stop); {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for !isClosed(stop) {
			attempt++
			r := clientRequest{id: fmt.Sprintf("bad-%d-%d", client, attempt), class: "bulk-export", timeout: shortTimeout,
				folders: folders, shard: client % numberOfTargets}
			_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
			if _, err := io.WriteString(conn, r.encode()); err != nil {
				break
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				break
			}
			if response.StatusCode == http.StatusServiceUnavailable {
				answers.Add(1)
			}
		}
		conn.Close()
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// sendUsualRequests sends reads of usual clients until stop is closed, and waits for their answers. It records those that get
// none because the initiator was killed.
func sendUsualRequests(rec *record, p *platform, stop <-chan struct{}, usual *tally) {
	var open sync.WaitGroup
	defer open.Wait()
	for i := 0; !isClosed(stop) && !p.hasExited(); i++ {
		open.Go(func() {
			r := clientRequest{id: fmt.Sprintf("usual-%d", i), class: "file-read", timeout: 1200 * time.Millisecond,
				shard: i % numberOfTargets}
			a := r.send(p.listen)
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
