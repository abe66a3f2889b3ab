package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// floodDuration is how long the bad clients of a flood send requests.
	floodDuration = 6 * time.Second
	// floodResponseTimeout limits how long a bad client waits for a response before it opens another connection.
	floodResponseTimeout = 2 * time.Second
	// floodPause is the pause of the clients of a flood that keeps requests in flight.
	floodPause = 250 * time.Millisecond
	// floodRedialDelay is how long a bad client waits after a connection that could not be opened.
	floodRedialDelay = 10 * time.Millisecond
	// floodUsualInterval is the time between two requests of the usual clients beside a flood.
	floodUsualInterval = 50 * time.Millisecond
	// floodTargetDelay is how long the target takes for a request.
	floodTargetDelay = 30 * time.Millisecond
	// memoryCheckInterval is how often an initiator's memory is compared with its limit.
	memoryCheckInterval = 5 * time.Millisecond
	// hopelessTimeout is a client's timeout that is too short for the target, so that the request is refused.
	hopelessTimeout = 20 * time.Millisecond
	// patientTimeout is a client's timeout that keeps its request in flight at a target that hangs.
	patientTimeout = 2 * time.Second
	// maxBodyBytes is the largest body of a request.
	maxBodyBytes = 64 << 10
	// longPathBytes and longHeaderBytes are the lengths of long parts of a request's head. Both fit into a head.
	longPathBytes   = 3600
	longHeaderBytes = 6000
)

// longDeadlineClass is a class whose clients wait long, so that an initiator may have to remember their requests for long.
var longDeadlineClass = Class{Name: "export", Deadline: 5 * time.Second}

// flood is a kind of traffic with which bad clients could make an initiator's memory grow. The bad clients read each response.
type flood struct {
	clients   int
	memoryMiB int
	sockets   int
	// pause is how long a bad client waits after a response or a close; 0: it sends at full speed. Floods of many clients need a pause, since
	// the test process also runs the target and the usual clients, whose times are checked.
	pause time.Duration
	// request returns the n-th request of a bad client.
	request func(client, n int) string
	// behaviour draws what the target does with a request; nil: it serves the request after floodTargetDelay.
	behaviour func(*rand.Rand) Behaviour
}

// floodRequest returns a read of longDeadlineClass with little time left, of a volume and an extent, with padding in the path
// and in the IO-Info header.
func floodRequest(client, n, volume, extent, pathPadding, headerPadding int) string {
	return fmt.Sprintf("GET /%s/%s/%016x HTTP/1.1\r\nHost: a\r\nRequest-Id: bad-%d-%d\r\nTier: std\r\n%s"+
		"IO-Info: volume=%016x,units=1,shard=0,hosts=1,note=%s\r\n\r\n", longDeadlineClass.Name, strings.Repeat("p", pathPadding),
		extent, client, n, timeoutHeader(hopelessTimeout), volume, strings.Repeat("h", headerPadding))
}

// run starts an initiator, floods it beside usual clients, and checks that it stays within its memory limit and gives each
// usual request its response.
func (f flood) run(t *testing.T) {
	t.Helper()
	behaviour := f.behaviour
	if behaviour == nil {
		behaviour = func(*rand.Rand) Behaviour { return Behaviour{Delay: floodTargetDelay} }
	}
	fixture := newFixtureWithConfig(t, Config{Classes: []Class{readClass, longDeadlineClass}, Cores: 1, Sockets: f.sockets,
		MemoryMiB: f.memoryMiB, LogLevel: "info"}, behaviour, nil)
	done := make(chan struct{})
	var running sync.WaitGroup
	var responses atomic.Int64
	running.Go(func() { fixture.sendUsualRequests(done) })
	for client := range f.clients {
		running.Go(func() { f.runBadClient(fixture.client.Addr, client, done, &responses) })
	}
	peakKiB := fixture.watchMemory(f.memoryMiB<<10, floodDuration)
	close(done)
	running.Wait()
	requests, served := fixture.history.Counts()
	t.Logf("most memory %d of %d KiB; %d responses to bad clients; requests of usual clients and attempts: %d, served: %d",
		peakKiB, f.memoryMiB<<10, responses.Load(), requests, served)
	fixture.checkMemory(t, peakKiB, f.memoryMiB<<10)
	fixture.check(t)
}

// watchMemory returns the highest memory of the initiator, in KiB, within the duration. It returns early if that exceeds the
// limit.
func (f *fixture) watchMemory(limitKiB int, duration time.Duration) (peakKiB int) {
	for end := time.Now().Add(duration); time.Now().Before(end) && peakKiB <= limitKiB; time.Sleep(memoryCheckInterval) {
		peakKiB = max(peakKiB, f.process.MemoryKiB())
	}
	return peakKiB
}

// checkMemory fails the test if the initiator's memory has exceeded its limit.
func (f *fixture) checkMemory(t *testing.T, peakKiB, limitKiB int) {
	t.Helper()
	if peakKiB > limitKiB {
		t.Errorf("the initiator's memory reached %d KiB, the limit is %d KiB\n%s%s", peakKiB, limitKiB,
			f.process.LogLines("memory use is high"), f.process.LogLines("table sizes"))
	}
}

// sendUsualRequests sends requests of usual clients until done is closed, and waits for their responses.
func (f *fixture) sendUsualRequests(done <-chan struct{}) {
	sendEvery(floodUsualInterval, done, func(i int) {
		f.client.Do(Request{ID: fmt.Sprintf("usual-%d", i), Class: readClass, Timeout: readClass.Deadline})
	})
}

// sendEvery calls send with the numbers from 0 on, each in a goroutine, at the given interval until done is closed. It returns when
// all calls have.
func sendEvery(interval time.Duration, done <-chan struct{}, send func(i int)) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		inFlight.Go(func() { send(i) })
	}
}

// runBadClient sends the requests of one bad client until done is closed, and counts the responses.
func (f flood) runBadClient(addr string, client int, done <-chan struct{}, responses *atomic.Int64) {
	for n := 0; ; {
		select {
		case <-done:
			return
		default:
		}
		conn, err := net.DialTimeout("tcp", addr, dialTimeout)
		if err != nil {
			time.Sleep(floodRedialDelay)
			continue
		}
		reader := bufio.NewReader(conn)
		for f.exchange(conn, reader, f.request(client, n), done) {
			n++
			responses.Add(1)
			time.Sleep(f.pause)
		}
		n++
		_ = conn.Close() // the requests of a bad client are not checked
		time.Sleep(f.pause)
	}
}

// exchange sends a request of a bad client and reads the response. It reports whether the connection can be used again.
func (f flood) exchange(conn net.Conn, reader *bufio.Reader, request string, done <-chan struct{}) bool {
	select {
	case <-done:
		return false
	default:
	}
	if conn.SetDeadline(time.Now().Add(floodResponseTimeout)) != nil {
		return false
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && !response.Close
}

// TestRefusedRequestsSentAgainStayWithinMemory guards against refused requests that are remembered once for each repeat.
func TestRefusedRequestsSentAgainStayWithinMemory(t *testing.T) {
	flood{clients: 100, memoryMiB: 64, sockets: 512, request: func(client, n int) string {
		return floodRequest(client, n, client, client, longPathBytes, 0)
	}}.run(t)
}

// TestNewVolumesWithLongHeadersStayWithinMemory guards against remembered volumes and extents that keep the lines of their
// requests' heads in memory.
func TestNewVolumesWithLongHeadersStayWithinMemory(t *testing.T) {
	flood{clients: 100, memoryMiB: 64, sockets: 512, request: func(client, n int) string {
		return floodRequest(client, n, client<<32+n, client, 0, longHeaderBytes)
	}}.run(t)
}

func hang(*rand.Rand) Behaviour { return Behaviour{Reply: Hang} }

// TestLongBodiesInFlightStayWithinMemory guards against the bodies of requests in flight, which only the number of connections
// limited.
func TestLongBodiesInFlightStayWithinMemory(t *testing.T) {
	body := strings.Repeat("b", maxBodyBytes)
	flood{clients: 500, memoryMiB: 32, sockets: 1024, pause: floodPause, behaviour: hang, request: func(client, n int) string {
		return Request{ID: fmt.Sprintf("bad-%d-%d", client, n), Class: longDeadlineClass, Timeout: patientTimeout, Body: body}.encode()
	}}.run(t)
}

// TestLongHeadsInFlightStayWithinMemory guards against the heads of requests in flight in the same way.
func TestLongHeadsInFlightStayWithinMemory(t *testing.T) {
	flood{clients: 500, memoryMiB: 32, sockets: 1024, pause: floodPause, behaviour: hang, request: func(client, n int) string {
		request := floodRequest(client, n, client, client, longHeaderBytes, longHeaderBytes)
		return strings.Replace(request, timeoutHeader(hopelessTimeout), timeoutHeader(patientTimeout), 1)
	}}.run(t)
}

func timeoutHeader(timeout time.Duration) string {
	return fmt.Sprintf("Request-Timeout-Ms: %d\r\n", timeout.Milliseconds())
}
