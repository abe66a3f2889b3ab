// Package httpmsg defines the part of a client's HTTP request that its attempts forward.
package httpmsg

// MaxRequestBody is the largest body of a request, in bytes.
const MaxRequestBody = 64 << 10

// Request is the part of a client's request that every attempt forwards unchanged.
type Request struct {
	Method string
	URI    string // path and query
	ID     string // the Request-Id header
	Body   []byte // at most MaxRequestBody
}
