// Package discovery keeps the endpoint list up to date. A Watcher polls the discovery service for changes; StartTimes
// converts the targets' start times to the initiator's own clock.
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
	// PollServiceTime is the approximate time that a discovery service takes to serve one poll if it serves all initiators
	// in turn. It takes the same time for a poll that timed out in its queue, so a fleet that polled all at once, or again
	// soon after a failure, would never be served.
	PollServiceTime = 100 * time.Millisecond
	// maxSpread limits the pause before the first poll and after a failed one, whatever the size of the fleet. By the
	// platform's rules, an initiator must act on a change within 6 s after discovery becomes reachable, and the poll itself
	// may take minSharedPollTimeout.
	maxSpread = 3 * time.Second
	// retryPause is the shortest pause after a failed poll. The spread, or a part of it, may be added.
	retryPause = 100 * time.Millisecond
	// noVersion stands for the lack of a list that changes could be applied to. Any version below 0 is treated in the same
	// way.
	noVersion = -1
)

// Watcher polls discovery and passes its lists to notify, in order. The polls run on a goroutine of their own, which never
// waits for notify: by the protocol, a watch ends unless the next poll arrives within 200 ms after the last response.
type Watcher struct {
	address   string        // the initial address
	spread    time.Duration // time over which the polls of all initiators are spread; 0 if discovery serves only this one
	notify    func(*endpoints.List)
	log       *slog.Logger
	client    http.Client
	lists     *mailbox.Mailbox[*endpoints.List] // not yet passed to notify
	addresses *mailbox.Mailbox[string]          // set by SetAddress and not yet polled

	// The following fields are owned by the goroutine of watchAddress while it runs, and otherwise by the goroutine of
	// watch.
	version       int64 // of the last list; noVersion if the complete list is needed
	failures      int   // consecutive failed polls at this address
	alreadySpread bool  // the next poll is already spread over the fleet and needs no further random pause
}

// New returns a watcher of discovery at an address. It first passes the list known from an earlier run to notify, however
// old it is; known is nil if there is none. Then it passes each list from discovery. If one discovery service serves all
// initiators, their first polls, and those after a failure, are spread at random over the duration spread; spread is 0 if
// discovery serves only this initiator.
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

// SetAddress makes the watcher poll discovery at another address, first for the complete list. A poll of the previous
// address is cancelled.
func (w *Watcher) SetAddress(address string) { w.addresses.Put(address) }

// Run polls discovery and calls notify until the context is done.
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

// watch polls discovery until the context is done, at the initial address and then at each one that is set.
func (w *Watcher) watch(ctx context.Context) {
	pause(ctx, randomWithin(w.spread))
	w.alreadySpread = true
	address := w.address
	for ctx.Err() == nil {
		address = w.watchUntilAddressChange(ctx, address)
		// The first poll at a new address is made at once, so it is not spread over the fleet.
		w.version = noVersion
		w.alreadySpread = false
		w.client.CloseIdleConnections()
	}
}

// watchUntilAddressChange polls discovery at an address until the context is done or another address is set. It returns
// the address to poll next.
func (w *Watcher) watchUntilAddressChange(ctx context.Context, address string) string {
	watchCtx, stop := context.WithCancel(ctx)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		w.watchAddress(watchCtx, address)
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
	<-stopped // no list from this address may follow one from the next address
	return next
}

// watchAddress polls discovery at one address until the context is done. After a successful poll it polls again without
// a pause, since the watch would end otherwise.
func (w *Watcher) watchAddress(ctx context.Context, address string) {
	w.failures = 0
	for ctx.Err() == nil {
		request := w.nextRequest()
		startedAt := time.Now()
		list, err := w.poll(ctx, address, request)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.recordFailure(err)
			pause(ctx, w.retryDelay(request, time.Since(startedAt)))
			continue
		}
		w.accept(list)
	}
}

// nextRequest returns the next poll. It requests the changes since the current version, even after a failed poll, since a
// complete list costs discovery the most. After a failed poll discovery is not to wait for a change, so that a lack of
// response is noticed soon.
func (w *Watcher) nextRequest() pollRequest {
	request := pollRequest{after: w.version}
	if request.asksForChanges() && w.failures == 0 {
		request.wait = longPollWait
	}
	return request
}

// isShared reports whether one discovery service serves all initiators in turn.
func (w *Watcher) isShared() bool { return w.spread > 0 }

// poll requests a list. It returns only a complete list, or one that can be applied to the current version.
func (w *Watcher) poll(ctx context.Context, address string, request pollRequest) (*endpoints.List, error) {
	list, err := w.fetch(ctx, "http://"+address+request.uri(), request.timeout(w.isShared()))
	if err != nil {
		return nil, err
	}
	if !list.Complete && (!request.asksForChanges() || *list.Version < request.after) {
		return nil, fmt.Errorf("%w: changes up to version %d cannot be applied to version %d",
			errUnusableList, *list.Version, request.after)
	}
	return list, nil
}

// accept sets the current version and passes the list on, unless it contains no changes.
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

// recordFailure counts a failed poll and logs the first of consecutive ones. After an unusable list, the complete list is
// needed, since it is not known which version the next changes would apply to.
func (w *Watcher) recordFailure(err error) {
	w.failures++
	if w.failures == 1 {
		w.log.Warn("endpoint poll failed", slog.String("reason", "POLL_FAILED"), slog.Any("error", err))
	}
	if errors.Is(err, errUnusableList) {
		w.version = noVersion
	}
}

// retryDelay returns the pause after a poll that failed after the given time. It is retryPause plus one of the following:
//
//   - after further consecutive failures, and if the first poll of the process fails: the whole spread, which keeps the polls
//     of the initiators apart
//   - if discovery did not respond within the wait of the poll: nothing. There is no time left for a longer pause, and no
//     need for one, since the polls of the initiators begin at different times.
//   - after any other first failure since a success or a change of address: a random part of the spread, since the polls of
//     the whole fleet may fail at the same time
func (w *Watcher) retryDelay(request pollRequest, elapsed time.Duration) time.Duration {
	if w.alreadySpread {
		return retryPause + w.spread
	}
	if request.wait > 0 && elapsed >= request.wait {
		return retryPause
	}
	w.alreadySpread = true
	return retryPause + randomWithin(w.spread)
}

// randomWithin returns a random duration in [0, span), or 0 if span is 0.
func randomWithin(span time.Duration) time.Duration { return rand.N(max(span, 1)) }

// pause waits for a duration, or until the context is done.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
