// Package httpmsg defines the part of a client's HTTP request that is forwarded to targets.
package httpmsg

// MaxRequestBody is the maximum size of a request body, in bytes.
const MaxRequestBody = 64 << 10

// Request is the part of a client's request that every attempt forwards unchanged.
type Request struct {
	Method string
	URI    string // path and query
	ID     string // the Request-Id header
	Body   []byte // at most MaxRequestBody
}
