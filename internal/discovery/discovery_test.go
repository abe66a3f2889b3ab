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

const one = `{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"SERVING","weight":1.0,"started_ms":7}`

func list(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// TestWatch plays discovery's answers in turn and checks what is asked and told: a watch goes on from the last
// version, the known one first and also after a call that failed; after a list that makes no sense the whole is asked for.
func TestWatch(t *testing.T) {
	answers := []struct {
		status int
		body   string
		ask    string // what must have been asked
	}{
		{200, list(5, true, one), "/api/targets?after=3&wait_ms=20000"},
		{200, list(6, false, strings.Replace(one, "SERVING", "DRAINING", 1)), "/api/targets?after=5&wait_ms=20000"},
		{200, list(6, false), "/api/targets?after=6&wait_ms=20000"},
		{500, "", "/api/targets?after=6&wait_ms=20000"},
		{200, "nonsense", "/api/targets?after=6&wait_ms=0"},
		{200, list(7, false, one), "/api/targets"}, // a change where the whole list was due
		{200, list(8, true, one), "/api/targets"},
		{200, list(2, false, one), "/api/targets?after=8&wait_ms=20000"}, // went back
		{200, list(9, true, one), "/api/targets"},
	}
	asked := make(chan string, 64)
	n := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.String()
		if n == len(answers) {
			<-r.Context().Done()
			return
		}
		a := answers[n]
		n++
		w.WriteHeader(a.status)
		fmt.Fprint(w, a.body)
	}))
	defer s.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	told := make(chan int64, 64)
	known, err := endpoints.Decode([]byte(list(3, false, one)))
	if err != nil {
		t.Fatal(err)
	}
	w := New(strings.TrimPrefix(s.URL, "http://"), known, 0, func(l *endpoints.List) { told <- *l.Version }, slog.New(slog.DiscardHandler))
	go w.Run(ctx)
	for i, a := range answers {
		if got := <-asked; got != a.ask {
			t.Fatalf("call %d asked %q, want %q", i, got, a.ask)
		}
	}
	<-asked
	for _, want := range []int64{3, 5, 6, 8, 9} {
		if got := <-told; got != want {
			t.Errorf("told of version %d, want %d", got, want)
		}
	}
}

// calls stands in for discovery: it notes when it is called and lets fail decide.
type calls struct {
	at   []time.Duration
	fail bool
}

func (c *calls) RoundTrip(r *http.Request) (*http.Response, error) {
	c.at = append(c.at, time.Since(began(r)))
	if c.fail {
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody, Request: r}, nil
	}
	<-r.Context().Done()
	return nil, r.Context().Err()
}

type beganKey struct{}

func began(r *http.Request) time.Time { return r.Context().Value(beganKey{}).(time.Time) }

// TestFleetAsksInTurn starts many initiators at once on one discovery: their first calls, and those after a failure,
// come spread out, so that calls given up while they wait do not take all that discovery can do; but no two of one
// initiator lie further apart than 6 s less what a call may take, since that is when a change counts as told.
func TestFleetAsksInTurn(t *testing.T) {
	const fleet = 300
	const apart = 6*time.Second - turnFor
	for _, fail := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.WithValue(context.Background(), beganKey{}, time.Now()))
			known, err := endpoints.Decode([]byte(list(0, true, one)))
			if err != nil {
				t.Fatal(err)
			}
			all := make([]*calls, fleet)
			for i := range all {
				all[i] = &calls{fail: fail}
				w := New("127.0.0.1:1", known, fleet*ExpectedCallTime, func(*endpoints.List) {}, slog.New(slog.DiscardHandler))
				w.call.Transport = all[i]
				go w.Run(ctx)
			}
			time.Sleep(60 * time.Second)
			stop()
			synctest.Wait()
			second := map[int]int{}
			total := 0
			for i, c := range all {
				if len(c.at) == 0 || c.at[0] > apart {
					t.Fatalf("initiator %d called at %v, want a first call within %v", i, c.at, apart)
				}
				before := c.at[0]
				for _, at := range c.at {
					second[int(at/time.Second)]++
					total++
					if fail && at-before > apart {
						t.Fatalf("initiator %d called at %v, more than %v apart", i, c.at, apart)
					}
					before = at
				}
			}
			for s, n := range second {
				if n > fleet/2 { // evenly, a third
					t.Errorf("failing %v: %d calls in second %d, want %d at most", fail, n, s, fleet/2)
				}
			}
			if total > fleet*60/3 {
				t.Errorf("%d calls in a minute while all fail", total)
			}
		})
	}
}

// TestSilence guards against a discovery that is down and keeps the connection open: the call is given up.
func TestSilence(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	w := New("", nil, 0, nil, slog.New(slog.DiscardHandler))
	if _, err := w.fetch(context.Background(), s.URL+"/api/targets", 50*time.Millisecond); err == nil {
		t.Error("a silent call came to something")
	}
}

// silent stands in for a discovery whose watches fall silent, once they may wait: it notes when each of these ends.
type silent struct{ ends []time.Duration }

func (s *silent) RoundTrip(r *http.Request) (*http.Response, error) {
	if wait := r.URL.Query().Get("wait_ms"); wait == "" || wait == "0" {
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(list(1, true, one))), Request: r}, nil
	}
	<-r.Context().Done()
	s.ends = append(s.ends, time.Since(began(r)))
	return nil, r.Context().Err()
}

// TestSilentWatch guards against waiting on for a watch that has fallen silent: what it misses counts as told 2 s after
// its wait is over, and by then the next call must have been made, also where calls are spread over a fleet.
func TestSilentWatch(t *testing.T) {
	const most = watchFor + 1800*time.Millisecond
	for _, spread := range []time.Duration{0, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.WithValue(context.Background(), beganKey{}, time.Now()))
			s := &silent{}
			w := New("127.0.0.1:1", nil, spread, func(*endpoints.List) {}, slog.New(slog.DiscardHandler))
			w.call.Transport = s
			go w.Run(ctx)
			time.Sleep(2 * time.Minute)
			stop()
			synctest.Wait()
			before := min(spread, mostSpread)
			for _, at := range s.ends {
				if at-before > most {
					t.Fatalf("spread %v: silent watches ended at %v, want none open for more than %v", spread, s.ends, most)
				}
				before = at
			}
			if len(s.ends) < 4 {
				t.Errorf("spread %v: %d watches in two minutes", spread, len(s.ends))
			}
		})
	}
}

// TestMove has discovery move twice while a watch waits: the whole list is asked for at once at the last address,
// also where its version is an older one, and the connections to the first are closed.
func TestMove(t *testing.T) {
	serve := func(version int) (*httptest.Server, chan string) {
		asked := make(chan string, 64)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			asked <- r.URL.String()
			if r.URL.Query().Has("after") {
				<-r.Context().Done()
				return
			}
			fmt.Fprint(w, list(version, true, one))
		}))
		t.Cleanup(s.Close)
		return s, asked
	}
	first, askedFirst := serve(9)
	second, askedSecond := serve(4)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	told := make(chan int64, 64)
	w := New(strings.TrimPrefix(first.URL, "http://"), nil, 0, func(l *endpoints.List) { told <- *l.Version }, slog.New(slog.DiscardHandler))
	go w.Run(ctx)
	for _, want := range []string{"/api/targets", "/api/targets?after=9&wait_ms=20000"} {
		if got := <-askedFirst; got != want {
			t.Fatalf("at first %q was asked, want %q", got, want)
		}
	}
	w.SetAddress("127.0.0.1:1")
	w.SetAddress(strings.TrimPrefix(second.URL, "http://"))
	for _, want := range []string{"/api/targets", "/api/targets?after=4&wait_ms=20000"} {
		if got := <-askedSecond; got != want {
			t.Fatalf("after the move %q was asked, want %q", got, want)
		}
	}
	for _, want := range []int64{9, 4} {
		if got := <-told; got != want {
			t.Errorf("told of version %d, want %d", got, want)
		}
	}
	if len(askedFirst) > 0 {
		t.Errorf("the old address was asked again: %q", <-askedFirst)
	}
}

// TestMoveAtOnce has discovery move before the first address has been called: only the race detector sees what the two
// would do to each other. The list is had from the second all the same.
func TestMoveAtOnce(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("after") {
			<-r.Context().Done()
			return
		}
		fmt.Fprint(w, list(4, true, one))
	}))
	t.Cleanup(s.Close)
	for range 20 {
		ctx, stop := context.WithCancel(context.Background())
		told := make(chan int64, 64)
		w := New("127.0.0.1:1", nil, 0, func(l *endpoints.List) { told <- *l.Version }, slog.New(slog.DiscardHandler))
		w.SetAddress(strings.TrimPrefix(s.URL, "http://"))
		go w.Run(ctx)
		if got := <-told; got != 4 {
			t.Errorf("told of version %d, want 4", got)
		}
		stop()
	}
}
