package discovery

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dapplegate/internal/endpoints"
)

const entryJSON = `{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"SERVING","weight":1.0,"started_ms":7}`

// Limits that the polls must keep in the acceptance runs.
const (
	// maxPollGap is the longest time between the beginnings of two polls of one initiator: an initiator must act on a change
	// within 6 s after discovery becomes reachable, and a poll may take minSharedPollTimeout.
	maxPollGap = 6*time.Second - minSharedPollTimeout
	// maxSilentPoll is how long a poll without a response may stay open: an initiator must act on the changes that it missed
	// within 2 s after the wait of that poll. The rest of the 2 s is for the next poll.
	maxSilentPoll = longPollWait + 1800*time.Millisecond
)

func listJSON(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, complete, strings.Join(entries, ","))
}

func decodeList(t *testing.T, json string) *endpoints.List {
	t.Helper()
	list, err := endpoints.Decode([]byte(json))
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// newTestWatcher returns a watcher, and a channel that receives the versions of the lists that it passes on.
func newTestWatcher(address string, known *endpoints.List, spread time.Duration) (*Watcher, chan int64) {
	versions := make(chan int64, 64)
	notify := func(list *endpoints.List) { versions <- *list.Version }
	return New(address, known, spread, notify, slog.New(slog.DiscardHandler)), versions
}

// startServer starts an HTTP server that runs until the test ends, and returns its host:port address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// write sends a body. It ignores an error, since the watcher's poll then fails, which the test detects.
func write(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

func expectURLs(t *testing.T, polled <-chan string, want ...string) {
	t.Helper()
	for i, url := range want {
		if got := <-polled; got != url {
			t.Fatalf("poll %d: got URL %q, want %q", i, got, url)
		}
	}
}

func expectVersions(t *testing.T, versions <-chan int64, want ...int64) {
	t.Helper()
	for _, version := range want {
		if got := <-versions; got != version {
			t.Errorf("got list of version %d, want %d", got, version)
		}
	}
}

// TestWatch checks the watcher's polls and the lists that it passes on, for a sequence of responses. The watcher requests
// the changes since the last version, which at first is that of the known list, even after a failed poll. After an unusable
// list it requests the complete list.
func TestWatch(t *testing.T) {
	responses := []struct {
		status int
		body   string
		poll   string // the poll that gets this response
	}{
		{200, listJSON(5, true, entryJSON), "/api/targets?after=3&wait_ms=20000"},
		{200, listJSON(6, false, strings.Replace(entryJSON, "SERVING", "DRAINING", 1)), "/api/targets?after=5&wait_ms=20000"},
		{200, listJSON(6, false), "/api/targets?after=6&wait_ms=20000"},
		{500, "", "/api/targets?after=6&wait_ms=20000"},
		{200, "nonsense", "/api/targets?after=6&wait_ms=0"},
		{200, listJSON(7, false, entryJSON), "/api/targets"}, // changes, although the complete list was requested
		{200, listJSON(8, true, entryJSON), "/api/targets"},
		{200, listJSON(2, false, entryJSON), "/api/targets?after=8&wait_ms=20000"}, // an earlier version
		{200, listJSON(9, true, entryJSON), "/api/targets"},
	}
	next := 0
	address, polled := startRecorded(t, func(w http.ResponseWriter, r *http.Request) {
		if next == len(responses) {
			<-r.Context().Done()
			return
		}
		response := responses[next]
		next++
		w.WriteHeader(response.status)
		write(w, response.body)
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	known := decodeList(t, listJSON(3, false, entryJSON))
	w, versions := newTestWatcher(address, known, 0)
	go w.Run(ctx)
	var polls []string
	for _, response := range responses {
		polls = append(polls, response.poll)
	}
	expectURLs(t, polled, polls...)
	<-polled
	expectVersions(t, versions, 3, 5, 6, 8, 9)
}

// testStartKey is the context key of the time at which a test started, for the round trippers below.
type testStartKey struct{}

func withTestStart(ctx context.Context) context.Context {
	return context.WithValue(ctx, testStartKey{}, time.Now())
}

func sinceTestStart(r *http.Request) time.Duration {
	return time.Since(r.Context().Value(testStartKey{}).(time.Time))
}

// pollRecorder is a discovery service that never responds to a poll or, if fail is set, fails each poll at once. It records
// when the polls begin.
type pollRecorder struct {
	fail      bool
	pollTimes []time.Duration
}

func (p *pollRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	p.pollTimes = append(p.pollTimes, sinceTestStart(r))
	if p.fail {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Request: r}, nil
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestFleetPollsSpread checks that the first polls of many initiators that start at the same time, and the polls after a
// failure, are spread out, but that an initiator makes its first poll, and the next one after a failure, within maxPollGap.
//
// It guards against an overload of a discovery service that serves the initiators in turn: if all polled at once, nearly all
// polls would time out in its queue, and serving these would take all of its time again and again.
func TestFleetPollsSpread(t *testing.T) {
	const fleet = 300
	const seconds = 60
	for _, fail := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			pollsBySecond := map[int]int{}
			total := 0
			for i, pollTimes := range runFleet(t, fleet, seconds*time.Second, fail) {
				if len(pollTimes) == 0 || pollTimes[0] > maxPollGap {
					t.Fatalf("initiator %d polled at %v, want the first poll within %v", i, pollTimes, maxPollGap)
				}
				previous := pollTimes[0]
				for _, pollTime := range pollTimes {
					if fail && pollTime-previous > maxPollGap {
						t.Fatalf("initiator %d polled at %v, want gaps of at most %v", i, pollTimes, maxPollGap)
					}
					previous = pollTime
					pollsBySecond[int(pollTime/time.Second)]++
					total++
				}
			}
			for second, polls := range pollsBySecond {
				if polls > fleet/2 { // a third if spread evenly
					t.Errorf("fail=%v: %d polls in second %d, want at most %d", fail, polls, second, fleet/2)
				}
			}
			if total > fleet*seconds/3 {
				t.Errorf("fail=%v: too many polls: %d in %d s", fail, total, seconds)
			}
		})
	}
}

// runFleet runs size initiators that start at the same time, for a duration, and returns when each of them polled.
func runFleet(t *testing.T, size int, span time.Duration, fail bool) [][]time.Duration {
	ctx, stop := context.WithCancel(withTestStart(context.Background()))
	known := decodeList(t, listJSON(0, true, entryJSON))
	recorders := make([]*pollRecorder, size)
	for i := range recorders {
		recorders[i] = &pollRecorder{fail: fail}
		w, _ := newTestWatcher("127.0.0.1:1", known, time.Duration(size)*PollServiceTime)
		w.client.Transport = recorders[i]
		go w.Run(ctx)
	}
	time.Sleep(span)
	stop()
	synctest.Wait()
	pollTimes := make([][]time.Duration, size)
	for i, recorder := range recorders {
		pollTimes[i] = recorder.pollTimes
	}
	return pollTimes
}

// TestFetchTimeout checks that a poll times out if discovery is down and keeps the connection open without a response.
func TestFetchTimeout(t *testing.T) {
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	w, _ := newTestWatcher("", nil, 0)
	if _, err := w.fetch(context.Background(), "http://"+address+"/api/targets", 50*time.Millisecond); err == nil {
		t.Error("fetch returned a list without a response")
	}
}

// silentDiscovery is a discovery service that never responds to polls with a wait. It records when each of these polls is
// cancelled.
type silentDiscovery struct{ timeouts []time.Duration }

func (s *silentDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	if wait := r.URL.Query().Get("wait_ms"); wait == "" || wait == "0" {
		body := io.NopCloser(strings.NewReader(listJSON(1, true, entryJSON)))
		return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
	}
	<-r.Context().Done()
	s.timeouts = append(s.timeouts, sinceTestStart(r))
	return nil, r.Context().Err()
}

// TestSilentPollTimeout checks that no poll stays open for more than maxSilentPoll if discovery does not respond, and that
// the next poll has begun by then. This also applies if the polls are spread over a fleet.
func TestSilentPollTimeout(t *testing.T) {
	for _, spread := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(withTestStart(context.Background()))
			discovery := &silentDiscovery{}
			w, _ := newTestWatcher("127.0.0.1:1", nil, spread)
			w.client.Transport = discovery
			go w.Run(ctx)
			time.Sleep(2 * time.Minute)
			stop()
			synctest.Wait()
			previous := min(spread, maxSpread)
			for _, end := range discovery.timeouts {
				if end-previous > maxSilentPoll {
					t.Fatalf("spread %v: polls without response ended at %v, want none open for more than %v", spread, discovery.timeouts,
						maxSilentPoll)
				}
				previous = end
			}
			if len(discovery.timeouts) < 4 {
				t.Errorf("spread %v: %d polls in two minutes, want at least 4", spread, len(discovery.timeouts))
			}
		})
	}
}

// serveUnchanged returns a handler that serves a complete list, and never responds to polls for changes.
func serveUnchanged(version int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		write(w, listJSON(version, true, entryJSON))
	}
}

// startRecorded starts a server that sends the URL of each poll to the returned channel.
func startRecorded(t *testing.T, handler http.HandlerFunc) (address string, polled chan string) {
	t.Helper()
	polled = make(chan string, 64)
	address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		polled <- r.URL.String()
		handler(w, r)
	})
	return address, polled
}

// TestSetAddress checks two changes of discovery's address during a poll: the complete list is requested at once from the
// last address, and accepted even if its version is older, and the first address is not polled again.
func TestSetAddress(t *testing.T) {
	first, polledFirst := startRecorded(t, serveUnchanged(9))
	second, polledSecond := startRecorded(t, serveUnchanged(4))
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	w, versions := newTestWatcher(first, nil, 0)
	go w.Run(ctx)
	expectURLs(t, polledFirst, "/api/targets", "/api/targets?after=9&wait_ms=20000")
	w.SetAddress("127.0.0.1:1")
	w.SetAddress(second)
	expectURLs(t, polledSecond, "/api/targets", "/api/targets?after=4&wait_ms=20000")
	expectVersions(t, versions, 9, 4)
	if len(polledFirst) > 0 {
		t.Errorf("first address was polled again: %q", <-polledFirst)
	}
}

// TestSetAddressBeforeFirstPoll checks that the list is requested from the new address if the address changes before the
// first poll.
//
// It guards against a data race, which only the race detector finds: the polling goroutine read the address while SetAddress
// wrote it.
func TestSetAddressBeforeFirstPoll(t *testing.T) {
	address := startServer(t, serveUnchanged(4))
	for range 20 {
		ctx, stop := context.WithCancel(context.Background())
		w, versions := newTestWatcher("127.0.0.1:1", nil, 0)
		w.SetAddress(address)
		go w.Run(ctx)
		expectVersions(t, versions, 4)
		stop()
	}
}
