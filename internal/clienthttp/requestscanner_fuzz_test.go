package clienthttp

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// FuzzRequestEnds compares the ends of requests that the scanner finds in any bytes, in pieces of any size, with those that
// http.ReadRequest finds. They must be the same up to the first request that either of them or the handler rejects, since that
// closes the connection. With another end, a connection that has its response would not count as idle and could not be evicted.
func FuzzRequestEnds(f *testing.F) {
	const head = "PUT /put/x/7 HTTP/1.1\r\nHost: a\r\n"
	for _, seed := range []string{
		validGet + validPut,
		head + "Content-Length: 5\r\n\r\nbody!" + validGet,
		head + "Content-Length:                                                            5\r\n\r\nbody!" + validGet,
		head + "Content-Length:\r\n 5\r\n\r\nbody!" + validGet,
		head + "content-length:\t5 \r\nContent-Length: 5\r\n\r\nbody!" + validGet,
		head + "Content-Length: +5\r\n\r\nbody!" + validGet,
		head + "X: y\r\n Content-Length: 5\r\n\r\nbody!" + validGet,
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbody!\r\n0\r\n\r\n" + validGet,
		"GET / HTTP/1.1\nHost: a\n\nGET / HTTP/1.1\r\nHost: a\r\n\r\r\n\n",
	} {
		f.Add([]byte(seed), byte(7))
	}
	f.Fuzz(func(t *testing.T, sent []byte, pieceSize byte) {
		found := scanEnds(sent, max(int(pieceSize), 1))
		for i, want := range readEnds(sent) {
			if i == len(found.ends) && found.rejected {
				return
			}
			if i >= len(found.ends) || found.ends[i] != want {
				t.Fatalf("found ends at %v (rejected: %v), net/http finds the %d. at %d, in %q", found.ends, found.rejected, i, want, sent)
			}
		}
	})
}

// scannedEnds holds what the scanner finds.
type scannedEnds struct {
	ends     []int
	rejected bool // the request after the last end
}

// scanEnds scans bytes in pieces.
func scanEnds(sent []byte, pieceSize int) (found scannedEnds) {
	var scanner requestScanner
	for at := 0; at < len(sent); {
		length, complete := scanner.scan(sent[at:min(at+pieceSize, len(sent))])
		at += length
		if scanner.err != nil {
			found.rejected = true
			return found
		}
		if complete {
			found.ends = append(found.ends, at)
		}
	}
	return found
}

// readEnds returns the ends of the requests that net/http reads and the handler does not reject for their framing.
func readEnds(sent []byte) (ends []int) {
	source := bytes.NewReader(sent)
	reader := bufio.NewReader(source)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || len(request.TransferEncoding) > 0 || !request.ProtoAtLeast(1, 1) {
			return ends
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return ends
		}
		ends = append(ends, len(sent)-source.Len()-reader.Buffered())
	}
}
