package clienthttp

import (
	"bytes"
	"strconv"
)

// maxScannedLine is how much of a head's line is kept, in bytes: enough for "Content-Length:" and a length.
const maxScannedLine = 64

var contentLengthName = []byte("content-length")

// requestScanner finds where requests end in a connection's bytes, by the end of the head and its Content-Length. It checks
// nothing: net/http parses the same bytes. A request whose framing is not accepted, such as one with a transfer coding, may
// end elsewhere for the scanner; its response closes the connection.
type requestScanner struct {
	line       [maxScannedLine]byte // the start of the head's current line
	lineLength int                  // in line
	hasLine    bool                 // a line of the head that is not empty has ended
	bodyLength int64                // as declared by the head so far
	inBody     bool
	complete   bool // the request has ended; the next byte begins another
}

// scan takes further bytes, and returns how many of them belong to the current request, and whether it ends with them. After
// a request has ended, the first byte belongs to the next.
func (s *requestScanner) scan(data []byte) (length int, complete bool) {
	if s.complete {
		*s = requestScanner{}
	}
	for length < len(data) && !s.complete {
		if s.inBody {
			length += s.scanBody(data[length:])
		} else {
			length += s.scanLine(data[length:])
		}
	}
	return length, s.complete
}

// scanBody takes bytes of the body.
func (s *requestScanner) scanBody(data []byte) (length int) {
	length = int(min(s.bodyLength, int64(len(data))))
	s.bodyLength -= int64(length)
	s.complete = s.bodyLength == 0
	return length
}

// scanLine takes bytes up to the end of the head's current line.
func (s *requestScanner) scanLine(data []byte) (length int) {
	newline := bytes.IndexByte(data, '\n')
	if newline < 0 {
		s.lineLength += copy(s.line[s.lineLength:], data)
		return len(data)
	}
	s.lineLength += copy(s.line[s.lineLength:], data[:newline])
	s.endLine(bytes.TrimSuffix(s.line[:s.lineLength], []byte{'\r'}))
	s.lineLength = 0
	return newline + 1
}

// endLine takes a line of the head. The empty line after at least one other ends the head.
func (s *requestScanner) endLine(line []byte) {
	if len(line) > 0 {
		s.hasLine = true
		s.noteContentLength(line)
		return
	}
	if !s.hasLine {
		return
	}
	s.inBody = true
	s.complete = s.bodyLength == 0
}

// noteContentLength takes the length that a header line declares, if it is one.
func (s *requestScanner) noteContentLength(line []byte) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !bytes.EqualFold(name, contentLengthName) {
		return
	}
	length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil && length >= 0 {
		s.bodyLength = length
	}
}
