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

// The limits of the acceptance runs that the polls must keep to.
const (
	// maxPollGap is how far apart two polls of one initiator may begin: an initiator must act on a change 6 s after discovery
	// could be reached, and a poll may take queueTimeout.
	maxPollGap = 6*time.Second - queueTimeout
	// maxSilentWatch is how long a silent watch may stay open: an initiator must act 2 s after its wait on the changes that it
	// misses. The rest of the 2 s is for the next poll.
	maxSilentWatch = watchWait + 1800*time.Millisecond
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

// newTestWatcher returns a watcher, and the channel that it sends the versions of its lists to.
func newTestWatcher(address string, known *endpoints.List, spread time.Duration) (*Watcher, chan int64) {
	versions := make(chan int64, 64)
	notify := func(list *endpoints.List) { versions <- *list.Version }
	return New(address, known, spread, notify, slog.New(slog.DiscardHandler)), versions
}

// startServer serves HTTP for the time of the test and returns its host:port address.
func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// write sends a body. If that fails the watcher sees it, and so does the test.
func write(w io.Writer, body string) { _, _ = io.WriteString(w, body) }

func expectURLs(t *testing.T, polled <-chan string, want ...string) {
	t.Helper()
	for i, url := range want {
		if got := <-polled; got != url {
			t.Fatalf("poll %d is %q, want %q", i, got, url)
		}
	}
}

func expectVersions(t *testing.T, versions <-chan int64, want ...int64) {
	t.Helper()
	for _, version := range want {
		if got := <-versions; got != version {
			t.Errorf("notified of version %d, want %d", got, version)
		}
	}
}

// TestWatch plays discovery's responses in turn and checks polls and notifications. A watch goes on from the
// last version, the known one at first, and also after a poll that failed. After a list that cannot be used
// the complete one is polled.
func TestWatch(t *testing.T) {
	responses := []struct {
		status int
		body   string
		poll   string // the poll that gets it
	}{
		{200, listJSON(5, true, entryJSON), "/api/targets?after=3&wait_ms=20000"},
		{200, listJSON(6, false, strings.Replace(entryJSON, "SERVING", "DRAINING", 1)), "/api/targets?after=5&wait_ms=20000"},
		{200, listJSON(6, false), "/api/targets?after=6&wait_ms=20000"},
		{500, "", "/api/targets?after=6&wait_ms=20000"},
		{200, "nonsense", "/api/targets?after=6&wait_ms=0"},
		{200, listJSON(7, false, entryJSON), "/api/targets"}, // a change where the complete list was due
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

// testStartKey is the context key of a test's start, for the round trippers below.
type testStartKey struct{}

func withTestStart(ctx context.Context) context.Context {
	return context.WithValue(ctx, testStartKey{}, time.Now())
}

func sinceTestStart(r *http.Request) time.Duration {
	return time.Since(r.Context().Value(testStartKey{}).(time.Time))
}

// pollRecorder is a discovery that never responds to a poll, or fails each at once. It records when they begin.
type pollRecorder struct {
	fail   bool
	begins []time.Duration
}

func (p *pollRecorder) RoundTrip(r *http.Request) (*http.Response, error) {
	p.begins = append(p.begins, sinceTestStart(r))
	if p.fail {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Request: r}, nil
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestFleetPollsSpread
//
// Many initiators start at once on one discovery that serves them in turn. If all polled at once, nearly all
// polls would be given up in its queue, and these would take all of its time again and again. The first
// polls, and those after a failure, come spread out; but no two of one initiator are further apart than
// maxPollGap.
func TestFleetPollsSpread(t *testing.T) {
	const fleet = 300
	const seconds = 60
	for _, fail := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			pollsBySecond := map[int]int{}
			total := 0
			for i, begins := range runFleet(t, fleet, seconds*time.Second, fail) {
				if len(begins) == 0 || begins[0] > maxPollGap {
					t.Fatalf("initiator %d polled at %v, want a first poll within %v", i, begins, maxPollGap)
				}
				previous := begins[0]
				for _, begin := range begins {
					if fail && begin-previous > maxPollGap {
						t.Fatalf("initiator %d polled at %v, more than %v apart", i, begins, maxPollGap)
					}
					previous = begin
					pollsBySecond[int(begin/time.Second)]++
					total++
				}
			}
			for second, polls := range pollsBySecond {
				if polls > fleet/2 { // spread evenly, a third
					t.Errorf("failing %v: %d polls in second %d, want %d at most", fail, polls, second, fleet/2)
				}
			}
			if total > fleet*seconds/3 {
				t.Errorf("failing %v: %d polls in %d s", fail, total, seconds)
			}
		})
	}
}

// runFleet starts so many initiators at once for a time, and returns when each of them polled.
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
	begins := make([][]time.Duration, size)
	for i, recorder := range recorders {
		begins[i] = recorder.begins
	}
	return begins
}

// TestSilentPoll guards against a discovery that is down and keeps the connection open: the poll is given up.
func TestSilentPoll(t *testing.T) {
	address := startServer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	w, _ := newTestWatcher("", nil, 0)
	if _, err := w.fetch(context.Background(), "http://"+address+"/api/targets", 50*time.Millisecond); err == nil {
		t.Error("a silent poll had a result")
	}
}

// silentWatches is a discovery whose polls fall silent where they may wait for a change. It records when each
// of these is given up.
type silentWatches struct{ ends []time.Duration }

func (s *silentWatches) RoundTrip(r *http.Request) (*http.Response, error) {
	if wait := r.URL.Query().Get("wait_ms"); wait == "" || wait == "0" {
		body := io.NopCloser(strings.NewReader(listJSON(1, true, entryJSON)))
		return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
	}
	<-r.Context().Done()
	s.ends = append(s.ends, sinceTestStart(r))
	return nil, r.Context().Err()
}

// TestSilentWatch guards against waiting on for a watch that has fallen silent: no watch stays open for more
// than maxSilentWatch, also where polls are spread over a fleet, and the next one has begun by then.
func TestSilentWatch(t *testing.T) {
	for _, spread := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(withTestStart(context.Background()))
			discovery := &silentWatches{}
			w, _ := newTestWatcher("127.0.0.1:1", nil, spread)
			w.client.Transport = discovery
			go w.Run(ctx)
			time.Sleep(2 * time.Minute)
			stop()
			synctest.Wait()
			previous := min(spread, maxSpread)
			for _, end := range discovery.ends {
				if end-previous > maxSilentWatch {
					t.Fatalf("spread %v: silent watches ended at %v, want none open for more than %v", spread, discovery.ends,
						maxSilentWatch)
				}
				previous = end
			}
			if len(discovery.ends) < 4 {
				t.Errorf("spread %v: %d watches in two minutes", spread, len(discovery.ends))
			}
		})
	}
}

// serveUnchanged serves a complete list, and holds each poll for a change.
func serveUnchanged(version int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		write(w, listJSON(version, true, entryJSON))
	}
}

// startRecorded starts a server that sends the URL of each poll to the channel.
func startRecorded(t *testing.T, handler http.HandlerFunc) (address string, polled chan string) {
	t.Helper()
	polled = make(chan string, 64)
	address = startServer(t, func(w http.ResponseWriter, r *http.Request) {
		polled <- r.URL.String()
		handler(w, r)
	})
	return address, polled
}

// TestSetAddress has discovery move twice while a watch waits: the complete list is polled at once at the
// last address, also where its version is an earlier one, and the first address is not polled again.
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
		t.Errorf("the first address was polled again: %q", <-polledFirst)
	}
}

// TestSetAddressAtOnce
//
// Discovery moves before its first address has been polled. The goroutine that polls read its address while
// the move wrote it, which only the race detector sees. The list is had from the second address all the same.
func TestSetAddressAtOnce(t *testing.T) {
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
