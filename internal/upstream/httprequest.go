package upstream

import (
	"net/http"
	"strconv"
	"time"

	"dapplegate/internal/httpmsg"
)

// typicalHeadBytes is a size that most request heads fit into.
const typicalHeadBytes = 256

// minRequestTimeout is the smallest timeout that Request-Timeout-Ms, a header in milliseconds, can express.
const minRequestTimeout = time.Millisecond

// encodeRequest returns the HTTP message of an attempt: a head, and the client's body unchanged.
func encodeRequest(request *httpmsg.Request, host string, timeout time.Duration) []byte {
	message := make([]byte, 0, typicalHeadBytes+len(request.Body))
	message = appendRequestHead(message, request, host, timeout)
	return append(message, request.Body...)
}

// appendRequestHead appends the head of an attempt. It contains only the headers that the protocol defines.
func appendRequestHead(buffer []byte, request *httpmsg.Request, host string, timeout time.Duration) []byte {
	buffer = append(buffer, request.Method...)
	buffer = append(buffer, ' ')
	buffer = append(buffer, request.URI...)
	buffer = append(buffer, " HTTP/1.1\r\nHost: "...)
	buffer = append(buffer, host...)
	buffer = append(buffer, "\r\nRequest-Id: "...)
	buffer = append(buffer, request.ID...)
	buffer = append(buffer, "\r\nRequest-Timeout-Ms: "...)
	buffer = strconv.AppendInt(buffer, max(timeout, minRequestTimeout).Milliseconds(), 10)
	if len(request.Body) > 0 || request.Method != http.MethodGet {
		buffer = append(buffer, "\r\nContent-Length: "...)
		buffer = strconv.AppendInt(buffer, int64(len(request.Body)), 10)
	}
	return append(buffer, "\r\n\r\n"...)
}
