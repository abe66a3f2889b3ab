package main

import (
	"fmt"
	"io"
	"syscall"
	"time"
)

const (
	restartTargets  = 3
	restartRequests = 6
	restartLate     = 800 * time.Millisecond // when the requests come, after SIGTERM
	holdUp          = 140 * time.Millisecond // the limit of the pages is 0.15 s
	holdUpLead      = 110 * time.Millisecond // how long before SIGKILL the second hold-up begins
	killDelay       = 700 * time.Millisecond // SIGKILL comes so long after the longest deadline, counted from SIGTERM
)

// playHeldUpRestart plays a planned restart while one of three targets hangs. The initiator is held up twice: when it gets
// SIGTERM, and before SIGKILL. It checks that each request which came more than 0.7 s after SIGTERM, on a connection that was
// open, gets its final answer before SIGKILL.
func playHeldUpRestart(b *bench) ([]string, error) {
	var entries []entry
	for shard := range restartTargets {
		handle := b.serveAfter(20*time.Millisecond, 200)
		if shard == 0 {
			handle = b.hang
		}
		addr, err := b.startTarget(handle)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entryOf(fmt.Sprintf("s-%d", shard), addr, shard))
	}
	classes := shortClasses()
	longest := classes[2]
	d, err := b.deploy(entries, 3, restartTargets, classes)
	if err != nil {
		return nil, err
	}
	l := &load{b: b, client: d.client}
	check := func(r request, o outcome) string {
		if o.taken() && o.status == 0 {
			return fmt.Sprintf("got %v; its time was %v", o, r.timeout)
		}
		return ""
	}
	for n := range restartRequests { // opens as many connections
		l.send(read(n, longest, 1+n%2), check)
	}
	l.running.Wait()
	d.in.holdUp(b.trouble)
	terminatedAt := time.Now()
	killAt := terminatedAt.Add(longest.deadline + killDelay)
	d.in.signal(syscall.SIGTERM)
	time.Sleep(time.Until(terminatedAt.Add(restartLate)))
	for n := range restartRequests {
		l.send(read(restartRequests+n, longest, 0), check)
	}
	time.Sleep(time.Until(killAt.Add(-holdUpLead)))
	d.in.holdUp(b.trouble)
	time.Sleep(time.Until(killAt))
	d.in.signal(syscall.SIGKILL)
	return l.wait()
}

// hang handles a request as a target that stands still does: no answer comes.
func (b *bench) hang(a arrival) bool {
	b.noteAt(a.lastAt, "target: hangs with %s", a.id)
	_, _ = io.Copy(io.Discard, a.conn)
	return false
}

// holdUp stops the initiator for holdUp, as a busy machine does, unless the case plays no disruption.
func (in *initiator) holdUp(trouble bool) {
	if !trouble {
		return
	}
	in.signal(syscall.SIGSTOP)
	time.AfterFunc(holdUp, func() { in.signal(syscall.SIGCONT) })
}
