package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	copyTargets    = 20
	copyInitiators = 8
	copyQuiet      = 2 * time.Second // before the burst of an initiator, without a request
	copyBurst      = 120             // reads at once
	copyAfter      = 8 * time.Millisecond
	copyBody       = 300 // bytes of an answer, about
)

// playLateCopies plays targets that send each second answer twice, the copy 8 ms later, over a network whose messages take 2.3
// to 34 ms. Each initiator gets one burst of reads after a quiet time. It checks that each answer with status 200 is the one that a
// target made for its request.
func playLateCopies(b *bench) ([]string, error) {
	var entries []entry
	for shard := range copyTargets {
		addr, err := b.startTarget(b.repeatAnswers())
		if err != nil {
			return nil, err
		}
		if addr, err = b.startNetwork(addr); err != nil {
			return nil, err
		}
		entries = append(entries, entryOf(fmt.Sprintf("s-%d", shard), addr, shard))
	}
	classes := storeClasses()
	var breaks []string
	var errs error
	for initiator := range copyInitiators {
		d, err := b.deploy(entries, copyInitiators, copyTargets, classes)
		if err != nil {
			return nil, err
		}
		l := &load{b: b, client: d.client}
		time.Sleep(copyQuiet)
		for n := range copyBurst {
			l.send(read(initiator*copyBurst+n, classes[0], n%copyTargets), checkOwnAnswer)
		}
		found, err := l.wait()
		d.in.kill()
		breaks = append(breaks, found...)
		errs = errors.Join(errs, err)
	}
	return breaks, errs
}

// checkOwnAnswer is a check for send: an answer with status 200 is the one that a target made for the request.
func checkOwnAnswer(r request, o outcome) string {
	if o.status == http.StatusOK && o.body != answerBody(r.id, copyBody) {
		return fmt.Sprintf("was served with %.40q", o.body)
	}
	return ""
}

// repeatAnswers returns the handler of a target that sends each second answer a second time, if nothing else waits on the
// connection by then. Without the disruption it sends none twice.
func (b *bench) repeatAnswers() func(arrival) bool {
	serve := b.serveAfter(5*time.Millisecond, copyBody)
	return func(a arrival) bool {
		if !serve(a) {
			return false
		}
		if !b.trouble || a.id[len(a.id)-1]%2 == 0 {
			return true
		}
		_ = a.conn.SetReadDeadline(time.Now().Add(copyAfter))
		_, err := a.reader.Peek(1)
		_ = a.conn.SetReadDeadline(time.Time{})
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err == nil
		}
		b.note("target: sends the answer to %s a second time", a.id)
		_, err = io.WriteString(a.conn, answer200(answerBody(a.id, copyBody)))
		return err == nil
	}
}
