package clienthttp

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dapplegate/internal/dispatcher"
	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

// The names of the headers that every request carries exactly once.
const (
	headerRequestID     = "Request-Id"
	headerClientTimeout = "Request-Timeout-Ms" // how long the client waits, in whole milliseconds
	headerPlan          = "Tier"
	headerIOInfo        = "IO-Info"
)

const (
	// maxClientTimeoutMillis is the longest timeout that a client may request, in milliseconds.
	maxClientTimeoutMillis = 10 * 60 * 1000
	// firstBodyPart is the size, in bytes, of the buffer that a body is read into until more of it has arrived.
	firstBodyPart = 4 << 10
	// maxRequestIDLength is the maximum length, in bytes, of the client's ID of a request.
	maxRequestIDLength = 64
	// maxShard, maxInitiators and maxUnits limit the numbers in an IO-Info header; maxUnits itself is out of range.
	maxShard      = 1e6
	maxInitiators = 1e6
	maxUnits      = 1e6
	// extentKeyLength and volumeIDLength are numbers of hexadecimal digits.
	extentKeyLength = 16
	volumeIDLength  = 16
)

// requestError is the reason why a request is malformed. A request with such an error does not reach the dispatcher.
type requestError struct {
	Status  int    // HTTP status of the response
	Message string // body of the response; names the header or the part of the request that is malformed
}

// Error implements error.
func (e *requestError) Error() string {
	return e.Message
}

// requestErrorf returns a requestError with a formatted message.
func requestErrorf(status int, format string, args ...any) *requestError {
	return &requestError{Status: status, Message: fmt.Sprintf(format, args...)}
}

// errTransferEncoding is the error of a request with a transfer coding.
var errTransferEncoding = requestErrorf(http.StatusLengthRequired, "Transfer-Encoding: a body needs a Content-Length instead")

// parseHead parses the head of a request into a call for the dispatcher and the request to forward, which has no body
// yet.
func (s *Server) parseHead(r *http.Request) (*dispatcher.Call, *httpmsg.Request, *requestError) {
	if err := checkFraming(r); err != nil {
		return nil, nil, err
	}
	if err := checkSingleHeaders(r.Header); err != nil {
		return nil, nil, err
	}
	if r.Method != http.MethodGet && r.Method != http.MethodPut {
		return nil, nil, requestErrorf(http.StatusMethodNotAllowed, "method %s: GET and PUT are served", r.Method)
	}
	class, extent, err := parseRequestURI(r.RequestURI)
	if err != nil {
		return nil, nil, err
	}
	requestID := r.Header.Get(headerRequestID)
	if !isRequestID(requestID) {
		return nil, nil, requestErrorf(http.StatusBadRequest, "%s: wanted 1 to %d visible characters",
			headerRequestID, maxRequestIDLength)
	}
	timeout, err := parseClientTimeout(r.Header.Get(headerClientTimeout))
	if err != nil {
		return nil, nil, err
	}
	request, err := parseIOInfo(r.Header.Get(headerIOInfo))
	if err != nil {
		return nil, nil, err
	}
	request.Class = class
	request.Plan = r.Header.Get(headerPlan)
	// The scheduler keeps these two beyond the end of the request, which must not keep the lines of the head in memory.
	request.Extent = strings.Clone(extent)
	request.Volume = strings.Clone(request.Volume)
	if err := s.checkConfigured(request); err != nil {
		return nil, nil, err
	}
	call := &dispatcher.Call{Request: request, ClientRequestID: requestID, ClientTimeout: timeout}
	return call, &httpmsg.Request{Method: r.Method, URI: r.RequestURI, ID: requestID}, nil
}

// checkFraming returns an error for a request whose body does not have a declared length within the limit.
//
// It rejects transfer codings and HTTP/1.0 to prevent request smuggling. net/http drops the Content-Length of a request
// that also has a Transfer-Encoding, and ignores the transfer coding of an HTTP/1.0 request, so a proxy before or after
// this server might see another request in the body.
func checkFraming(r *http.Request) *requestError {
	switch {
	case len(r.TransferEncoding) > 0:
		return errTransferEncoding
	case !r.ProtoAtLeast(1, 1):
		return requestErrorf(http.StatusHTTPVersionNotSupported, "%s: HTTP/1.1 is served", r.Proto)
	case r.ContentLength > httpmsg.MaxRequestBody:
		return requestErrorf(http.StatusRequestEntityTooLarge, "body: over %d bytes", httpmsg.MaxRequestBody)
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return requestErrorf(http.StatusBadRequest, "body: a GET has none")
	}
	return nil
}

// checkSingleHeaders returns an error for a request that lacks or repeats one of the required headers.
func checkSingleHeaders(header http.Header) *requestError {
	for _, name := range []string{headerRequestID, headerClientTimeout, headerPlan, headerIOInfo} {
		if count := len(header.Values(name)); count != 1 {
			return requestErrorf(http.StatusBadRequest, "%s: wanted once, is there %d times", name, count)
		}
	}
	return nil
}

// parseRequestURI returns the class and the extent key of a URI of the form /class/…/key, with or without a query.
func parseRequestURI(uri string) (class, extent string, malformed *requestError) {
	if !strings.HasPrefix(uri, "/") {
		return "", "", requestErrorf(http.StatusBadRequest, "the request's target must be a path")
	}
	path, _, _ := strings.Cut(uri, "?")
	class, rest, found := strings.Cut(path[1:], "/")
	extent = rest[strings.LastIndexByte(rest, '/')+1:]
	if !found || class == "" || !isHex(extent, extentKeyLength) {
		return "", "", requestErrorf(http.StatusBadRequest, "path: wanted /class/…/key with a key of %d hex digits",
			extentKeyLength)
	}
	return class, extent, nil
}

func isRequestID(id string) bool {
	invisible := func(c rune) bool { return c <= ' ' || c > '~' }
	return id != "" && len(id) <= maxRequestIDLength && !strings.ContainsFunc(id, invisible)
}

// parseClientTimeout accepts a timeout of zero, because a late retry may have no whole millisecond left. Such a request
// is well formed: the dispatcher rejects it, and its connection stays open.
func parseClientTimeout(value string) (time.Duration, *requestError) {
	millis, err := strconv.ParseUint(value, 10, 31)
	if err != nil || millis > maxClientTimeoutMillis {
		return 0, requestErrorf(http.StatusBadRequest, "%s: wanted whole milliseconds, 0 to %d",
			headerClientTimeout, maxClientTimeoutMillis)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// checkConfigured returns an error for a request whose class or plan is not configured.
func (s *Server) checkConfigured(request scheduler.Request) *requestError {
	if !s.options.Classes[request.Class] {
		return requestErrorf(http.StatusNotFound, "class %q is not served here", request.Class)
	}
	if !s.options.Plans[request.Plan] {
		return requestErrorf(http.StatusUnprocessableEntity, "%s: plan %q is not known here", headerPlan, request.Plan)
	}
	return nil
}

// ioInfoField is a field of the IO-Info header. Its parse function sets a field of the request, and reports whether the
// value is valid.
type ioInfoField struct {
	name  string
	parse func(request *scheduler.Request, value string) bool
}

// ioInfoFields are the fields that every IO-Info header carries exactly once, in any order.
var ioInfoFields = [...]ioInfoField{
	{"volume", parseVolume},
	{"units", parseUnits},
	{"shard", parseShard},
	{"hosts", parseInitiators},
}

// parseIOInfo parses an IO-Info header such as "volume=00000003b4d60021,units=2,shard=5,hosts=3". It ignores unknown
// fields.
func parseIOInfo(header string) (scheduler.Request, *requestError) {
	var request scheduler.Request
	var seen [len(ioInfoFields)]bool
	for part := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		for i, field := range ioInfoFields {
			if field.name != name {
				continue
			}
			if !field.parse(&request, value) || seen[i] {
				return request, requestErrorf(http.StatusBadRequest, "%s: %s=%.40q: not usable", headerIOInfo, name, value)
			}
			seen[i] = true
		}
	}
	for i, field := range ioInfoFields {
		if !seen[i] {
			return request, requestErrorf(http.StatusBadRequest, "%s: %s is missing", headerIOInfo, field.name)
		}
	}
	return request, nil
}

func parseVolume(request *scheduler.Request, value string) bool {
	request.Volume = value
	return isHex(value, volumeIDLength)
}

// parseUnits also rejects NaN, because every comparison with NaN is false.
func parseUnits(request *scheduler.Request, value string) bool {
	units, err := strconv.ParseFloat(value, 64)
	request.Units = units
	return err == nil && units >= 0 && units < maxUnits
}

// parseShard accepts -1, which stands for a new object that any target may take.
func parseShard(request *scheduler.Request, value string) bool {
	shard, err := strconv.Atoi(value)
	request.Shard = shard
	return err == nil && shard >= -1 && shard <= maxShard
}

// parseInitiators accepts 0. The value is the number of initiators that send requests for the volume.
func parseInitiators(request *scheduler.Request, value string) bool {
	initiators, err := strconv.Atoi(value)
	request.Initiators = initiators
	return err == nil && initiators >= 0 && initiators <= maxInitiators
}

// isHex reports whether text is a hexadecimal number of exactly the given number of digits, which is at most 16.
func isHex(text string, digits int) bool {
	if len(text) != digits {
		return false
	}
	_, err := strconv.ParseUint(text, 16, 64)
	return err == nil
}

// readBody reads the request's body, whose length is declared and within the limit. The server's read timeout limits how
// long that takes. The buffer grows with what has arrived, so that a client that declares a body and does not send it takes
// little memory. The error is a *requestError if the body does not arrive, or else errOutOfMemory.
func readBody(r *http.Request, memory *requestMemory) ([]byte, error) {
	var body []byte
	for int64(len(body)) < r.ContentLength {
		size := min(max(2*int64(len(body)), firstBodyPart), r.ContentLength)
		if err := memory.acquire(size - int64(len(body))); err != nil {
			return nil, err
		}
		larger := make([]byte, size)
		arrived := copy(larger, body)
		if _, err := io.ReadFull(r.Body, larger[arrived:]); err != nil {
			return nil, requestErrorf(http.StatusRequestTimeout, "body: did not come whole")
		}
		body = larger
	}
	return body, nil
}
