package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientRequest is a request of a usual client.
type clientRequest struct {
	id, class string
	timeout   time.Duration
	shard     int
	folders   string // between the class and the key in the path, each with a slash behind it; may be empty
	body      string // empty: a read
}

func (r clientRequest) encode() string {
	head := func(method string) string {
		return fmt.Sprintf("%s /%s/%s%016x HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: %s\r\nTier: std\r\nRequest-Timeout-Ms: %d\r\n"+
			"IO-Info: volume=00000003b4d60021,units=2,shard=%d,hosts=1\r\n", method, r.class, r.folders, 0x7f3a9c21e0b4d600+r.shard, r.id,
			r.timeout.Milliseconds(), r.shard)
	}
	if r.body == "" {
		return head("GET") + "\r\n"
	}
	return head("PUT") + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
}

// answer is what a client has got. status is 0 if no whole answer came in time.
type answer struct {
	status  int
	body    string
	elapsed time.Duration // from the request's last byte to the answer's last byte
	err     error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %v: %v", a.elapsed.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("%d %.60q after %v", a.status, a.body, a.elapsed.Round(time.Millisecond))
}

// send sends a request on a new connection and waits for its answer until a second after its time.
func (r clientRequest) send(address string) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, r.encode()); err != nil {
		return answer{err: err}
	}
	sentAt := time.Now()
	_ = conn.SetReadDeadline(sentAt.Add(r.timeout + time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	a := answer{elapsed: time.Since(sentAt), err: err, body: string(body)}
	if err == nil {
		a.status = response.StatusCode
	}
	return a
}
