package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// arrival is a request as a target got it.
type arrival struct {
	id      string
	path    string
	conn    net.Conn
	reader  *bufio.Reader // of the connection
	lastAt  time.Time     // when its last byte had come
	timeout time.Duration
	body    []byte
}

// entryOf returns the list's entry of a target that serves a shard.
func entryOf(id, addr string, shard int) entry {
	return entry{ID: id, Addr: addr, Zone: "treforest", Kind: "node-std", Cell: shard, State: serving, Weight: 1}
}

// serveAfter returns a handler that serves each request after a time, as a sound target does.
func (b *bench) serveAfter(delay time.Duration, length int) func(arrival) bool {
	return func(a arrival) bool {
		b.noteAt(a.lastAt, "target: begins with %s", a.id)
		time.Sleep(delay)
		_, err := io.WriteString(a.conn, answer200(answerBody(a.id, length)))
		return err == nil
	}
}

// startTarget starts a target and returns its address. handle answers a request and reports whether the connection stays open.
func (b *bench) startTarget(handle func(arrival) bool) (string, error) {
	listener, err := b.listen()
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			b.onClose(func() { _ = conn.Close() })
			go serveTarget(conn, handle)
		}
	}()
	return listener.Addr().String(), nil
}

// serveTarget reads requests from a connection until it ends.
func serveTarget(conn net.Conn, handle func(arrival) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		ms, _ := strconv.Atoi(request.Header.Get("Request-Timeout-Ms")) // 0 if absent
		id := request.Header.Get("Request-Id")
		if id == "" {
			_, _ = io.WriteString(conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		a := arrival{id: id, path: request.URL.Path, conn: conn, reader: reader, lastAt: time.Now(), body: body,
			timeout: time.Duration(ms) * time.Millisecond}
		if !handle(a) {
			return
		}
	}
}

// answerBody returns the body that a target makes for a request: it is different for each, and as long as asked for.
func answerBody(id string, length int) string {
	line := "answer to " + id + ";"
	return strings.Repeat(line, length/len(line)+1)
}

// answer200 returns a whole answer with a body.
func answer200(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Load: util=0.31,latency_ms=12\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}
