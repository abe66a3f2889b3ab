package clienthttp

import (
	"bytes"
	"strconv"
)

// maxHeadLines limits the lines of a request's head. net/http takes some 100 bytes for each field, however short, so that a head
// within maxHeaderBytes could take 100 times its size.
const maxHeadLines = 100

// headError is why net/http is not given the head of a request.
type headError struct {
	text     string
	response string // is sent to the client before the connection is closed
	reason   closeReason
}

// Error implements error.
func (e *headError) Error() string { return e.text }

var (
	// errTooManyFields is the error of a head with more than maxHeadLines lines.
	errTooManyFields = &headError{
		text:     "the request's head has too many fields",
		response: "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		reason:   reasonTooManyFields,
	}
	// errUncertainEnd is the error of a head from which the scanner cannot tell for certain where net/http finds the end of the
	// request: a folded line, or a Content-Length behind more spaces than the scanner keeps.
	errUncertainEnd = &headError{
		text:     "the request's head has a folded line or a long Content-Length",
		response: "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
		reason:   reasonUncertainEnd,
	}
)

// maxScannedLine is how many bytes of a line of the head are kept: enough for "Content-Length:" and a length.
const maxScannedLine = 64

var contentLengthName = []byte("content-length")

// requestScanner finds the ends of requests in a connection's bytes, from the end of the head and its Content-Length. It
// does not validate requests: net/http parses the same bytes. It finds the same end as net/http, or an error, or net/http or the
// handler rejects the request, such as one with a transfer coding, and the response closes the connection.
type requestScanner struct {
	line          [maxScannedLine]byte // the start of the head's current line
	lineLength    int                  // bytes used in line
	lineTruncated bool                 // line lacks the rest of the current line
	err           *headError           // why no more of the head may be used; nil if it may
	lines         int                  // non-empty lines of the head that have ended
	bodyRemaining int64                // bytes of the body that are still missing, by the Content-Length read so far
	inBody        bool
	complete      bool // the request is complete; the next byte begins another
}

// scan scans further bytes. It returns how many of them belong to the current request, and whether they complete it.
// After a complete request, the next byte begins another. The scan ends at the line that sets err.
func (s *requestScanner) scan(data []byte) (length int, complete bool) {
	if s.complete {
		*s = requestScanner{}
	}
	for length < len(data) && !s.complete && s.err == nil {
		if s.inBody {
			length += s.scanBody(data[length:])
		} else {
			length += s.scanLine(data[length:])
		}
	}
	return length, s.complete
}

// scanBody scans bytes of the body and returns how many belong to it.
func (s *requestScanner) scanBody(data []byte) (length int) {
	length = int(min(s.bodyRemaining, int64(len(data))))
	s.bodyRemaining -= int64(length)
	s.complete = s.bodyRemaining == 0
	return length
}

// scanLine scans bytes of the head, up to the end of the current line, and returns how many it scanned.
func (s *requestScanner) scanLine(data []byte) (length int) {
	newline := bytes.IndexByte(data, '\n')
	if newline < 0 {
		s.keep(data)
		return len(data)
	}
	s.keep(data[:newline])
	s.endLine(bytes.TrimSuffix(s.line[:s.lineLength], []byte{'\r'}))
	s.lineLength = 0
	s.lineTruncated = false
	return newline + 1
}

// keep keeps further bytes of the current line, as far as there is room.
func (s *requestScanner) keep(data []byte) {
	kept := copy(s.line[s.lineLength:], data)
	s.lineLength += kept
	s.lineTruncated = s.lineTruncated || kept < len(data)
}

// endLine handles a complete line of the head. The first empty line after another line ends the head.
func (s *requestScanner) endLine(line []byte) {
	if len(line) > 0 {
		s.lines++
		s.scanField(line)
		return
	}
	if s.lines == 0 {
		return
	}
	s.inBody = true
	s.complete = s.bodyRemaining == 0
}

// scanField sets bodyRemaining if the line is a valid Content-Length header, and err if net/http must not get the line.
func (s *requestScanner) scanField(line []byte) {
	isFolded := line[0] == ' ' || line[0] == '\t'
	name, value, found := bytes.Cut(line, []byte{':'})
	isContentLength := found && bytes.EqualFold(name, contentLengthName)
	switch {
	case s.lines > maxHeadLines:
		s.err = errTooManyFields
	case isFolded, isContentLength && s.lineTruncated:
		s.err = errUncertainEnd
	case isContentLength:
		length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil && length >= 0 {
			s.bodyRemaining = length
		}
	}
}
