package clienthttp

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestRequestScannerFindsEnds scans a sequence of requests in pieces of random sizes. With a wrong end, the server would
// consider a connection idle while a request is on it.
func TestRequestScannerFindsEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ends []int
		sent := ""
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			body := strings.Repeat("\n", rapid.IntRange(0, 200).Draw(t, "body"))
			newline := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "newline")
			head := "PUT /put/x/7 HTTP/1.1" + newline + "X: " + strings.Repeat("x", rapid.IntRange(0, 80).Draw(t, "header")) + newline
			if body != "" || rapid.Bool().Draw(t, "declares none") {
				name := rapid.SampledFrom([]string{"Content-Length", "content-length", "CONTENT-LENGTH"}).Draw(t, "name")
				head += fmt.Sprintf("%s:%d %s", name, len(body), newline)
			}
			sent += head + newline + body
			ends = append(ends, len(sent))
		}
		var scanner requestScanner
		var found []int
		for at := 0; at < len(sent); {
			piece := sent[at:min(at+rapid.IntRange(1, 64).Draw(t, "piece"), len(sent))]
			length, complete := scanner.scan([]byte(piece))
			if length < len(piece) && !complete {
				t.Fatalf("scan took %d of %d bytes before the end of a request", length, len(piece))
			}
			at += length
			if complete {
				found = append(found, at)
			}
		}
		if fmt.Sprint(found) != fmt.Sprint(ends) {
			t.Fatalf("found ends at %v, want %v, in %q", found, ends, sent)
		}
	})
}
