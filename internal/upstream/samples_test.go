package upstream

import (
	"testing"
	"time"

	"dapplegate/internal/httpmsg"
	"dapplegate/scheduler"
)

// TestAttemptSamples writes an attempt in the form of the PROTOCOL page: what passes on does so unchanged.
func TestAttemptSamples(t *testing.T) {
	put := &httpmsg.Request{Method: "PUT", URI: "/checkout/7f3a9c21e0b4d655?q=1", ID: "9b1f03aa5c7e2d41", Body: []byte("body")}
	want := "PUT /checkout/7f3a9c21e0b4d655?q=1 HTTP/1.1\r\nHost: 10.1.0.18:8080\r\nRequest-Id: 9b1f03aa5c7e2d41\r\n" +
		"Request-Timeout-Ms: 480\r\nContent-Length: 4\r\n\r\n"
	if got := string(appendRequestHead(nil, put, "10.1.0.18:8080", 480*time.Millisecond)); got != want {
		t.Errorf("a write has the head %q, want %q", got, want)
	}
	get := &httpmsg.Request{Method: "GET", URI: "/checkout/7f3a9c21e0b4d655", ID: "9b1f03aa5c7e2d41"}
	want = "GET /checkout/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: 10.1.0.18:8080\r\nRequest-Id: 9b1f03aa5c7e2d41\r\nRequest-Timeout-Ms: 1\r\n\r\n"
	if got := string(appendRequestHead(nil, get, "10.1.0.18:8080", time.Millisecond)); got != want {
		t.Errorf("a read has the head %q, want %q", got, want)
	}
}

// TestAnswerSamples reads answers in the forms of the PROTOCOL page.
func TestAnswerSamples(t *testing.T) {
	for _, c := range []struct {
		in   string
		code scheduler.AttemptStatus
		load scheduler.LoadReport
		used int
		body string
	}{
		{"HTTP/1.1 200 OK\r\nServer-Load: inflight=7,queue=2,util=0.61\r\nVolume-Load: 86\r\nContent-Length: 4\r\n\r\ndata",
			scheduler.Succeeded, scheduler.LoadReport{QueueDepth: 2, InFlight: 7}, 87, "data"},
		{"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n", scheduler.Errored, scheduler.LoadReport{}, 0, ""},
		{"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", scheduler.Rejected, scheduler.LoadReport{}, 0, ""},
		{"HTTP/1.1 504 Gateway Timeout\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", scheduler.Rejected, scheduler.LoadReport{}, 0, ""},
		{"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", scheduler.Errored, scheduler.LoadReport{}, 0, ""},
	} {
		a, err := readResponse(c.in)
		if err != nil {
			t.Errorf("%q: %v", c.in, err)
			continue
		}
		var load scheduler.LoadReport
		if a.loadReport != nil {
			load = *a.loadReport
		}
		if a.status() != c.code || load != c.load || a.volumeUsage != c.used || string(a.body) != c.body {
			t.Errorf("%q: read as %+v with code %v", c.in, a, a.status())
		}
	}
}
