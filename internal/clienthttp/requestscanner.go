package clienthttp

import (
	"bytes"
	"errors"
	"strconv"
)

// maxHeadLines limits the lines of a request's head. net/http takes some 100 bytes for each field, however short, so that a head
// within maxHeaderBytes could take 100 times its size.
const maxHeadLines = 100

// errTooManyFields is the error of a request whose head has more than maxHeadLines lines.
var errTooManyFields = errors.New("the request's head has too many fields")

// maxScannedLine is how many bytes of a line of the head are kept: enough for "Content-Length:" and a length.
const maxScannedLine = 64

var contentLengthName = []byte("content-length")

// requestScanner finds the ends of requests in a connection's bytes, from the end of the head and its Content-Length. It
// does not validate requests: net/http parses the same bytes. For a request whose framing is rejected, such as one with a
// transfer coding, the scanner may find another end; the response to such a request closes the connection.
type requestScanner struct {
	line          [maxScannedLine]byte // the start of the head's current line
	lineLength    int                  // bytes used in line
	lines         int                  // non-empty lines of the head that have ended
	bodyRemaining int64                // bytes of the body that are still missing, by the Content-Length read so far
	inBody        bool
	complete      bool // the request is complete; the next byte begins another
}

// scan scans further bytes. It returns how many of them belong to the current request, and whether they complete it.
// After a complete request, the next byte begins another. The scan ends at the line that makes tooManyLines true.
func (s *requestScanner) scan(data []byte) (length int, complete bool) {
	if s.complete {
		*s = requestScanner{}
	}
	for length < len(data) && !s.complete && !s.tooManyLines() {
		if s.inBody {
			length += s.scanBody(data[length:])
		} else {
			length += s.scanLine(data[length:])
		}
	}
	return length, s.complete
}

// tooManyLines reports whether the head has more lines than net/http may be given.
func (s *requestScanner) tooManyLines() bool { return s.lines > maxHeadLines }

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
		s.lineLength += copy(s.line[s.lineLength:], data)
		return len(data)
	}
	s.lineLength += copy(s.line[s.lineLength:], data[:newline])
	s.endLine(bytes.TrimSuffix(s.line[:s.lineLength], []byte{'\r'}))
	s.lineLength = 0
	return newline + 1
}

// endLine handles a complete line of the head. The first empty line after another line ends the head.
func (s *requestScanner) endLine(line []byte) {
	if len(line) > 0 {
		s.lines++
		s.parseContentLength(line)
		return
	}
	if s.lines == 0 {
		return
	}
	s.inBody = true
	s.complete = s.bodyRemaining == 0
}

// parseContentLength sets bodyRemaining if the line is a valid Content-Length header.
func (s *requestScanner) parseContentLength(line []byte) {
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !bytes.EqualFold(name, contentLengthName) {
		return
	}
	length, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err == nil && length >= 0 {
		s.bodyRemaining = length
	}
}
