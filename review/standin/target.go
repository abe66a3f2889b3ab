package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// runTarget is a storage target in a process of its own. It runs each request once its last byte has come, after that works
// for a while, and answers. It prints a line for each event, with the Unix time in microseconds: the address, "came" when
// the last byte of an attempt has come, "ran" when it runs it, "repeat" when it discards it as a repeat of a request that
// it ran less than the window ago, and "answered".
//
// The options for the receive buffer and the segment size apply to the target's own sockets: with them, a connection over
// the loopback device holds no more bytes that the target has not read than one over Ethernet would.
func runTarget(arguments []string) error {
	flags := flag.NewFlagSet("target", flag.ExitOnError)
	work := flags.Duration("work", 30*time.Millisecond, "time from running a request to its answer")
	window := flags.Duration("window", 0, "how long repeats of a request are discarded; 0: never")
	receiveBuffer := flags.Int("receive-buffer", 0, "SO_RCVBUF of the connections; 0: the default")
	segment := flags.Int("segment", 0, "TCP_MAXSEG of the connections; 0: the default")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	t := &targetProcess{work: *work, window: *window, ranAt: map[string]time.Time{}}
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) {
			if *receiveBuffer > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, *receiveBuffer)
			}
			if *segment > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, *segment)
			}
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.event("addr", listener.Addr().String(), "-", "")
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go t.serve(conn)
	}
}

type targetProcess struct {
	work, window time.Duration
	mu           sync.Mutex
	ranAt        map[string]time.Time // by Request-Id: when the request was run last
}

func (t *targetProcess) event(what, id, conn, details string) {
	fmt.Printf("%d %s %s %s %s\n", time.Now().UnixMicro(), what, id, conn, details)
}

func (t *targetProcess) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	peer := conn.RemoteAddr().String()
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if n, err := io.Copy(io.Discard, request.Body); err != nil || n != request.ContentLength {
			return // not all of it has come: the request does not begin
		}
		id := request.Header.Get("Request-Id")
		t.event("came", id, peer, "Request-Timeout-Ms="+request.Header.Get("Request-Timeout-Ms"))
		if t.isRepeat(id) {
			t.event("repeat", id, peer, "")
		} else {
			t.event("ran", id, peer, "")
		}
		time.Sleep(t.work)
		body := "done " + id
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
		t.event("answered", id, peer, "")
	}
}

// isRepeat reports whether the request was run less than the window ago. Otherwise it records that the request is run now.
func (t *targetProcess) isRepeat(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ranAt, found := t.ranAt[id]; found && time.Since(ranAt) < t.window {
		return true
	}
	t.ranAt[id] = time.Now()
	return false
}

// targetEvent is a line that a target process has printed.
type targetEvent struct {
	at             time.Time
	what, id, conn string
}

// targetHandle is a target process that a case has started.
type targetHandle struct {
	name    string
	address string
	cmd     *exec.Cmd
	mu      sync.Mutex
	events  []targetEvent
}

// startTarget starts a target process. onEvent is called for each of its events, on one goroutine.
func startTarget(rec *record, name string, onEvent func(*targetHandle, targetEvent), arguments ...string) (*targetHandle, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	t := &targetHandle{name: name, cmd: exec.Command(program, append([]string{"target"}, arguments...)...)}
	t.cmd.Stderr = os.Stderr
	output, err := t.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := startProcess(t.cmd); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return nil, fmt.Errorf("target %s did not start", name)
	}
	t.address = strings.Fields(lines.Text())[2]
	rec.printf("started target %s, process %d, %s %s", name, t.cmd.Process.Pid, t.address, strings.Join(arguments, " "))
	go func() {
		for lines.Scan() {
			fields := strings.Fields(lines.Text())
			if len(fields) < 4 {
				continue
			}
			var micros int64
			_, _ = fmt.Sscan(fields[0], &micros)
			e := targetEvent{at: time.UnixMicro(micros), what: fields[1], id: fields[2], conn: fields[3]}
			t.mu.Lock()
			t.events = append(t.events, e)
			t.mu.Unlock()
			if !strings.HasPrefix(e.id, "earlier-") {
				rec.printf("target %s at %.3f: %s", name, e.at.Sub(rec.start).Seconds(), strings.Join(fields[1:], " "))
			}
			if onEvent != nil {
				onEvent(t, e)
			}
		}
	}()
	return t, nil
}

// eventsOf returns the target's events of one kind about one request.
func (t *targetHandle) eventsOf(what, id string) (events []targetEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.events {
		if e.what == what && e.id == id {
			events = append(events, e)
		}
	}
	return events
}

func (t *targetHandle) signal(signal syscall.Signal) { _ = t.cmd.Process.Signal(signal) }

func (t *targetHandle) stop() {
	_ = t.cmd.Process.Kill()
	_ = t.cmd.Wait()
}
