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

// malformedTimeout is how soon an initiator must respond to a malformed request with an error or close the connection.
const malformedTimeout = 3 * time.Second

// MalformedRequest is an invalid or incomplete request.
type MalformedRequest string

// MalformedRequests are the malformed requests of the soak test. The initiator must respond to each with an error or close
// the connection.
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

// SendMalformed sends a malformed request. It returns an error if the initiator neither responds with an HTTP error nor
// closes the connection within malformedTimeout.
func SendMalformed(addr string, request MalformedRequest) error {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil // the initiator is not listening, which counts as a close
	}
	defer func() { _ = conn.Close() }() // the response is no longer needed
	start := time.Now()
	go func() { _, _ = io.WriteString(conn, string(request)) }() // may fail: the initiator may close first
	if err := conn.SetReadDeadline(start.Add(malformedTimeout)); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	switch {
	case err == nil && resp.StatusCode >= http.StatusBadRequest:
		return nil
	case err == nil:
		return fmt.Errorf("malformed request %.30q: got status %d, want an error status", request, resp.StatusCode)
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return fmt.Errorf("malformed request %.30q: got neither an error response nor a close within %v",
			request, malformedTimeout)
	}
	return nil
}
