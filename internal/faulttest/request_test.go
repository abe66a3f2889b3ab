package faulttest

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Request is a client's request and the way in which the client sends it and waits for the response.
type Request struct {
	ID                string
	Class             Class
	Shard             int
	Timeout           time.Duration
	Body              string        // the data of a write; empty for a read
	Segments          int           // number of socket writes that the request is split into; 0: one
	SegmentInterval   time.Duration // time between two of these writes
	Disconnects       bool          // the client does not wait for the response
	DisconnectAfter   time.Duration // time between the request's last byte and the disconnect
	ResetOnDisconnect bool          // the client disconnects by a reset instead of a close
}

// encode returns the request as it is sent.
func (req Request) encode() string {
	method := "GET"
	if req.Body != "" {
		method = "PUT"
	}
	head := fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: std\r\nRequest-Timeout-Ms: %d\r\n"+
		"IO-Info: volume=%016x,units=1,shard=%d,hosts=1\r\n",
		method, req.Class.Name, 7, req.ID, req.Timeout.Milliseconds(), 3, req.Shard)
	if req.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(req.Body))
	}
	return head + "\r\n" + req.Body
}

// writeTo writes the request in as many segments as it specifies.
func (req Request) writeTo(conn net.Conn) error {
	remaining := req.encode()
	size := len(remaining)/max(req.Segments, 1) + 1
	for len(remaining) > 0 {
		segment := remaining[:min(size, len(remaining))]
		if _, err := io.WriteString(conn, segment); err != nil {
			return err
		}
		if remaining = remaining[len(segment):]; remaining != "" {
			time.Sleep(req.SegmentInterval)
		}
	}
	return nil
}
