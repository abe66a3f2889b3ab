package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// floodCommand is the first argument of the process that plays the bad clients. They have a process of their own, so that they
// do not delay the usual clients.
const floodCommand = "flood"

const (
	hugeBody     = 60_000_000
	longBody     = 64 << 10
	floodShards  = 16                     // the shards that long writes name
	floodPart    = 256 << 10              // bytes of one write
	floodTimeout = 6 * time.Second        // how long a bad client with 60 MB to send waits for an error or a close
	floodRedial  = 100 * time.Millisecond // its pause when it cannot connect
)

// The kinds of floods.
const (
	floodHuge = "bodies of 60 MB"
	floodLong = "writes of 64 KiB" // hundreds at once, each again as soon as it is turned away
)

// startFlood starts bad clients in a process of their own. They end after the duration, or with the case.
func (b *bench) startFlood(kind, addr string, clients int, duration time.Duration) error {
	cmd := exec.Command(os.Args[0], floodCommand, "-kind", kind, "-addr", addr, "-clients", strconv.Itoa(clients), "-for", duration.String())
	output, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	b.note("bad clients: %d begin to send %s at full speed", clients, kind)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		text, _ := io.ReadAll(output)
		_ = cmd.Wait()
		b.note("bad clients: %s", text)
	}()
	b.onClose(func() {
		select {
		case <-ended:
		case <-time.After(floodTimeout):
			_ = cmd.Process.Kill()
			<-ended
		}
	})
	return nil
}

// floodCounts counts what the bad clients did.
type floodCounts struct {
	mu                       sync.Mutex
	requests, errors, closes int
	overdue                  int // got neither an error nor a close in time
	served                   int
}

// runFlood runs the process of the bad clients.
func runFlood(arguments []string) int {
	flags := flag.NewFlagSet(floodCommand, flag.ContinueOnError)
	kind := flags.String("kind", floodHuge, "what they send")
	addr := flags.String("addr", "", "address of the initiator")
	clients := flags.Int("clients", 1, "number of bad clients")
	duration := flags.Duration("for", time.Second, "how long they send")
	if flags.Parse(arguments) != nil {
		return exitFailed
	}
	var counts floodCounts
	send := counts.sendHuge
	if *kind == floodLong {
		send = counts.sendLong
	}
	var running sync.WaitGroup
	end := time.Now().Add(*duration)
	for client := range *clients {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				send(*addr, client, n, end)
			}
		})
	}
	running.Wait()
	fmt.Printf("%d requests: %d errors, %d closes, %d with neither in time, %d served", counts.requests, counts.errors, counts.closes,
		counts.overdue, counts.served)
	return exitHeld
}

// sendHuge sends one request with a body of 60 MB on a new connection, and reads what it is sent.
func (f *floodCounts) sendHuge(addr string, client, n int, _ time.Time) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(floodRedial)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(floodTimeout))
	answer := make(chan string, 1)
	go func() {
		head := make([]byte, 12) // as in "HTTP/1.1 413"
		_, err := io.ReadFull(conn, head)
		var timeout net.Error
		switch {
		case err == nil:
			answer <- string(head[9:])
		case errors.As(err, &timeout) && timeout.Timeout():
			answer <- "overdue"
		default:
			answer <- "close"
		}
		_, _ = io.Copy(io.Discard, conn)
	}()
	_, _ = fmt.Fprintf(conn, "PUT /file-write/%016x HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %08x%08x\r\nTier: express\r\n"+
		"Request-Timeout-Ms: 2000\r\nIO-Info: volume=%016x,units=6,shard=0,hosts=1\r\nContent-Length: %d\r\n\r\n",
		n, client, n, client, hugeBody)
	part := make([]byte, floodPart)
	for left := hugeBody; left > 0; {
		written, err := conn.Write(part[:min(left, len(part))])
		if err != nil {
			break
		}
		left -= written
	}
	f.count(<-answer)
}

// sendLong sends writes of 64 KiB on a new connection, each as soon as the one before has its answer, until the connection
// ends.
func (f *floodCounts) sendLong(addr string, client, n int, end time.Time) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(floodRedial)
		return
	}
	defer func() { _ = conn.Close() }()
	class := storeClasses()[1]
	for k := 0; time.Now().Before(end); k++ {
		r := read(k, class, client%floodShards)
		r.id = fmt.Sprintf("%04x%06x%06x", client, n, k)
		r.body = strings.Repeat("b", longBody)
		o, keep := exchange(conn, r)
		switch {
		case o.err == nil:
			f.count(strconv.Itoa(o.status))
		case o.overdue(r):
			f.count("overdue")
		default:
			f.count("close")
		}
		if !keep {
			return
		}
	}
}

func (f *floodCounts) count(answer string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	switch answer {
	case "overdue":
		f.overdue++
	case "close":
		f.closes++
	case "200":
		f.served++
	default:
		f.errors++
	}
}
