package clienthttp

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMalformedRequests checks that a request which cannot be accepted gets a status that does not invite a retry, on a
// connection that closes, and that nothing of it reaches the dispatcher. Of what follows it on the connection nothing is
// taken for another request.
func TestMalformedRequests(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	with := func(before, after string) string { return strings.Replace(validPut, before, after, 1) }
	oldCoding := with("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked")
	longBody := strings.Repeat("x", 65537)
	const ioInfo = "IO-Info: volume=00000003b4d60021,units=2,shard=5,hosts=3\r\n"
	for _, c := range []struct {
		name, raw string
		want      int
	}{
		{"garbage", "nonsense\r\n\r\n", 400},
		{"method", with("PUT", "DELETE"), 405},
		{"no key", with("/put/x/7f3a9c21e0b4d655?q=1", "/put"), 400},
		{"short key", with("7f3a9c21e0b4d655", "7f3a"), 400},
		{"unknown class", with("/put/", "/odd/"), 404},
		{"unknown plan", with("Tier: std", "Tier: odd"), 422},
		{"two lengths", with("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), 400},
		{"negative length", with("Content-Length: 4", "Content-Length: -4"), 400},
		{"length out of range", with("Content-Length: 4", "Content-Length: 99999999999999999999"), 400},
		{"length and coding", with("Content-Length: 4\r\n\r\nbody",
			"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"+validPut), 411},
		{"coding alone", with("Content-Length: 4\r\n\r\nbody", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), 411},
		{"length and coding in HTTP/1.0", strings.Replace(oldCoding, "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"read with a body", strings.Replace(with("PUT", "GET"), "/put/", "/get/", 1), 400},
		{"two ids", with("Tier:", "Request-Id: id2\r\nTier:"), 400},
		{"two plans", with("Tier: std", "Tier: std\r\nTier: std"), 400},
		{"two infos", with("IO-Info:", ioInfo+"IO-Info:"), 400},
		{"two timeouts", with("Request-Timeout-Ms: 480", "Request-Timeout-Ms: 480\r\nRequest-Timeout-Ms: 480"), 400},
		{"timeout with a sign", with("480", "+480"), 400},
		{"timeout out of range", with("480", "99999999999999999999"), 400},
		{"no id", with("Request-Id: id1\r\n", ""), 400},
		{"id with a space", with("id1", "i d"), 400},
		{"no timeout", with("Request-Timeout-Ms: 480\r\n", ""), 400},
		{"negative timeout", with("480", "-1"), 400},
		{"timeout with an exponent", with("480", "1e9"), 400},
		{"no volume", with("volume=00000003b4d60021,", ""), 400},
		{"volume that is no number", with("00000003b4d60021", "xyz"), 400},
		{"units that are no number", with("units=2", "units=NaN"), 400},
		{"shard twice", with("shard=5", "shard=5,shard=6"), 400},
		{"shard out of range", with("shard=5", "shard=-2"), 400},
		{"no hosts", with(",hosts=3", ""), 400},
		{"long head", with("Host: a", "Host: a\r\nX: "+strings.Repeat("x", 40<<10)), 431},
		{"long body", with("Content-Length: 4\r\n\r\nbody", "Content-Length: 65537\r\n\r\n"+longBody), 413},
	} {
		response, body, conn := roundTripOnNewConn(t, addr, c.raw)
		if response.StatusCode != c.want || !response.Close {
			t.Errorf("%s: status %d (%q), closes %v, want %d and a close",
				c.name, response.StatusCode, body, response.Close, c.want)
		}
		_ = conn.CloseWrite() // fails where the server has reset the connection
		if rest, _ := io.ReadAll(conn); len(rest) > 0 {
			t.Errorf("%s: more responses: %q", c.name, rest)
		}
	}
	if len(d.calls) != 0 {
		t.Errorf("%d of them reached the dispatcher", len(d.calls))
	}
}

// TestFullDispatcherRejects has the dispatcher accept nothing more: the request is rejected, and a retry is harmless.
func TestFullDispatcherRejects(t *testing.T) {
	_, d, addr := startServer(t, maxTestConns)
	d.atCapacity = true
	if response, _, _ := roundTripOnNewConn(t, addr, validPut); response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", response.StatusCode)
	}
}

// TestTruncatedIOInfo truncates a valid IO-Info header: without all of its four fields it is not accepted, while one that
// is truncated within the last number may be. Of random headers, whatever is accepted has a volume of 16 digits, and units
// and a shard that are not below their range.
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
