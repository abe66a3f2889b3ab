package clienthttp

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMalformedRequests checks that a request which cannot be accepted gets a status that does not invite a retry, that
// its connection closes and that it does not reach the dispatcher. Bytes that follow it on the connection must not be
// taken for another request.
func TestMalformedRequests(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	replace := func(before, after string) string { return strings.Replace(validPut, before, after, 1) }
	lengthAndCoding := replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")
	longBody := strings.Repeat("x", 65537)
	const ioInfo = "IO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n"
	for _, c := range []struct {
		name, raw string
		want      int
	}{
		{"garbage", "nonsense\r\n\r\n", 400},
		{"method", replace("PUT", "DELETE"), 405},
		{"no key", replace("/put/x/7f3a9c21e0b4d655?q=1", "/put"), 400},
		{"short key", replace("7f3a9c21e0b4d655", "7f3a"), 400},
		{"unknown class", replace("/put/", "/odd/"), 404},
		{"unknown plan", replace("Tier: std", "Tier: odd"), 422},
		{"two lengths", replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400},
		{"negative length", replace("Content-Length: 4", "Content-Length: -4"), 400},
		{"length out of range", replace("Content-Length: 4", "Content-Length: 99999999999999999999"), 400},
		{"length and transfer coding", replace("Content-Length: 4\r\n\r\nbody",
			"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+validPut), 411},
		{"transfer coding alone", replace("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 411},
		{"length and transfer coding in HTTP/1.0", strings.Replace(lengthAndCoding, "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"GET with a body", strings.Replace(replace("PUT", "GET"), "/put/", "/get/", 1), 400},
		{"two IDs", replace("Tier:", "Request-Id: id2\r\nTier:"), 400},
		{"two plans", replace("Tier: std", "Tier: std\r\nTier: std"), 400},
		{"two IO-Info headers", replace("IO-Info:", ioInfo+"IO-Info:"), 400},
		{"two timeouts", replace("Request-Timeout-Ms: 480", "Request-Timeout-Ms: 480\r\nRequest-Timeout-Ms: 480"), 400},
		{"timeout with a sign", replace("480", "+480"), 400},
		{"timeout out of range", replace("480", "99999999999999999999"), 400},
		{"no ID", replace("Request-Id: id1\r\n", ""), 400},
		{"ID with a space", replace("id1", "i d"), 400},
		{"no timeout", replace("Request-Timeout-Ms: 480\r\n", ""), 400},
		{"negative timeout", replace("480", "-1"), 400},
		{"timeout with an exponent", replace("480", "1e9"), 400},
		{"no volume", replace("volume=00000003b4d60021,", ""), 400},
		{"volume not a number", replace("00000003b4d60021", "xyz"), 400},
		{"units not a number", replace("units=2", "units=NaN"), 400},
		{"shard twice", replace("shard=5", "shard=5,shard=6"), 400},
		{"shard out of range", replace("shard=5", "shard=-2"), 400},
		{"no hosts", replace(",hosts=3", ""), 400},
		{"long head", replace("Host: a", "Host: a\r\nX: "+strings.Repeat("x", 40<<10)), 431},
		{"long body", replace("Content-Length: 4\r\n\r\nbody", "Content-Length: 65537\r\n\r\n"+longBody), 413},
	} {
		response, body, conn := roundTripOnNewConn(t, addr, c.raw)
		if response.StatusCode != c.want || !response.Close {
			t.Errorf("%s: status %d (%q), closes %v, want %d and a close",
				c.name, response.StatusCode, body, response.Close, c.want)
		}
		_ = conn.CloseWrite() // fails where the server has reset the connection
		if rest, _ := io.ReadAll(conn); len(rest) > 0 {
			t.Errorf("%s: further responses: %q", c.name, rest)
		}
	}
	if len(d.calls) != 0 {
		t.Errorf("%d malformed requests reached the dispatcher", len(d.calls))
	}
}

// TestFullDispatcherRejects has the dispatcher accept no more calls. The request must be rejected with a status that
// permits a retry.
func TestFullDispatcherRejects(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	d.atCapacity = true
	if response, _, _ := roundTripOnNewConn(t, addr, validPut); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", response.StatusCode)
	}
}

// TestTruncatedIOInfo truncates a valid IO-Info header. Without all of its four fields the header must not be accepted;
// one that is truncated within the last number may be. A random header that is accepted must have a volume of 16 digits,
// and units and a shard that are not below their ranges.
func TestTruncatedIOInfo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valid := fmt.Sprintf("volume=%016x,units=%d,shard=%d,hosts=%d", rapid.Uint64().Draw(t, "volume"),
			rapid.IntRange(1, 8).Draw(t, "units"), rapid.IntRange(-1, 9).Draw(t, "shard"), rapid.IntRange(1, 9).Draw(t, "hosts"))
		if _, err := parseIOInfo(valid); err != nil {
			t.Fatalf("%q: %v", valid, err)
		}
		length := rapid.IntRange(0, len(valid)-1).Draw(t, "length")
		if length < strings.LastIndexByte(valid, '=') {
			if request, err := parseIOInfo(valid[:length]); err == nil {
				t.Fatalf("%q was accepted as %+v", valid[:length], request)
			}
		}
		garbage := rapid.StringMatching(`[a-z=,0-9.\-]{0,60}`).Draw(t, "garbage")
		request, err := parseIOInfo(garbage)
		if err == nil && (len(request.Volume) != 16 || request.Units < 0 || request.Shard < -1) {
			t.Fatalf("%q was accepted as %+v", garbage, request)
		}
	})
}

// TestKeptKeysDoNotKeepHeadInMemory guards against volumes and extents, which the scheduler remembers, that are parts of the
// long lines of their requests' heads.
func TestKeptKeysDoNotKeepHeadInMemory(t *testing.T) {
	const requests, paddingBytes = 1000, 4 << 10
	s := newTestServer(newFakeDispatcher(), maxTestConns)
	padding := strings.Repeat("p", paddingBytes)
	raw := strings.Replace(validGet, "/x/", "/"+padding+"/", 1)
	raw = strings.Replace(raw, "hosts=3", "hosts=3,note="+padding, 1)
	kept := make([]string, 0, 3*requests)
	before := liveHeapBytes()
	for range requests {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			t.Fatal(err)
		}
		call, _, malformed := s.parseHead(request)
		if malformed != nil {
			t.Fatal(malformed)
		}
		kept = append(kept, call.Extent, call.Volume, call.ClientRequestID)
	}
	grown := liveHeapBytes() - before
	if perRequest := grown / requests; perRequest >= paddingBytes/2 {
		t.Errorf("%d bytes are kept of each request", perRequest)
	}
	runtime.KeepAlive(kept)
}

// liveHeapBytes returns the size of all reachable heap objects.
func liveHeapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
