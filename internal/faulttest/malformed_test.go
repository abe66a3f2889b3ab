package faulttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// malformedTimeout is how soon a client that sends a malformed request is owed an error or a close.
const malformedTimeout = 3 * time.Second

// MalformedRequest is a request that cannot be served, or part of one.
type MalformedRequest string

// MalformedRequests are what bad clients send. Each is owed an error or a close.
var MalformedRequests = []MalformedRequest{
	"\x16\x03\x01noise\r\n\r\n",
	"GET / HTTP/1.1\r\nA: " + MalformedRequest(strings.Repeat("b", 40<<10)),
	"PUT /read/0000000000000007 HTTP/1.1\r\nHost: a\r\nContent-Length: -4\r\n\r\nbody",
	"PUT /read/0000000000000007 HTTP/1.1\r\nHost: a\r\nContent-Length: 9000000000\r\n\r\nbody",
	"PUT /read/0000000000000007 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"GET /nothing/0000000000000007 HTTP/1.1\r\nHost: a\r\n\r\n",
	"GET /read/0000000000000007 HTTP/1.1\r\nHo",
	"G",
}

// SendMalformed sends a malformed request. It returns an error if there is neither an error nor a close in time.
func SendMalformed(addr string, request MalformedRequest) error {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil // an address that is no longer listened at has closed
	}
	defer func() { _ = conn.Close() }() // what came is known
	begun := time.Now()
	go func() { _, _ = io.WriteString(conn, string(request)) }() // it may meet the close that is owed
	if err := conn.SetReadDeadline(begun.Add(malformedTimeout)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err == nil && resp.StatusCode >= http.StatusBadRequest:
		return nil
	case err == nil:
		return fmt.Errorf("%.30q got a response with status %d", request, resp.StatusCode)
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fmt.Errorf("%.30q got neither an error nor a close within %v", request, malformedTimeout)
	}
	return nil
}
