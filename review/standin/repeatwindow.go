package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The settings and the disruption of the case.
const (
	repeatWindow  = 1500 * time.Millisecond // classes[].windowUs
	hangFor       = 2100 * time.Millisecond // how long the target stands still
	socketSlack   = 50 * time.Millisecond   // "every time limit is 50 ms longer"
	heldUpSlack   = 150 * time.Millisecond  // "an initiator that is held up for up to 0.15 s"
	writesPerCase = 3
	earlierWrites = 10 // to each target, without trouble
)

// runRepeatWindow writes to three targets of six. With trouble, each of the three hangs right after it has run the write,
// before its answer. A repeat must come within the window after the first attempt.
func runRepeatWindow(rec *record, root string, trouble bool) (broken bool, err error) {
	var targets []*targetHandle
	var list []endpoint
	stopOnce := make([]sync.Once, 6)
	for i := range 6 {
		onRun := func(t *targetHandle, e targetEvent) {
			if e.what != "ran" || !trouble || !strings.HasPrefix(e.id, "write-") {
				return
			}
			stopOnce[i].Do(func() {
				t.signal(syscall.SIGSTOP)
				rec.printf("target %s hangs", t.name)
				time.AfterFunc(hangFor, func() {
					rec.printf("target %s goes on", t.name)
					t.signal(syscall.SIGCONT)
				})
			})
		}
		t, err := startTarget(rec, fmt.Sprintf("s-%d", i), onRun, "-work=30ms", "-window="+repeatWindow.String(),
			"-receive-buffer=2048", "-segment=1400")
		if err != nil {
			return false, err
		}
		defer t.stop()
		targets = append(targets, t)
		list = append(list, endpoint{ID: t.name, Addr: t.address, Zone: "a", Kind: "m2", Cell: i, State: "SERVING", Weight: 1})
	}
	discovery, err := startDiscovery(list)
	if err != nil {
		return false, err
	}
	p, err := startInitiator(rec, root, discovery, settings{memoryMB: 128, sockets: 512, classes: []class{{Name: "write",
		PromiseUs: 300_000, DeadlineUs: 3_000_000, Effect: "token", Group: "cell",
		WindowUs: int(repeatWindow.Microseconds()), Worth: 2}}})
	if err != nil {
		return false, err
	}
	defer p.stop()
	var clients sync.WaitGroup
	for i := range targets {
		clients.Go(func() {
			for j := range earlierWrites {
				r := clientRequest{id: fmt.Sprintf("earlier-%d-%d", i, j), class: "write", timeout: 3 * time.Second, shard: i, body: "x"}
				if a := r.send(p.listen); a.status != 200 {
					rec.printf("client of %s got %v", r.id, a)
				}
			}
		})
	}
	clients.Wait()
	for i := range writesPerCase {
		clients.Go(func() {
			r := clientRequest{id: fmt.Sprintf("write-%d", i), class: "write", timeout: 3 * time.Second, shard: i,
				body: strings.Repeat("x", 64<<10)}
			rec.printf("client sends %s: a write of %d bytes to shard %d", r.id, len(r.body), i)
			rec.printf("client of %s got %v", r.id, r.send(p.listen))
		})
	}
	clients.Wait()
	time.Sleep(500 * time.Millisecond)
	for i := range writesPerCase {
		if isRunTwice(rec, targets[i], fmt.Sprintf("write-%d", i)) {
			broken = true
		}
	}
	return broken, nil
}

// isRunTwice reports whether the target got a repeat of the request later than the rule allows and ran it again. The first
// attempt was sent before its last byte came, so that counting from then is in the initiator's favour.
func isRunTwice(rec *record, t *targetHandle, id string) bool {
	came, ran := t.eventsOf("came", id), t.eventsOf("ran", id)
	rec.printf("%s: %d attempts came whole, run %d times", id, len(came), len(ran))
	late := false
	for _, e := range came[min(1, len(came)):] {
		after := e.at.Sub(came[0].at)
		allowed := repeatWindow + socketSlack + heldUpSlack
		rec.printf("%s: a repeat came %.3f s after the first attempt, allowed are %.3f s", id, after.Seconds(), allowed.Seconds())
		late = late || after > allowed
	}
	return late && len(ran) > 1
}
