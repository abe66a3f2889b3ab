package clienthttp

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

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

// TestManyFieldsAreNotParsed guards against a head of very many short fields, which takes 100 times its size in memory. Such a
// request gets a 431 before its head has ended, also if it was read ahead. A head with as many fields as allowed is served.
func TestManyFieldsAreNotParsed(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	go d.respondToAll()
	defer close(d.calls)
	withoutEnd := strings.TrimSuffix(validGet, "\r\n")
	head := func(lines int) string {
		return withoutEnd + strings.Repeat("x:\r\n", lines-strings.Count(withoutEnd, "\r\n"))
	}
	for _, c := range []struct {
		name, sent   string
		wantStatuses []int
	}{
		{"as many as allowed", head(maxHeadLines) + "\r\n", []int{http.StatusOK}},
		{"one too many, without the end", head(maxHeadLines + 1), []int{http.StatusRequestHeaderFieldsTooLarge}},
		{"one too many, read ahead", validGet + head(maxHeadLines+1), []int{http.StatusOK, http.StatusRequestHeaderFieldsTooLarge}},
	} {
		conn := dial(t, addr)
		setDeadline(t, conn, time.Now().Add(requestReadTimeout/2)) // an incomplete head ends later
		send(conn, c.sent)
		reader := bufio.NewReader(conn)
		for i, want := range c.wantStatuses {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Errorf("%s: response %d: %v", c.name, i, err)
				break
			}
			_, _ = io.Copy(io.Discard, response.Body)
			if response.StatusCode != want {
				t.Errorf("%s: response %d has status %d, want %d", c.name, i, response.StatusCode, want)
			}
		}
	}
}

// TestUncertainEndIsRejected guards against a request that ends elsewhere for the scanner than for net/http. Its connection would
// never count as idle, and clients that repeat it would keep others out. Forms that the scanner reads leave an idle connection.
func TestUncertainEndIsRejected(t *testing.T) {
	const body = "body!"
	spaces := strings.Repeat(" ", maxScannedLine)
	for name, c := range map[string]struct {
		lengthField string
		wantStatus  int
	}{
		"plain":             {"Content-Length: 5\r\n", http.StatusOK},
		"spaces behind":     {"Content-Length: 5" + spaces[:40] + "\r\n", http.StatusOK},
		"twice":             {"Content-Length: 5\r\ncontent-length:\t5\r\n", http.StatusOK},
		"many spaces ahead": {"Content-Length:" + spaces + "5\r\n", http.StatusBadRequest},
		"folded":            {"Content-Length:\r\n 5\r\n", http.StatusBadRequest},
		"another folded":    {"Content-Length: 5\r\nX: y\r\n\tz\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			s, d, addr := startServer(t, maxTestConns)
			go d.respondToAll()
			defer close(d.calls)
			response, _, _ := roundTripOnNewConn(t, addr, validPutHead+c.lengthField+"\r\n"+body)
			if response.StatusCode != c.wantStatus {
				t.Fatalf("status %d, want %d", response.StatusCode, c.wantStatus)
			}
			if c.wantStatus == http.StatusOK {
				awaitIdle(t, s, 1)
			}
		})
	}
	t.Run("chunked readiness check", func(t *testing.T) {
		_, _, addr := startServer(t, maxTestConns)
		const request = "GET /-/ready HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		if response, _, _ := roundTripOnNewConn(t, addr, request); response.StatusCode != http.StatusLengthRequired || !response.Close {
			t.Errorf("status %d, closes %v; want %d and a close", response.StatusCode, response.Close, http.StatusLengthRequired)
		}
	})
}
