// Package discovery keeps the endpoint list up to date: a Watcher watches the discovery service, StartTimes
// places the targets' starts on the initiator's own clock.
package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"dapplegate/internal/endpoints"
	"dapplegate/internal/mailbox"
)

const (
	// PollServiceTime is about how long a shared discovery takes to serve one poll. It takes as long for a poll that was given
	// up in its queue: a fleet that polled at once, or again soon after a failure, would never be served.
	PollServiceTime = 100 * time.Millisecond
	// maxSpread bounds the pause before a first poll and after a failed one, whatever the size of the fleet: by the platform's
	// rules an initiator must act on a change 6 s after discovery could be reached, and the poll itself may take queueTimeout.
	maxSpread = 3 * time.Second
	// retryPause is the pause after a failed poll, to which the spread is added.
	retryPause = 100 * time.Millisecond
	// noVersion is the version where there is no list that changes could be applied to. Any version below 0
	// counts as this one.
	noVersion = -1
)

// Watcher watches discovery and passes on its lists, in order. Polling has a goroutine of its own, which never waits for
// notify: by the protocol a watch ends unless the next poll comes within 200 ms of the last response.
type Watcher struct {
	address   string        // at the start
	spread    time.Duration // 0: discovery serves this initiator alone
	notify    func(*endpoints.List)
	log       *slog.Logger
	client    http.Client
	lists     *mailbox.Mailbox[*endpoints.List]
	addresses *mailbox.Mailbox[string]

	// These are owned by the goroutine of watchAt while that runs, else by that of watch.
	version       int64 // the latest one; noVersion: the complete list is needed
	failures      int   // polls failed in a row at this address
	alreadySpread bool  // the next poll is spread over the fleet already, and needs no further random pause
}

// New returns a watcher of discovery at an address. It notifies of the list known from an earlier run first, if there is one,
// however old; then of each list from discovery. Where one discovery serves all initiators, spread is the time over which their
// first polls, and those after a failure, are distributed at random; 0 if discovery serves this initiator alone.
func New(address string, known *endpoints.List, spread time.Duration, notify func(*endpoints.List),
	log *slog.Logger) *Watcher {
	w := &Watcher{
		address:   address,
		spread:    min(spread, maxSpread),
		notify:    notify,
		log:       log,
		client:    newClient(),
		lists:     mailbox.New[*endpoints.List](),
		addresses: mailbox.New[string](),
		version:   noVersion,
	}
	if known != nil {
		complete := *known
		complete.Complete = true
		w.lists.Put(&complete)
		w.version = *known.Version
	}
	return w
}

// SetAddress has discovery polled at another address from now on, for the complete list first. A poll of the
// former one is given up.
func (w *Watcher) SetAddress(address string) { w.addresses.Put(address) }

// Run notifies until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	go w.watch(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.lists.Wake():
			for _, list := range w.lists.Take(nil) {
				w.notify(list)
			}
		}
	}
}

// watch polls discovery until the context ends, at one address after another.
func (w *Watcher) watch(ctx context.Context) {
	pause(ctx, randomWithin(w.spread))
	w.alreadySpread = true
	address := w.address
	for ctx.Err() == nil {
		address = w.watchUntilMoved(ctx, address)
		// The first poll at a new address is not spread.
		w.version = noVersion
		w.alreadySpread = false
		w.client.CloseIdleConnections()
	}
}

// watchUntilMoved polls discovery at an address until another one is set, which it returns, or the context
// ends.
func (w *Watcher) watchUntilMoved(ctx context.Context, address string) string {
	watchCtx, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		w.watchAt(watchCtx, address)
	}()
	next := address
	select {
	case <-ctx.Done():
	case <-w.addresses.Wake():
		for _, latest := range w.addresses.Take(nil) {
			next = latest
		}
	}
	stop()
	<-stopped // a list from this address must not come after one from the next
	return next
}

// watchAt polls discovery at one address until the context ends. After a success the next poll follows at
// once, since the watch ends otherwise.
func (w *Watcher) watchAt(ctx context.Context, address string) {
	w.failures = 0
	for ctx.Err() == nil {
		request := w.nextPoll()
		begun := time.Now()
		list, err := w.poll(ctx, address, request)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.pollFailed(err)
			pause(ctx, w.retryDelay(request, time.Since(begun)))
			continue
		}
		w.accept(list)
	}
}

// nextPoll goes on from the version that is held, also after a failure, since a complete list costs discovery
// the most. After a failure it asks for no wait, so that another silence is noticed soon.
func (w *Watcher) nextPoll() pollRequest {
	request := pollRequest{after: w.version}
	if request.asksForChanges() && w.failures == 0 {
		request.wait = watchWait
	}
	return request
}

// isShared reports whether one discovery serves all initiators in turn.
func (w *Watcher) isShared() bool { return w.spread > 0 }

// poll returns a list that applies to the version held, or is complete.
func (w *Watcher) poll(ctx context.Context, address string, request pollRequest) (*endpoints.List, error) {
	list, err := w.fetch(ctx, "http://"+address+request.path(), request.timeout(w.isShared()))
	if err != nil {
		return nil, err
	}
	if !list.Complete && (!request.asksForChanges() || *list.Version < request.after) {
		return nil, fmt.Errorf("%w: a change to version %d where %d is held", errUnusableList, *list.Version, request.after)
	}
	return list, nil
}

// accept makes a list's version the current one, and passes the list on unless it is an empty change.
func (w *Watcher) accept(list *endpoints.List) {
	if w.failures > 0 {
		w.log.Info("endpoint poll recovered", slog.Int("failures", w.failures))
	}
	w.failures = 0
	w.alreadySpread = false
	w.version = *list.Version
	if list.Complete || len(list.Entries) > 0 {
		w.lists.Put(list)
	}
}

// pollFailed counts a failure, and logs the first in a row. After a list that cannot be used the complete one is needed, since
// it is not known what the next change would apply to.
func (w *Watcher) pollFailed(err error) {
	w.failures++
	if w.failures == 1 {
		w.log.Warn("endpoint poll failed", slog.String("reason", "POLL_FAILED"), slog.Any("error", err))
	}
	if errors.Is(err, errUnusableList) {
		w.version = noVersion
	}
}

// retryDelay returns the pause after a poll that failed when it had lasted for a time. After the first failure since a success or
// a move it is a random part of the spread, since the whole fleet may fail at once; after later ones, and after a failed first
// poll of the process, it is all of the spread, which keeps the initiators apart. A watch that stayed silent for all of its wait leaves no time for that and needs none, since watches begin
// apart.
func (w *Watcher) retryDelay(request pollRequest, lasted time.Duration) time.Duration {
	if w.alreadySpread {
		return retryPause + w.spread
	}
	if request.wait > 0 && lasted >= request.wait {
		return retryPause
	}
	w.alreadySpread = true
	return retryPause + randomWithin(w.spread)
}

// randomWithin returns a random part of the span.
func randomWithin(span time.Duration) time.Duration { return rand.N(max(span, 1)) }

// pause waits for a time, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
