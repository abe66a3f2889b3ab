package faulttest

import (
	"fmt"
	"io"
	"net"
	"time"
)

// Request is what a client asks, and how it goes about it.
type Request struct {
	ID              string
	Class           Class
	Shard           int
	Timeout         time.Duration
	Body            string        // of a write; empty: a read
	Pieces          int           // the number of writes that the request is split into; 0: one
	PieceInterval   time.Duration // between two of these writes
	Disconnects     bool          // the client does not wait for the response
	DisconnectAfter time.Duration // from the request's last byte
	ByReset         bool          // the client resets the connection in place of closing it
}

// encode returns the request as bytes.
func (q Request) encode() string {
	method := "GET"
	if q.Body != "" {
		method = "PUT"
	}
	head := fmt.Sprintf("%s /%s/%016x HTTP/1.1\r\nHost: a\r\nRequest-Id: %s\r\nTier: std\r\nRequest-Timeout-Ms: %d\r\n"+
		"IO-Info: volume=%016x,units=1,shard=%d,hosts=1\r\n", method, q.Class.Name, 7, q.ID, q.Timeout.Milliseconds(), 3, q.Shard)
	if q.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.Body))
	}
	return head + "\r\n" + q.Body
}

// writeTo writes the request, in pieces where it says so.
func (q Request) writeTo(conn net.Conn) error {
	rest := q.encode()
	size := len(rest)/max(q.Pieces, 1) + 1
	for len(rest) > 0 {
		piece := rest[:min(size, len(rest))]
		if _, err := io.WriteString(conn, piece); err != nil {
			return err
		}
		if rest = rest[len(piece):]; rest != "" {
			time.Sleep(q.PieceInterval)
		}
	}
	return nil
}
