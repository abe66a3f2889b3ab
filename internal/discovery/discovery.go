// Package discovery keeps the list of targets: one actor watches it and tells what changes.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"dapplegate/internal/endpoints"
	"dapplegate/internal/mailbox"
)

const (
	// watchFor is how long a watch may wait. Longer ones are asked for less often.
	watchFor = 20 * time.Second
	// graceFor is how long an answer may be overdue before the call is given up: discovery is silent while
	// it is down, and what it has to say counts as told that long after the wait.
	graceFor = 1500 * time.Millisecond
	// turnFor is how long a call that does not wait for news may take where one discovery serves all initiators: on
	// recording r883 it lets calls wait their turn for 2 s, and those given up before that take it from others.
	turnFor = 2500 * time.Millisecond
	// retryAfter is the pause after a call that failed.
	retryAfter = 100 * time.Millisecond
	// CallFor is about what one call takes of a discovery that serves all initiators in turn: 85 to 190 ms on
	// recording r883, by the length of the list. Calls given up while they wait their turn take it all the same,
	// so a fleet that asks at once, or again soon after a failure, is never served.
	ExpectedCallTime = 100 * time.Millisecond
	// mostSpread bounds the pause before a first call and after one that failed, whatever the size of the fleet: a change
	// counts as told 6 s after discovery could be reached, and the call itself may take turnFor.
	mostSpread = 3 * time.Second
	maxList    = 4 << 20
)

// errList marks a list that makes no sense: what is held may not be what a change would follow.
var errList = errors.New("not usable")

// Watcher is the list's actor: what its calls bring waits in its mailbox and is told in order, so that the
// next call, which may not come later than 200 ms after the last answer, waits for nobody.
type Watcher struct {
	addr   string // where it starts
	spread time.Duration
	tell   func(*endpoints.List)
	log    *slog.Logger
	call   http.Client
	box    *mailbox.Box[*endpoints.List]
	moves  *mailbox.Box[string]
	apart  bool  // the next call comes at a moment of its own, of the fleet's
	has    int64 // the version that came last; -1: none that a change could follow
}

// New returns a watcher of discovery at addr. It tells the list as last known first, if there is one, however
// old; then what comes. Where one discovery serves all initiators, their first calls come within spread of their
// starts and of a failure, each at a moment of its own; 0: it is this initiator's alone.
func New(addr string, known *endpoints.List, spread time.Duration, tell func(*endpoints.List), log *slog.Logger) *Watcher {
	w := &Watcher{addr: addr, spread: min(spread, mostSpread), tell: tell, log: log, box: mailbox.New[*endpoints.List](),
		moves: mailbox.New[string](), has: -1}
	if known != nil {
		whole := *known
		whole.Complete = true
		w.box.Put(&whole)
		w.has = *known.Version
	}
	w.call.Transport = &http.Transport{MaxConnsPerHost: 2, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return w
}

// Move has discovery asked at another address from now on, for the whole list first: what the old one had still
// to tell is not waited for.
func (w *Watcher) SetAddress(addr string) { w.moves.Put(addr) }

// Run tells until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.watch(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.box.Wake():
			for _, l := range w.box.Take(nil) {
				w.tell(l)
			}
		}
	}
}

// watch calls discovery until the context ends, wherever it is by then.
func (w *Watcher) watch(ctx context.Context) {
	pause(ctx, within(w.spread))
	w.apart = true
	for addr := w.addr; ctx.Err() == nil; {
		at, leave := context.WithCancel(ctx)
		left := make(chan struct{})
		go func(here string) { // not addr itself: a move may come before this starts
			defer close(left)
			w.watchAt(at, here)
		}(addr)
		select {
		case <-ctx.Done():
		case <-w.moves.Wake():
			for _, a := range w.moves.Take(nil) {
				addr = a
			}
		}
		leave()
		<-left // a call at the old address must not overtake the first at the new one
		w.has, w.apart = -1, false
		w.call.CloseIdleConnections()
	}
}

// within is a moment of its own within the span.
func within(span time.Duration) time.Duration { return rand.N(max(span, 1)) }

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchAt calls discovery at one address until the context ends. It goes on from the version that it has, also after a
// call that failed, since a whole list costs discovery the most; after a list that makes no sense, or a version that
// went back, it asks for the whole. The next call comes at once: a gap of 200 ms between two would end the watch. After a
// failure it does not wait for news, so that another silence is seen soon.
func (w *Watcher) watchAt(ctx context.Context, addr string) {
	failed := 0
	for ctx.Err() == nil {
		path, wait := "/api/targets", time.Duration(0)
		if w.has >= 0 {
			if failed == 0 {
				wait = watchFor
			}
			path = fmt.Sprintf("/api/targets?after=%d&wait_ms=%d", w.has, wait.Milliseconds())
		}
		begun := time.Now()
		most := wait + graceFor
		if w.spread > 0 {
			most = max(most, turnFor)
		}
		l, err := w.fetch(ctx, "http://"+addr+path, most)
		if err == nil && !l.Complete && (w.has < 0 || *l.Version < w.has) {
			err = fmt.Errorf("%w: a change to version %d where %d is held", errList, *l.Version, w.has)
		}
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			// One line for each time that discovery goes down, not one for each call meanwhile.
			if failed++; failed == 1 {
				w.log.Warn("list call failed", slog.String("reason", "LIST_FAILED"), slog.Any("error", err))
			}
			if errors.Is(err, errList) {
				w.has = -1
			}
			spread := w.spread
			switch {
			case w.apart:
			case wait > 0 && time.Since(begun) >= wait:
				spread = 0 // a silence that began at a moment of its own, with no time left to wait
			default:
				spread, w.apart = within(spread), true
			}
			pause(ctx, retryAfter+spread)
			continue
		}
		if failed > 0 {
			w.log.Info("list call works again", slog.Int("failed", failed))
			failed = 0
		}
		w.apart = false
		w.has = *l.Version
		if l.Complete || len(l.Entries) > 0 {
			w.box.Put(l)
		}
	}
}

func (w *Watcher) fetch(ctx context.Context, url string, within time.Duration) (*endpoints.List, error) {
	ctx, stop := context.WithTimeout(ctx, within)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.call.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxList))
	switch {
	case err != nil:
		return nil, err
	case resp.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("status %d", resp.StatusCode)
	}
	l, err := endpoints.Decode(body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errList, err)
	}
	return l, nil
}
