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
	"sync"
	"time"
)

// floodCommand is the first argument of the process that plays the bad clients. They have a process of their own, so that they
// do not delay the usual clients.
const floodCommand = "flood"

const (
	hugeBody     = 60_000_000
	floodPart    = 256 << 10              // bytes of one write
	floodTimeout = 6 * time.Second        // how long a bad client with 60 MB to send waits for an error or a close
	floodRedial  = 100 * time.Millisecond // its pause when it cannot connect
)

// startFlood starts bad clients in a process of their own. They end after the duration, or with the case.
func (b *bench) startFlood(addr string, clients int, duration time.Duration) error {
	cmd := exec.Command(os.Args[0], floodCommand, "-addr", addr, "-clients", strconv.Itoa(clients), "-for", duration.String())
	output, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	b.note("bad clients: %d begin to send bodies of %d bytes at full speed", clients, hugeBody)
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
	addr := flags.String("addr", "", "address of the initiator")
	clients := flags.Int("clients", 1, "number of bad clients")
	duration := flags.Duration("for", time.Second, "how long they send")
	if flags.Parse(arguments) != nil {
		return exitFailed
	}
	var counts floodCounts
	var running sync.WaitGroup
	end := time.Now().Add(*duration)
	for client := range *clients {
		running.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				counts.sendHuge(*addr, client, n)
			}
		})
	}
	running.Wait()
	fmt.Printf("%d requests: %d errors, %d closes, %d with neither in time, %d served", counts.requests, counts.errors, counts.closes,
		counts.overdue, counts.served)
	return exitHeld
}

// sendHuge sends one request with a body of 60 MB on a new connection, and reads what it is sent.
func (f *floodCounts) sendHuge(addr string, client, n int) {
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
